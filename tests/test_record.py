import pytest

from tarragonrudder.core.calls.record import (
    Claim,
    Command,
    Doubt,
    Finish,
    Finished,
    Pending,
    Record,
    State,
    Unknown,
    Withdraw,
    Withdrawn,
    apply_command,
    decode_command,
    decode_record,
    encode_command,
    encode_record,
    identify_record,
)

NOW = 5000.0
RETENTION = 100.0
DONE = Finished(201, "text/plain", b"\x00ok")
CLAIM = Claim("id", "digest", "me")
FINISH = Finish("id", "digest", "me", DONE)
DOUBT = Doubt("id", "digest", "me")
WITHDRAW = Withdraw("id", "digest", "me")
STATES: list[State] = [
    Pending("me"),
    Pending("other"),
    DONE,
    Finished(500, "text/plain", None),
    Unknown(),
    Withdrawn("me"),
    Withdrawn("other"),
]


@pytest.mark.parametrize(
    ("state", "age", "command", "after"),
    [
        (None, 0, CLAIM, Pending("me")),
        (Pending("me"), 1, CLAIM, Pending("me")),
        (Pending("other"), 1, CLAIM, Pending("other")),
        (Pending("other"), 99, CLAIM, Pending("other")),
        (Pending("other"), 101, CLAIM, Pending("me")),
        (DONE, 99, CLAIM, DONE),
        (DONE, 101, CLAIM, Pending("me")),
        (Unknown(), 99, CLAIM, Unknown()),
        (Withdrawn("other"), 1, CLAIM, Pending("me")),
        (Withdrawn("me"), 1, CLAIM, Withdrawn("me")),
        (Pending("me"), 1, FINISH, DONE),
        (Pending("other"), 1, FINISH, Pending("other")),
        (Unknown(), 1, FINISH, Unknown()),
        (Pending("me"), 1, DOUBT, Unknown()),
        (Pending("other"), 1, DOUBT, Pending("other")),
        (DONE, 1, DOUBT, DONE),
        (Withdrawn("me"), 1, DOUBT, Withdrawn("me")),
        (None, 0, WITHDRAW, Withdrawn("me")),
        (Pending("me"), 1, WITHDRAW, Withdrawn("me")),
        (Pending("other"), 1, WITHDRAW, Pending("other")),
        (Unknown(), 1, WITHDRAW, Unknown()),
        (DONE, 1, WITHDRAW, DONE),
    ],
)
def test_apply_command(
    state: State | None, age: float, command: Command, after: State
) -> None:
    current = None if state is None else Record("id", "digest", NOW - age, state)
    record = apply_command(current, command, NOW, RETENTION)
    assert record.state == after
    assert (record is current) == (state == after)


@pytest.mark.parametrize("state", STATES)
def test_record_survives_encoding(state: State) -> None:
    record = Record("id", "digest", 12.345, state)
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize("command", [CLAIM, FINISH, DOUBT, WITHDRAW])
def test_command_survives_encoding(command: Command) -> None:
    assert decode_command(encode_command(command)) == command


@pytest.mark.parametrize(
    "line",
    ["", "7", "{}", "[]", '["a"]', '["a","b",1,"lost"]', '["a","b","x","unknown"]']
    + ['["a","b",1,"pending"]', '["a","b",1,"finished",1]', '["Claim"]'],
)
def test_damaged_lines_are_refused(line: str) -> None:
    with pytest.raises(ValueError):
        decode_record(line)
    with pytest.raises(ValueError):
        decode_command(line)


def test_record_identity_is_scoped_to_account_and_service() -> None:
    names = {
        identify_record("a", "s", "k"),
        identify_record("b", "s", "k"),
        identify_record("a", "t", "k"),
        identify_record("a", "s", "l"),
        identify_record("as", "", "k"),
    }
    assert len(names) == 5
