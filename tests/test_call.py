import typing as t
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonrudder.core.calls import keyed_calls as keyed_module
from tarragonrudder.core.calls import record, service_pool
from tarragonrudder.core.calls.keyed_call_state import Phase
from tarragonrudder.core.calls.keyed_calls import KeyedCalls
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.shard import Shard
from tarragonrudder.core.domain.action import CallService, StopNode
from tarragonrudder.core.domain.event import CallerDisconnected, StopRequested
from tests.standins.record_fleet import SMALL_OPTIONS, RecordFleet

DIRECT = replace(SMALL_OPTIONS, max_direct_nodes=16)
LONG = 60.0  # seconds; longer than a call may stay pending
NOT_SENT = "platform_unavailable not_run"
UNKNOWN = "outcome_unknown unknown"
IN_PROGRESS = "idempotency_key_in_progress unknown"


def test_resend_through_another_node_gets_the_recorded_response() -> None:
    world = RecordFleet()
    first = world.send("node-0", "k")
    world.run(1.0)
    second = world.send("node-1", "k")
    world.run(1.0)
    assert (world.describe_answer(first), world.describe_answer(second)) == (
        "201",
        "201 replayed",
    )
    assert world.count_runs("k") == 1
    world.check_invariants()


@pytest.mark.parametrize(
    ("account", "body", "kind", "runs"),
    [
        ("courts", "b", "idempotency_key_conflict not_run", 1),
        ("clerks", "a", "201", 2),
        ("clerks", "b", "201", 2),
    ],
)
def test_keys_are_scoped_to_account(
    account: str, body: str, kind: str, runs: int
) -> None:
    world = RecordFleet()
    world.send("node-0", "k")
    world.run(1.0)
    second = world.send("node-1", "k", body, account)
    world.run(1.0)
    assert world.describe_answer(second) == kind
    assert len(world.journal) == runs
    world.check_invariants()


@pytest.mark.parametrize("key", ["", "x" * 256])
def test_bad_key_is_refused(key: str) -> None:
    world = RecordFleet()
    request = world.send("node-0", key)
    assert world.describe_answer(request) == "invalid_request_error not_run"


@pytest.mark.parametrize(
    ("delay", "kind"), [(0.5, "201 replayed"), (1.9, "201 replayed")]
)
def test_resend_waits_briefly_for_the_first(delay: float, kind: str) -> None:
    world = RecordFleet()
    world.service_delay = delay
    first = world.send("node-0", "k")
    second = world.send("node-1", "k")
    world.run(10.0)
    kinds = {world.describe_answer(first), world.describe_answer(second)}
    assert kinds == {"201", kind}
    world.check_invariants()


def test_resend_during_a_long_call_gets_in_progress_error() -> None:
    world = RecordFleet()
    world.service_faults = ["late"]
    world.send("node-0", "k")
    world.run(0.1)
    second = world.send("node-1", "k")
    world.run(1.8)
    assert world.describe_answer(second) == "none"
    world.run(0.6)
    assert world.describe_answer(second) in (IN_PROGRESS, UNKNOWN)
    world.run(LONG)
    world.check_invariants()


@pytest.mark.parametrize(
    ("fates", "method", "key", "kind", "runs"),
    [
        (["unreachable"], "POST", "k", "201", 1),
        (["refuse"], "POST", "k", "201", 1),
        (["refuse", "refuse"], "POST", "k", "upstream_failed not_run", 0),
        (["before"], "POST", "k", UNKNOWN, 0),
        (["after"], "POST", "k", UNKNOWN, 1),
        (["late"], "POST", "k", UNKNOWN, 1),
        (["unreachable"], "POST", None, "201", 1),
        (["refuse"], "POST", None, "201", 1),
        (["after"], "POST", None, UNKNOWN, 1),
        (["late"], "POST", None, UNKNOWN, 1),
        (["after"], "GET", None, "201", 2),
        (["after"], "GET", "k", "201", 2),
        (["before"], "GET", None, "201", 1),
        (["before", "before"], "GET", None, "upstream_failed unknown", 0),
    ],
)
def test_upstream_failures(
    fates: list[str], method: str, key: str | None, kind: str, runs: int
) -> None:
    world = RecordFleet()
    world.service_faults = list(fates)
    request = world.send("node-0", key, method=method)
    world.run(LONG)
    assert world.describe_answer(request) == kind
    assert len(world.journal) == runs
    if method == "POST":
        world.check_invariants()


