"""The judge finds each kind of fault in a small written journal."""

import typing as t

import pytest

from tests import invariants
from tests.invariants import Completed, Failed, Receipt
from tests.standins.model import expect_answer

MESSAGES = [{"role": "user", "content": "one"}]
TOKENS = expect_answer(MESSAGES, "1", 4, 2)


def ran(
    position: int, first: int, last: int, attempt: int = 1, upstream: str = "u"
) -> dict[str, t.Any]:
    return {
        "kind": "layers",
        "upstream": upstream,
        "request": "r",
        "attempt": attempt,
        "position": position,
        "first": first,
        "last": last,
    }


def journal(*entries: dict[str, t.Any]) -> list[dict[str, t.Any]]:
    return [{"time": float(index), **entry} for index, entry in enumerate(entries)]


GOOD = (ran(0, 0, 1), ran(0, 2, 3), ran(1, 0, 1), ran(1, 2, 3))


@pytest.mark.parametrize(
    ("entries", "found"),
    [
        (GOOD, False),
        ((*GOOD, ran(2, 0, 1)), False),
        ((ran(0, 0, 1), ran(0, 0, 1, attempt=2), ran(0, 2, 3, attempt=2)), False),
        ((ran(0, 0, 1), ran(0, 0, 1)), True),
        ((ran(0, 0, 1), ran(0, 1, 3)), True),
        ((ran(0, 0, 1), ran(0, 3, 3)), True),
        ((ran(0, 2, 3), ran(0, 0, 1)), True),
        ((*GOOD, ran(1, 0, 1)), True),
        ((*GOOD, ran(3, 0, 1)), True),
        ((ran(0, 0, 1), ran(1, 0, 1)), True),
    ],
)
def test_layers(entries: tuple[dict[str, t.Any], ...], found: bool) -> None:
    assert bool(invariants.check_layer_order(journal(*entries), 4)) == found


@pytest.mark.parametrize(
    ("tokens", "ending", "found"),
    [
        (TOKENS, Completed(), False),
        (TOKENS[:1], Failed("no_chain", "run"), False),
        (TOKENS[:1], Completed(), True),
        (TOKENS[:1], None, True),
        ([TOKENS[1]], Failed("no_chain", "run"), True),
        ([*TOKENS, TOKENS[1]], Completed(), True),
        (["alien "], Failed("no_chain", "run"), True),
    ],
)
def test_answers(
    tokens: list[str], ending: invariants.Ending | None, found: bool
) -> None:
    receipt = Receipt("r", MESSAGES, 2, list(tokens), ending)
    assert bool(invariants.check_answers([receipt], "1", 4)) == found


@pytest.mark.parametrize(
    ("entries", "found"), [(GOOD, False), (GOOD[:3], True), ((), True)]
)
def test_source(entries: tuple[dict[str, t.Any], ...], found: bool) -> None:
    receipt = Receipt("r", MESSAGES, 2, TOKENS, Completed())
    assert bool(invariants.check_token_source(journal(*entries), [receipt], 4)) == found


@pytest.mark.parametrize(
    ("entries", "tokens", "state", "found"),
    [
        ((), [], "not_run", False),
        (GOOD, [], "not_run", True),
        (GOOD, [], "unknown", False),
        (GOOD, TOKENS[:1], "unknown", True),
        (GOOD, TOKENS[:1], "run", False),
    ],
)
def test_not_run(
    entries: tuple[dict[str, t.Any], ...], tokens: list[str], state: str, found: bool
) -> None:
    receipt = Receipt("r", MESSAGES, 2, tokens, Failed("no_chain", state))
    assert bool(invariants.check_run_states(journal(*entries), [receipt])) == found


@pytest.mark.parametrize(("left", "found"), [(-2.0, False), (-6.0, True), (9.0, False)])
def test_leaving(left: float, found: bool) -> None:
    findings = invariants.check_leaving_upstreams(journal(*GOOD), {"u": left})
    assert bool(findings) == found


def test_leaving_allows_running_answers() -> None:
    assert (
        invariants.check_leaving_upstreams(journal(*GOOD), {"u": 0.5}, grace=0.0) == []
    )


@pytest.mark.parametrize(("count", "found"), [(2, False), (3, True)])
def test_crashes(count: int, found: bool) -> None:
    entries = []
    for index in range(count):
        entry = {"kind": "crashing", "upstream": f"u{index}", "messages": MESSAGES}
        entries.append(entry)
    assert bool(invariants.check_crash_limit(journal(*entries))) == found


@pytest.mark.parametrize(("count", "found"), [(1, True), (2, False)])
def test_refusals(count: int, found: bool) -> None:
    entry = {"kind": "crashed", "upstream": "u", "requests": ["r"]}
    receipt = Receipt("r", MESSAGES, 2, [], Failed("request_quarantined", "unknown"))
    findings = invariants.check_quarantine_refusals(
        journal(*[entry] * count), [receipt]
    )
    assert bool(findings) == found


def test_extra_work() -> None:
    entries = journal(*GOOD, {"kind": "replayed", "work": 2.0})
    assert invariants.measure_extra_work(entries) == (2.0, 8.0)
