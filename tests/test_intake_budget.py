"""Which connections are closed beyond the limits of the intake."""

import pytest

from tarragonrudder.core.admission.intake_budget import (
    IntakeBudget,
    IntakeLimits,
    IntakeState,
)

LIMITS = IntakeLimits(total_bytes=1000, connections=8)


def open_all(budget, *clients, now=0.0):
    """Open a connection for each client; nothing is closed for them."""
    found = []
    for client in clients:
        holding, closing = budget.open(client, now)
        assert closing == []
        found.append(holding)
    return found


def serve_once(budget, holding, now=0.0):
    budget.hold(holding, 1, now)
    budget.serve(holding, now)
    budget.end(holding, now)


@pytest.mark.parametrize("size", [1, 1000, 10**9])
def test_single_request_is_never_refused(size):
    budget = IntakeBudget(LIMITS)
    (holding,) = open_all(budget, "a")
    assert budget.hold(holding, size, 1.0) == []
    assert budget.serve(holding, 1.0)
    assert budget.count(IntakeState.SERVED) == 1


@pytest.mark.parametrize(
    ("held", "since", "clients", "closed"),
    [
        pytest.param((500, 400), (0.0, 0.0), "ab", 0, id="more bytes"),
        pytest.param((400, 400), (5.0, 0.0), "ab", 1, id="for longer"),
    ],
)
def test_most_for_longest_goes_first(held, since, clients, closed):
    budget = IntakeBudget(LIMITS)
    holdings = open_all(budget, *clients)
    for holding, size, at in zip(holdings, held, since, strict=True):
        assert budget.hold(holding, size, at) == []
    (newest,) = open_all(budget, "c")
    assert budget.hold(newest, 500, 10.0) == [holdings[closed]]


def test_address_that_holds_most_goes_first():
    budget = IntakeBudget(LIMITS)
    alone, *crowd = open_all(budget, "a", "b", "b", "b")
    assert budget.hold(alone, 250, 0.0) == []
    for holding in crowd:
        assert budget.hold(holding, 240, 1.0) == []
    (newest,) = open_all(budget, "c")
    assert alone not in budget.hold(newest, 300, 4.0)


def test_served_request_stays_and_the_newest_is_refused():
    budget = IntakeBudget(LIMITS)
    served, newest = open_all(budget, "a", "b")
    budget.hold(served, 900, 0.0)
    budget.serve(served, 0.0)
    assert budget.hold(newest, 200, 1.0) == [newest]
    assert not budget.serve(newest, 1.0)
    assert budget.held == 900
    assert budget.hold(served, 2000, 2.0) == []


@pytest.mark.parametrize("is_served", [True, False])
def test_nothing_is_closed_in_vain(is_served):
    budget = IntakeBudget(LIMITS)
    served, small, newest = open_all(budget, "a", "b", "c")
    budget.hold(served, 900, 0.0)
    budget.serve(served, 0.0)
    budget.hold(small, 50, 0.0)
    budget.hold(newest, 10, 1.0)
    if is_served:
        budget.serve(newest, 1.0)
    assert budget.hold(newest, 200, 9.0) == ([] if is_served else [newest])
    assert budget.serve(small, 9.0)


def test_connection_that_was_served_goes_last():
    budget = IntakeBudget(LIMITS)
    known, unknown = open_all(budget, "a", "b")
    serve_once(budget, known)
    budget.hold(known, 600, 0.0)
    budget.hold(unknown, 300, 9.0)
    (newest,) = open_all(budget, "c")
    assert budget.hold(newest, 130, 10.0) == [unknown]


@pytest.mark.parametrize(
    ("states", "closed"),
    [
        pytest.param("uuuurriu", 0, id="oldest unused"),
        pytest.param("rriiiisr", 0, id="oldest unfinished"),
        pytest.param("siiissss", 1, id="oldest idle"),
        pytest.param("ssssssss", None, id="all served: the new one"),
    ],
)
def test_connections_beyond_the_limit(states, closed):
    budget = IntakeBudget(LIMITS)
    holdings = []
    for number, state in enumerate(states):
        (holding,) = open_all(budget, "a", now=float(number))
        holdings.append(holding)
        if state == "u":
            continue
        budget.hold(holding, 1, float(number))
        if state == "r":
            continue
        budget.serve(holding, float(number))
        if state == "i":
            budget.end(holding, float(number))
    newest, closing = budget.open("a", 20.0)
    assert closing == [newest if closed is None else holdings[closed]]
    assert len(budget) == LIMITS.connections


def test_nothing_is_closed_within_the_limits():
    budget = IntakeBudget(LIMITS)
    holdings = open_all(budget, *"aaaaaaaa")
    for holding in holdings:
        assert budget.hold(holding, 125, 1000.0) == []


def test_closed_connections_are_not_counted():
    budget = IntakeBudget(LIMITS)
    first, second = open_all(budget, "a", "a")
    budget.hold(first, 10, 0.0)
    for holding in (first, first, second):
        budget.close(holding)
    assert (len(budget), budget.held) == (0, 0)
    assert budget.hold(first, 10, 0.0) == [first]
