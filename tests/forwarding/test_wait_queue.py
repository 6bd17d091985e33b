import pytest
import trio

from tarragonrudder.core.forwarding.wait_queue import MAX_WAITING, Waiter, WaitQueue
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.path_waiters import (
    ROUND_PERIOD,
    SEARCHES_PER_ROUND,
    PathWaiters,
)


def fill(count, is_resumed=False):
    queue = WaitQueue()
    for number in range(count):
        queue.join(Waiter("engines", is_resumed, float(number)))
    return queue


def test_broken_streams_go_first_then_those_that_may_wait_the_shortest():
    queue = WaitQueue()
    late, soon = Waiter("engines", False, 2.0), Waiter("engines", False, 1.0)
    resumed = Waiter("engines", True, 9.0)
    for waiter in (late, soon, resumed):
        queue.join(waiter)
    order = []
    while len(queue):
        (first,) = queue.choose(1)
        order.append(first)
        queue.leave(first)
    assert order == [resumed, soon, late]


def test_a_request_that_finds_nothing_does_not_keep_others_from_searching():
    queue = fill(20)
    seen = set()
    for _ in range(20):
        seen.update(queue.choose(3))
    assert len(seen) == 20


@pytest.mark.parametrize("waiting", [0, 1, 2, 50])
def test_rounds_are_bounded_whatever_waits(waiting):
    chosen = fill(waiting).choose(3)
    assert len(chosen) == min(3, waiting)
    assert len(set(chosen)) == len(chosen)


def test_queue_is_bounded_and_only_new_requests_form_a_line():
    assert fill(MAX_WAITING).is_full("engines")
    assert not fill(MAX_WAITING - 1).is_full("engines")
    assert fill(1).has_line("engines")
    assert not fill(3, is_resumed=True).has_line("engines")


def test_requests_for_another_model_do_not_wait_behind_a_lost_one():
    assert not fill(MAX_WAITING).has_line("other")


def test_requests_for_one_model_leave_those_for_another_their_room():
    # The second request for a model was refused while 64 waited for another one.
    queue = fill(MAX_WAITING)
    queue.join(Waiter("other", False, 1.0))
    assert queue.is_full("engines")
    assert not queue.is_full("other")


class Fleet:
    """Places that appear at given times, and the searches of waiting requests."""

    def __init__(self):
        self.places = 0
        self.searches = 0
        self.served = []

    def search(self, name):
        self.searches += 1
        if self.places <= 0:
            return False
        self.places -= 1
        self.served.append(name)
        return True


async def wait_for_place(waiters, fleet, name, limit):
    waiter = Waiter("engines", False, trio.current_time() + limit)
    is_served = False
    try:
        while trio.current_time() < waiter.expires_at and not is_served:
            await waiters.wait_turn(waiter, waiter.expires_at)
            is_served = fleet.search(name)
    finally:
        waiters.leave(waiter, is_served)


def fail(failure):
    raise AssertionError(failure.trace)


@pytest.mark.parametrize("waiting", [1, 10, 60])
async def test_searches_of_waiting_requests_share_a_rate(autojump_clock, waiting):
    # Load pattern: a lost stage leaves tens of requests of a node without a path. Each
    # searched 33 times a second, so that the node fell silent to its streams.
    fleet, waiters = Fleet(), PathWaiters()
    async with trio.open_nursery() as nursery:
        waiters.start(BackgroundTasks(nursery, fail))
        for number in range(waiting):
            nursery.start_soon(wait_for_place, waiters, fleet, number, 1.0)
    rounds = 1.0 / ROUND_PERIOD + 1
    assert fleet.searches <= SEARCHES_PER_ROUND * rounds + waiting
    assert waiters.count == 0


async def test_room_goes_to_waiting_requests_in_their_order(autojump_clock):
    # Load pattern: an engine returns, with room for all that wait.
    fleet, waiters = Fleet(), PathWaiters()
    async with trio.open_nursery() as nursery:
        waiters.start(BackgroundTasks(nursery, fail))
        for number in range(30):
            nursery.start_soon(wait_for_place, waiters, fleet, number, 1.0 + number)
        await trio.sleep(0.5)
        fleet.places = 30
        await trio.sleep(2.0 * ROUND_PERIOD)
        assert len(fleet.served) == 30
    first = fleet.served[: len(fleet.served) // 2]
    assert sum(first) < sum(fleet.served) / 2.0


async def test_a_caller_that_leaves_is_out_at_once(autojump_clock):
    waiters = PathWaiters()
    async with trio.open_nursery() as nursery:
        waiters.start(BackgroundTasks(nursery, fail))
        with trio.move_on_after(0.2):
            await wait_for_place(waiters, Fleet(), 0, 5.0)
        assert waiters.count == 0
