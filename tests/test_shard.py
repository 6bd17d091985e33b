import pytest

from tarragonrudder.core.calls.record import (
    Claim,
    Finish,
    Finished,
    Pending,
    Record,
    Withdraw,
    encode_record,
)
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.shard import CommandResult, QueuedCommand, Shard
from tarragonrudder.core.calls.slot import Slot, decode_slot
from tarragonrudder.core.domain.action import Action, ReadKey, SwapKey

DONE = Finished(201, "", b"")
OPTIONS = RecordOptions(
    shards=1, slots=3, seal_bytes=300, retention=50.0, commit_interval=0.0
)


class Values:
    """The platform's values; a write is delayed on demand."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.held: list[SwapKey] = []
        self.hold = False

    def write(self, action: SwapKey) -> int | None:
        if self.values.get(action.key, (b"", 0))[1] != action.expected:
            return None
        self.revision += 1
        self.values[action.key] = (action.value, self.revision)
        return self.revision

    def serve(
        self, shard: Shard, actions: list[Action], now: float
    ) -> list[CommandResult]:
        """Carry out all actions and their follow-ups; return the results."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            match action:
                case ReadKey(tag=tag, key=key):
                    value, revision = self.values.get(key, (None, 0))
                    pending += shard.handle_value(tag, value, revision, now)
                case SwapKey() if self.hold:
                    self.hold = False
                    self.held.append(action)
                    pending += shard.handle_failure(action.tag, now, conflict=False)
                case SwapKey():
                    written = self.write(action)
                    if written is None:
                        pending += shard.handle_failure(action.tag, now, conflict=True)
                    else:
                        pending += shard.handle_swapped(action.tag, written, now)
        return shard.take_results()

    def do(self, shard: Shard, command: object, now: float) -> Record | None:
        """Run one command and return its record."""
        shard.submit(QueuedCommand("ticket", command, now + 9.0, now))  # type: ignore[arg-type]
        decided = self.serve(shard, shard.advance(now), now)
        if not decided:
            decided = self.serve(shard, shard.advance(now + 1.0), now + 1.0)
        (item,) = [item for item in decided if item.ticket == "ticket"]
        return item.record


def claim(key: str, writer: str) -> Claim:
    return Claim(key, "digest", writer)


def test_claim_is_visible_to_other_nodes() -> None:
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    assert values.do(first, claim("k", "a"), 100.0).state == Pending("a")
    assert values.do(second, claim("k", "b"), 100.0).state == Pending("a")


def test_stale_view_conflicts_and_is_read_again() -> None:
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    values.do(first, claim("x", "a"), 100.0)
    values.do(second, claim("y", "b"), 100.0)
    assert values.do(first, claim("y", "a"), 100.0).state == Pending("b")


def test_stale_view_catches_up_with_the_log() -> None:
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    values.do(first, claim("x", "a"), 100.0)
    for index in range(8):
        values.do(second, claim(f"y{index}", "b"), 101.0 + index)
    assert values.do(first, claim("y5", "a"), 110.0).state == Pending("b")


@pytest.mark.parametrize("late_write", ["never", "before the next", "after the next"])
def test_late_write_changes_nothing(late_write: str) -> None:
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    values.do(first, claim("x", "a"), 100.0)
    values.do(second, claim("x", "b"), 100.0)
    values.hold = True
    first.submit(QueuedCommand("t1", claim("k", "a"), 100.1, 100.0))
    values.serve(first, first.advance(100.0), 100.0)
    (held,) = values.held
    if late_write == "before the next":
        assert values.write(held) is not None
    other = values.do(second, claim("k", "b"), 100.0)
    if late_write == "after the next":
        assert values.write(held) is None
    expected = "a" if late_write == "before the next" else "b"
    assert other.state == Pending(expected)
    assert values.do(first, claim("k", "a"), 101.0).state == Pending(expected)


@pytest.mark.parametrize("command", [claim("k", "c"), Finish("k", "digest", "b", DONE)])
def test_stale_view_rejects_nothing(command: Claim | Finish) -> None:
    """A former owner sees the key as withdrawn, but another node claimed it."""
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    values.do(first, claim("k", "c"), 100.0)
    values.do(first, Withdraw("k", "digest", "c"), 100.0)
    values.do(second, claim("k", "b"), 101.0)
    for index in range(6):
        values.do(second, claim(f"fill-{index}", "b"), 101.0)
    record = values.do(first, command, 102.0)
    expected = DONE if isinstance(command, Finish) else Pending("b")
    assert record.state == expected


