import math
import random

import pytest
import trio

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.room import (
    FADE_PERIOD,
    MAX_RETRY_SHARE,
    MIN_ENDS,
    MIN_RETRY_AFTER,
    RETURN_SHARE,
    RoomEstimator,
)
from tarragonrudder.errors import RunState
from tests.forwarding.callers import TIMEOUT, Callers, Kind
from tests.forwarding.fleet import make_engine, make_request, make_route, make_state

SWING_PERIOD = 13.0  # seconds
CREST_FACTOR = 3.4  # of the trough's rate, as 0.45 to 1.55 times the mean


def make_room(ends, service="engines", now=0.0):
    room = RoomEstimator(random.Random(1))
    for _ in range(ends):
        room.note_end(service, now)
    return room


@pytest.mark.parametrize(
    ("ends", "ahead", "now", "expected"),
    [
        (0, 0, 0.0, None),
        (math.ceil(MIN_ENDS) - 1, 0, 0.0, None),
        (10, 0, 0.0, FADE_PERIOD / 10),
        (10, 9, 0.0, FADE_PERIOD),
        # What ended long ago tells nothing of now.
        (10, 0, 10 * FADE_PERIOD, None),
    ],
)
def test_turn_comes_at_the_rate_of_ends(ends, ahead, now, expected):
    assert make_room(ends).estimate_wait("engines", ahead, now) == expected
    assert make_room(ends, "other").estimate_wait("engines", ahead, now) is None


@pytest.mark.parametrize("ends", [5, 20, 200])
def test_callers_return_at_a_bounded_rate(ends):
    # All returned within the same 0.75 s, whatever their number.
    room = make_room(ends)
    limit = MAX_RETRY_SHARE * TIMEOUT
    returns = [room.book_return("engines", None, 0, TIMEOUT, 0.0) for _ in range(400)]
    assert all(MIN_RETRY_AFTER <= after <= limit for after in returns)
    booked = [after for after in returns if after < limit / 2.0]
    rate = RETURN_SHARE * ends / FADE_PERIOD
    for second in range(int(limit / 2.0)):
        count = sum(second <= after < second + 1 for after in booked)
        # The first second also gets those of less than the least time.
        assert count <= rate + 2.0
    beyond = [after for after in returns if after >= limit / 2.0]
    width = limit / 20.0
    for start in (limit / 2.0 + width * number for number in range(10)):
        share = sum(start <= after < start + width for after in beyond)
        assert share <= 0.25 * len(beyond) + 2.0


def test_returns_of_less_urgent_requests_are_booked_behind():
    room = make_room(50)
    for _ in range(20):
        room.book_return("engines", 2, 0, TIMEOUT, 0.0)
    assert room.book_return("engines", 0, 0, TIMEOUT, 0.0) < 1.0
    for _ in range(20):
        room.book_return("engines", 0, 0, TIMEOUT, 0.0)
    assert room.book_return("engines", 1, 0, TIMEOUT, 0.0) > 20 * FADE_PERIOD / 50


@pytest.mark.parametrize("time_left", [0.0, 0.1, 3.0])
def test_return_is_within_the_time_that_callers_wait(time_left):
    room = make_room(4)
    limit = max(MIN_RETRY_AFTER, MAX_RETRY_SHARE * time_left)
    for _ in range(50):
        assert room.book_return("engines", None, 60, time_left, 0.0) <= limit


def make_full_state():
    """Return a state whose only path is full, and that knows how fast room is freed."""
    state = make_state()
    state.upstream_table.register(make_engine("e1", 0, 39))
    state.upstream_table.register(make_engine("e2", 40, 79))
    state.usage_tracker.start(("e1", "e2"), 100_000)
    for _ in range(10):
        state.room.note_end("engines", 0.0)
    return state


@pytest.mark.parametrize("ran", [False, True])
def test_what_may_have_run_is_not_refused(ran):
    state = make_full_state()
    route = make_route()
    nothing = frozenset()
    found = state.find_path(
        make_request(), route, "engines", nothing, nothing, ran, 0.0, 9.0, ahead=0
    )
    if ran:
        assert isinstance(found, Path)
    else:
        assert found.run_state is RunState.NOT_RUN
        assert MIN_RETRY_AFTER <= found.retry_after <= MAX_RETRY_SHARE * TIMEOUT


def make_fleet():
    state = make_state()
    for copy in range(2):
        for first in (0, 27, 54):
            engine = make_engine(f"e{copy}-{first}", first, min(79, first + 26))
            state.upstream_table.register(engine)
    return state


async def play_swing(seed, knows_room, loses_engines=False):
    state = make_fleet()
    if not knows_room:
        state.room.book_return = lambda *_: None

    def lose_copy():
        for first in (0, 27, 54):
            state.upstream_table.deregister(f"e1-{first}", trio.current_time())

    callers = Callers(state, seed=seed)
    fault = (SWING_PERIOD, lose_copy) if loses_engines else None
    await callers.play(
        [Kind(make_route(), 20.0 if loses_engines else 28.0, CREST_FACTOR)],
        2.0 * SWING_PERIOD,
        burst=(0.0, SWING_PERIOD / 2.0),
        period=SWING_PERIOD,
        fault=fault,
    )
    return callers


@pytest.mark.parametrize("loses_engines", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
async def test_swinging_demand(autojump_clock, seed, loses_engines):
    # Load pattern: demand swings by 0.55 in 13 s, and half of the engines are lost. Who
    # was refused in a crest came back into it, and was lost.
    former = await play_swing(seed, False, loses_engines)
    callers = await play_swing(seed, True, loses_engines)
    assert former.refused and callers.refused
    assert callers.measure_share("draft") > former.measure_share("draft")
    for refusal in callers.refused:
        assert not refusal.has_room
        assert refusal.problem.run_state is RunState.NOT_RUN
        assert refusal.problem.retry_after <= MAX_RETRY_SHARE * TIMEOUT + 0.01