@pytest.mark.parametrize("fate", ["after", "late"])
def test_outcome_is_queried_if_upstream_supports_it(fate: str) -> None:
    world = RecordFleet(outcome_path="/outcomes/{key}")
    world.service_faults = [fate]
    first = world.send("node-0", "k")
    world.run(10.0)
    second = world.send("node-1", "k")
    world.run(10.0)
    assert world.describe_answer(first) in ("201", "201 replayed")
    assert world.describe_answer(second) == "201 replayed"
    world.check_invariants()


def test_unknown_is_final() -> None:
    world = RecordFleet()
    world.service_faults = ["after"]
    kinds = []
    for node in ("node-0", "node-1", "node-2", "node-0"):
        request = world.send(node, "k")
        world.run(LONG)
        kinds.append(world.describe_answer(request))
    assert kinds == [UNKNOWN] * 4
    assert world.count_runs("k") == 1


def test_large_response_is_not_stored() -> None:
    world = RecordFleet()
    world.answer_body = b"x" * 5000
    first = world.send("node-0", "k")
    world.run(1.0)
    second = world.send("node-1", "k")
    world.run(1.0)
    assert (world.describe_answer(first), world.describe_answer(second)) == (
        "201",
        "outcome_not_kept run",
    )


def test_retries_stay_within_budget() -> None:
    world = RecordFleet(services=3)
    world.service_faults = ["refuse"] * 200
    for index in range(100):
        world.send("node-0", f"k{index}")
        world.run(6.0)
    # The budget allows 10 retries at once and one per ten first attempts.
    assert 100 <= 200 - len(world.service_faults) <= 120


def test_outcome_is_recorded_after_caller_disconnects() -> None:
    world = RecordFleet()
    world.service_delay = 1.0
    first = world.send("node-0", "k")
    world.run(0.5)
    world.deliver("node-0", CallerDisconnected(first))
    world.run(5.0)
    second = world.send("node-1", "k")
    world.run(5.0)
    assert world.describe_answer(second) == "201 replayed"
    world.check_invariants()


def test_disconnect_before_send_releases_key() -> None:
    world = RecordFleet()
    world.platform_faults = ["slow"]
    first = world.send("node-0", "k")
    world.run(0.1)
    world.deliver("node-0", CallerDisconnected(first))
    world.run(5.0)
    assert world.count_runs("k") == 0
    second = world.send("node-1", "k")
    world.run(5.0)
    assert world.describe_answer(second) == "201"
    world.check_invariants()


@pytest.mark.parametrize("wake_after", [0.5, 4.0, 45.0, 120.0])
def test_node_frozen_between_claim_and_send(wake_after: float) -> None:
    world = RecordFleet()

    def freeze_before_send(name: str, item: object) -> bool:
        if not isinstance(item, CallService):
            return False
        world.freeze(name)
        return True

    world.hook = freeze_before_send
    first = world.send("node-0", "k")
    world.run(0.2)
    seconds = []
    for delay in (0.0, 30.0):
        world.at(world.now + delay, lambda: seconds.append(world.send("node-1", "k")))
    world.at(world.now + wake_after, lambda: world.wake("node-0"))
    world.run(200.0)
    last = world.send("node-2", "k")
    world.run(LONG)
    world.check_invariants()
    kinds = [world.describe_answer(request) for request in (first, *seconds, last)]
    if wake_after == 0.5:
        assert kinds == ["201", "201 replayed", "201 replayed", "201 replayed"]
    elif wake_after == 4.0:
        assert kinds == [kinds[0], IN_PROGRESS, "201", "201 replayed"]
        assert kinds[0].endswith("not_run")
    else:
        assert kinds[0] == UNKNOWN
        assert kinds[1:] == [IN_PROGRESS, UNKNOWN, UNKNOWN]


def test_platform_outage_fails_call_and_releases_key() -> None:
    world = RecordFleet()
    world.platform_down = True
    first = world.send("node-0", "k")
    world.run(5.0)
    assert world.describe_answer(first) == NOT_SENT
    world.platform_down = False
    world.run(5.0)
    second = world.send("node-1", "k")
    world.run(5.0)
    assert world.describe_answer(second) == "201"
    world.check_invariants()


def test_claim_committed_before_outage_is_withdrawn_after_it() -> None:
    world = RecordFleet()
    world.platform_faults = ["lost"]
    first = world.send("node-0", "k")
    world.run(0.5)
    world.platform_down = True
    world.run(5.0)
    assert world.describe_answer(first) == NOT_SENT
    world.platform_down = False
    world.run(5.0)
    second = world.send("node-1", "k")
    world.run(5.0)
    assert world.describe_answer(second) == "201"
    world.check_invariants()