def test_withdrawal_fences_a_late_claim() -> None:
    values = Values()
    first, second = Shard(0, "/r/", OPTIONS), Shard(0, "/r/", OPTIONS)
    values.hold = True
    first.submit(QueuedCommand("t1", claim("k", "a"), 100.1, 100.0))
    values.serve(first, first.advance(100.0), 100.0)
    values.do(second, Withdraw("k", "digest", "a"), 101.0)
    assert values.write(values.held[0]) is None
    assert values.do(second, claim("k", "b"), 102.0).state == Pending("b")


def test_commands_share_a_swap() -> None:
    values = Values()
    shard = Shard(0, "/r/", OPTIONS)
    for index in range(3):
        shard.submit(QueuedCommand(f"t{index}", claim(f"k{index}", "a"), 200.0, 100.0))
    shard.submit(QueuedCommand("t3", claim("k0", "b"), 200.0, 100.0))
    decided = values.serve(shard, shard.advance(100.0), 100.0)
    assert values.revision == 1
    states = {item.ticket: item.record.state for item in decided if item.record}
    assert states["t0"] == states["t3"] == Pending("a")


def fill(values: Values, shard: Shard, now: float) -> int:
    for index in range(100):
        if values.do(shard, claim(f"fill-{now}-{index}", "a"), now) is None:
            return index
    raise AssertionError("the ring never fills")


def test_full_ring_refuses_claims_and_evicts_nothing_live() -> None:
    values = Values()
    shard = Shard(0, "/r/", OPTIONS)
    count = fill(values, shard, 100.0)
    assert count > 3
    finish = Finish("fill-100.0-0", "digest", "a", DONE)
    assert values.do(shard, finish, 120.0).state == DONE
    other = Shard(0, "/r/", OPTIONS)
    for index in range(1, count):
        record = values.do(other, claim(f"fill-100.0-{index}", "b"), 149.0)
        assert record.state == Pending("a")


def test_ring_is_reused_after_retention() -> None:
    values = Values()
    shard = Shard(0, "/r/", OPTIONS)
    for now in (100.0, 200.0, 300.0):
        assert fill(values, shard, now) > 3
    assert len(values.values) == OPTIONS.slots
    for value, _ in values.values.values():
        assert len(value) < 4 * OPTIONS.seal_bytes


def test_old_segment_is_sealed_regardless_of_size() -> None:
    options = RecordOptions(shards=1, slots=3, seal_age=20.0, retention=50.0)
    values = Values()
    shard = Shard(0, "/r/", options)
    for step in range(30):
        now = 100.0 + 5.0 * step
        assert values.do(shard, claim(f"k{step}", "a"), now) is not None
        other = Shard(0, "/r/", options)
        for earlier in range(max(0, step - 9), step):
            record = values.do(other, claim(f"k{earlier}", "b"), now)
            assert record.state == Pending("a")
    assert len(values.values) == options.slots
    for value, _ in values.values.values():
        assert value.count(b"\n") < 12


def test_expired_command_has_no_record() -> None:
    shard = Shard(0, "/r/", OPTIONS)
    shard.submit(QueuedCommand("t", claim("k", "a"), 101.0, 100.0))
    shard.advance(100.0)
    shard.advance(102.0)
    assert shard.take_results() == [CommandResult("t", claim("k", "a"), None)]


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff", b'{"sequence":0}', b"[]\n[]"])
def test_damaged_value_is_refused(value: bytes) -> None:
    with pytest.raises(ValueError):
        decode_slot(value, 1)
    values = Values()
    values.values["/r/0/1"] = (value, 7)
    shard = Shard(0, "/r/", OPTIONS)
    shard.submit(QueuedCommand("t", claim("k", "a"), 101.0, 100.0))
    values.serve(shard, shard.advance(100.0), 100.0)
    assert values.values == {"/r/0/1": (value, 7)}


def test_slot_survives_encoding() -> None:
    slot = Slot(4, False, 9)
    slot.append([encode_record(Record("a", "b", 1.0, Pending("w")))])
    assert decode_slot(slot.encode(), 9) == slot
