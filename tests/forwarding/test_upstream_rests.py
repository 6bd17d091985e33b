"""Rests that upstreams ask for, and the return of requests after them."""

import random
from dataclasses import replace

import pytest

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.core.domain.forwarded_request import Rejected
from tarragonrudder.core.forwarding.upstream_rests import (
    END_JITTER_SHARE,
    MAX_END_JITTER,
    MAX_REST,
    MAX_VANISHED,
    RETURN_PERIOD,
    UpstreamRests,
)
from tarragonrudder.errors import Overloaded
from tarragonrudder.platform.backpressure import BackpressureDecoder
from tests.forwarding.fleet import (
    make_engine,
    make_plain,
    make_request,
    make_route,
    make_state,
)

STEP = 0.02  # seconds between two requests of a caller
MOST_AT_ONCE = 6  # requests in the first half second after a rest


@pytest.mark.parametrize("rest", [0.0, 0.5, 3.0, 60.0, 1e9])
def test_upstream_rests_for_as_long_as_it_asks(rest):
    rests = UpstreamRests(random.Random(1))
    rests.observe("u@1", rest, 100.0)
    length = min(rest, MAX_REST)
    assert rests.is_resting("u@1", 100.0 + length * 0.999) is (rest > 0.0)
    jitter = min(MAX_END_JITTER, END_JITTER_SHARE * length)
    assert not rests.is_resting("u@1", 100.0 + length + jitter)
    assert not rests.is_resting("u@2", 100.0)  # its next start


@pytest.mark.parametrize(("second", "until"), [(0.0, 3.0), (1.0, 3.0), (5.0, 6.0)])
def test_rest_is_never_shortened(second, until):
    rests = UpstreamRests(random.Random(1))
    rests.observe("u@1", 3.0, 100.0)
    rests.observe("u@1", second, 101.0)
    assert rests.is_resting("u@1", 100.0 + until - 0.01)
    assert not rests.is_resting("u@1", 100.0 + until + MAX_END_JITTER)


def test_requests_return_in_steps():
    rests = UpstreamRests(random.Random(1))
    rests.observe("u@1", 1.0, 0.0)
    sent = []
    for number in range(int(4.0 / STEP)):
        now = number * STEP
        if rests.has_room("u@1", now):
            rests.take("u@1", now)
            sent.append(now)
    assert 1.0 <= sent[0] <= 1.0 + MAX_END_JITTER
    assert 1 <= sum(at < sent[0] + 0.5 for at in sent) <= MOST_AT_ONCE
    assert sum(at >= sent[0] + RETURN_PERIOD for at in sent) > 0.9 / STEP * 0.9
    assert rests.expire(["u@1"], 4.0).keys() == {"u@1"}
    assert len(rests) == 0


@pytest.mark.parametrize(("asked", "rests_on"), [(3.0, True), (0.4, False)])
def test_rest_outlasts_a_vanished_entry(asked, rests_on):
    # Soak seed 9810: an entry vanished for 0.7 s, and its upstream got 10 requests.
    state = make_state()
    engine = make_engine("e1", 0, 79)
    state.upstream_table.register(engine)
    gate = state.upstream_gate
    state.observe_backpressure(engine, Backpressure(rest=asked), 0.0)
    state.upstream_table.deregister("e1", 0.7)
    gate.expire(0.8)
    state.upstream_table.register(engine)
    assert gate.is_resting("e1", 1.4) is rests_on
    state.upstream_table.register(replace(engine, born=engine.born + 1))
    assert not gate.is_resting("e1", 1.4)  # it has started anew


@pytest.mark.parametrize(("asked_as", "listed_as"), [(2, 1), (1, 2)])
def test_rest_outlasts_an_older_copy_of_the_entry(asked_as, listed_as):
    # Soak seed 9810: a restored store listed an earlier start of the upstream.
    state = make_state()
    engine = make_engine("e1", 0, 79)
    for born in (1, 2, asked_as):
        state.upstream_table.register(replace(engine, born=born))
    asking = state.upstream_table.find("e1")
    state.observe_backpressure(asking, Backpressure(rest=3.0), 0.0)
    state.upstream_table.register(replace(engine, born=listed_as))
    assert state.upstream_gate.is_resting("e1", 1.0)
    assert not state.upstream_gate.has_room("e1", 1.0)
    state.upstream_table.register(replace(engine, born=3))
    assert state.upstream_gate.has_room("e1", 1.0)