def test_outage_causes_no_burst_of_platform_calls() -> None:
    """A tenth of the two-year size may make a tenth of 2,000 platform calls/s."""
    world = RecordFleet(40, RecordOptions())
    for index in range(40 * 17):
        at = world.now + index / 17
        node = f"node-{index % 40}"
        world.at(at, lambda node=node, index=index: world.send(node, f"k{index}"))
    world.run(10.0)
    world.counts.clear()
    world.platform_down = True
    world.run(20.0)
    calls = world.counts["reads"] + world.counts["writes"]
    assert calls / 20.0 <= 200.0
    world.platform_down = False
    world.run(5.0)
    world.counts.clear()
    world.run(5.0)
    calls = world.counts["reads"] + world.counts["writes"]
    assert calls / 5.0 <= 200.0
    refused = {world.describe_answer(f"call-{index}") for index in range(200, 480)}
    assert refused <= {NOT_SENT, "201"}
    assert {world.describe_answer(f"call-{index}") for index in range(610, 680)} == {
        "201"
    }
    world.check_invariants()


def test_outage_before_the_outcome_is_written() -> None:
    world = RecordFleet()
    world.service_delay = 0.5
    first = world.send("node-0", "k")
    world.run(0.2)
    world.platform_down = True
    world.run(5.0)
    assert world.describe_answer(first) == "201"
    world.platform_down = False
    world.run(5.0)
    second = world.send("node-1", "k")
    world.run(5.0)
    assert world.describe_answer(second) == "201 replayed"
    world.check_invariants()


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a time; `index` picks the node."""

    at: float
    kind: str
    index: int


SENDS = st.lists(
    st.tuples(
        st.floats(0, 20),
        st.integers(0, 2),
        st.sampled_from("kl"),
        st.sampled_from("ab"),
    ),
    min_size=1,
    max_size=8,
)
FAULTS = st.lists(
    st.builds(
        Fault,
        st.floats(0, 25),
        st.sampled_from(
            ["kill", "replace", "freeze", "wake", "down", "up", "cut", "joined"]
            + ["views differ"]
        ),
        st.integers(0, 2),
    ),
    max_size=8,
)
SWAPS = st.lists(
    st.sampled_from(["ok", "ok", "down", "lost", "dropped", "late", "slow"]),
    max_size=14,
)
RUNS = st.lists(
    st.sampled_from(["ok", "before", "after", "late", "refuse", "unreachable"]),
    max_size=5,
)


def apply_fault(world: RecordFleet, fault: Fault) -> None:
    name = f"node-{fault.index}"
    match fault.kind:
        case "kill":
            world.kill(name)
        case "replace":
            world.replace(name)
        case "freeze":
            world.freeze(name)
        case "wake":
            world.wake(name)
        case "down" | "up":
            world.platform_down = fault.kind == "down"
        case "cut" | "joined":
            world.peers_cut = fault.kind == "cut"
        case "views differ":
            world.list_nodes([name])


def run_schedule(
    sends: t.Any,
    faults: list[Fault],
    swaps: list[str],
    runs: list[str],
    delay: float,
    queryable: bool,
    options: RecordOptions = SMALL_OPTIONS,
    checks_revisions: bool = True,
) -> RecordFleet:
    path = "/outcomes/{key}" if queryable else None
    world = RecordFleet(
        options=options, outcome_path=path, checks_revisions=checks_revisions
    )
    world.service_delay = delay
    world.platform_faults = list(swaps)
    world.service_faults = list(runs)
    for fault in faults:
        world.at(world.now + fault.at, lambda fault=fault: apply_fault(world, fault))
    for at, index, key, body in sends:
        world.at(
            world.now + at,
            lambda index=index, key=key, body=body: world.send(
                f"node-{index}", key, body
            ),
        )
    world.run(30.0)
    for index in range(3):
        world.wake(f"node-{index}")
    world.platform_down = False
    world.run(90.0)
    return world


SCHEDULE = dict(
    sends=SENDS,
    faults=FAULTS,
    swaps=SWAPS,
    runs=RUNS,
    delay=st.sampled_from([0.01, 0.5, 1.5]),
    queryable=st.booleans(),
    options=st.sampled_from([SMALL_OPTIONS, DIRECT]),
)


@settings(max_examples=400)
@given(**SCHEDULE)
def test_any_schedule_runs_each_key_at_most_once(
    sends: t.Any,
    faults: list[Fault],
    swaps: list[str],
    runs: list[str],
    delay: float,
    queryable: bool,
    options: RecordOptions,
) -> None:
    world = run_schedule(sends, faults, swaps, runs, delay, queryable, options)
    world.check_invariants()
    # Every caller whose node survives gets a response.
    for request, sent in world.sent.items():
        assert request in world.answers or not sent.host.alive, request


def _claim_unconfirmed(self: KeyedCalls, call: t.Any, now: float) -> list[t.Any]:
    actions = CLAIM(self, call, now)
    if call.phase is Phase.CLAIMING and call.step == 1:
        actions.extend(self._send(call, now))
    return actions


def _handle_lost_as_written(
    self: Shard, tag: str, now: float, conflict: bool
) -> list[t.Any]:
    if conflict or tag in self._reads:
        return HANDLE_FAILURE(self, tag, now, conflict)
    return self.handle_swapped(tag, 0, now)


def _withdraw_unknown(
    current: record.Record | None, command: record.Command, now: float, retention: float
) -> record.Record:
    if isinstance(command, record.Doubt):
        state = record.Withdrawn(command.writer)
        return record.Record(command.identity, command.digest, now, state)
    return DECIDE(current, command, now, retention)


CLAIM = KeyedCalls._claim
HANDLE_FAILURE = Shard.handle_failure
DECIDE = record.apply_command
ONE_SEND = [(0.0, 0, "k", "a"), (0.0, 1, "k", "a"), (6.0, 2, "k", "a")]
SHORT = RecordOptions(
    shards=2, slots=4, seal_bytes=4096, retention=0.5, max_direct_nodes=0
)
VIEWS = [Fault(0.0, "cut", 0)]


@pytest.mark.parametrize(
    "variant",
    ["no fence", "unconfirmed", "retry after send", "expired in flight"]
    + ["lost write taken as written", "unknown withdrawn"],
)
def test_broken_variant_is_caught(
    variant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    options, checks_revisions = SMALL_OPTIONS, True
    sends, faults, swaps, runs, delay = ONE_SEND, VIEWS, [], [], 0.01
    match variant:
        case "no fence":
            checks_revisions = False
        case "unconfirmed":
            monkeypatch.setattr(KeyedCalls, "_claim", _claim_unconfirmed)
        case "retry after send":
            monkeypatch.setattr(keyed_module, "is_not_run", lambda failure: True)
            runs = ["after"]
        case "expired in flight":
            options, delay, sends = SHORT, 1.5, [*ONE_SEND, (1.0, 2, "k", "a")]
        case "lost write taken as written":
            monkeypatch.setattr(Shard, "handle_failure", _handle_lost_as_written)
            swaps = ["dropped"]
        case "unknown withdrawn":
            monkeypatch.setattr(
                "tarragonrudder.core.calls.shard.apply_command", _withdraw_unknown
            )
            runs = ["after"]
    world = run_schedule(
        sends, faults, swaps, runs, delay, False, options, checks_revisions
    )
    with pytest.raises(AssertionError, match="ran|answer"):
        world.check_invariants()


def test_schedules_of_the_variants_pass_with_all_mechanisms() -> None:
    assert service_pool.is_not_run is keyed_module.is_not_run
    for swaps, runs, delay in ([], [], 0.01), ([], ["after"], 0.01), ([], [], 1.5):
        world = run_schedule(ONE_SEND, VIEWS, swaps, runs, delay, False)
        world.check_invariants()
    run_schedule(ONE_SEND, VIEWS, ["dropped"], [], 0.01, False).check_invariants()


def test_planned_stop_waits_for_the_outcome() -> None:
    world = RecordFleet()
    world.service_delay = 1.5
    request = world.send("node-0", "k")
    stopped: list[float] = []

    def note_stop(name: str, item: object) -> bool:
        if isinstance(item, StopNode):
            stopped.append(world.now)
        return bool(stopped)

    world.hook = note_stop
    world.run(0.5)
    world.deliver("node-0", StopRequested())
    world.run(LONG)
    assert world.describe_answer(request) == "201"
    assert stopped and stopped[0] >= world.answers[request][0]
    second = world.send("node-1", "k")
    world.run(1.0)
    assert world.describe_answer(second) == "201 replayed"


def test_log_holds_neither_key_nor_body() -> None:
    world = RecordFleet()
    world.answer_body = b"answer-in-confidence"
    for node in ("node-0", "node-1"):
        world.send(node, "key-in-confidence", "body-in-confidence")
        world.run(1.0)
    decisions = {log.decision for log in world.logs}
    expected = {"intent_committed", "call_sent", "outcome_recorded", "resend_answered"}
    assert expected <= decisions
    assert "in-confidence" not in repr(world.logs)