def test_rests_of_vanished_upstreams_are_bounded():
    rests = UpstreamRests(random.Random(1))
    for number in range(2 * MAX_VANISHED):
        rests.observe(f"u{number}@1", MAX_REST, float(number))
    rests.observe("known@1", MAX_REST, 0.0)
    rests.expire({"known@1"}, 2.0 * MAX_VANISHED)
    assert len(rests) == MAX_VANISHED + 1
    assert rests.is_resting("known@1", 2.0 * MAX_VANISHED)
    assert rests.is_resting(f"u{2 * MAX_VANISHED - 1}@1", 2.0 * MAX_VANISHED)


@pytest.mark.parametrize(
    ("status", "headers", "rest", "lines"),
    [
        (503, ["3"], 3.0, 0),
        (503, ["0.5", "2"], 2.0, 0),
        (503, ["1e9"], 1e9, 0),
        (503, ["-3"], None, 1),
        (503, ["nan"], None, 1),
        (503, ["soon", "2"], 2.0, 1),
        (503, ["Fri, 31 Dec 1999 23:59:59 GMT"], None, 1),
        (503, [], None, 0),
        (429, ["3"], None, 0),
        (421, ["3"], None, 0),
        (200, ["3"], None, 0),
    ],
)
def test_rest_that_an_answer_asks_for(status, headers, rest, lines):
    logged = []
    fields = [(b"Retry-After", value.encode()) for value in headers]
    decoder = BackpressureDecoder(lambda event, *_, **__: logged.append(event))
    found = decoder.decode("u", status, fields, True)
    assert found == Backpressure(has_no_limit=True, rest=rest)
    assert logged == ["rest_invalid"] * lines


def rest_all(state, rest, now=0.0):
    for upstream in list(state.upstream_table):
        state.observe_backpressure(upstream, Backpressure(rest=rest), now)


def test_call_is_refused_with_the_end_of_the_first_rest():
    state = make_state()
    for name in ("p1", "p2"):
        state.upstream_table.register(make_plain(name))
    rest_all(state, 5.0)
    assert state.choose_upstream("plain", (), 1.0) is None
    request = make_request(target="/record/1")
    problem = state.refuse_call(request, "plain", ("p1", "p2"), False, 1.0)
    assert "rest" in problem.message
    assert 4.0 <= problem.retry_after <= 7.0


def test_path_avoids_resting_stages_or_is_refused_at_once():
    state = make_state()
    for name, first, last in (("e1", 0, 39), ("e2", 40, 79), ("e3", 40, 79)):
        state.upstream_table.register(make_engine(name, first, last))
    resting = state.upstream_table.find("e2")
    state.observe_backpressure(resting, Backpressure(rest=5.0), 0.0)
    arguments = (frozenset(), frozenset(), False, 0.0, 0.0)
    path = state.find_path(make_request(), make_route(), "engines", *arguments)
    assert path.names == ("e1", "e3")
    rest_all(state, 5.0)
    problem = state.find_path(make_request(), make_route(), "engines", *arguments)
    assert isinstance(problem, Overloaded)
    assert problem.retry_after >= 5.0


@pytest.mark.parametrize(("rest", "is_culprit"), [(None, True), (3.0, False)])
def test_engine_that_asked_for_a_rest_is_not_taken_for_dead(rest, is_culprit):
    # All nodes were told that it is dead, and left it out for two seconds.
    state = make_state()
    state.upstream_table.register(make_engine("e1", 0, 39))
    state.upstream_table.register(make_engine("e2", 40, 79))
    path = state.find_path(
        make_request(), make_route(), "engines", frozenset(), frozenset(), False, 0, 0
    )
    engine = state.upstream_table.find("e1")
    state.observe_backpressure(engine, Backpressure(rest=rest), 5.0)
    state.note_path_rejection(path, Rejected(None, False), 5.0)
    assert ("e1" in state.list_culprits(5.0)) is is_culprit
