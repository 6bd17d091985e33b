import pytest
import trio

from tarragonrudder.core.domain.route import Account
from tarragonrudder.core.forwarding.account_shares import AccountShares
from tarragonrudder.core.forwarding.wait_queue import MAX_WAITING, Waiter, WaitQueue
from tarragonrudder.edges.path_waiters import PathWaiters
from tests.forwarding.callers import Callers, Kind
from tests.forwarding.fleet import make_engine, make_route, make_state

COUNT = 12  # accounts
LARGE = 2  # the one that sends many times its usual


def make_shares(**running):
    shares = AccountShares()
    for account, count in running.items():
        for _ in range(count):
            shares.start("engines", account)
    return shares


@pytest.mark.parametrize(
    ("running", "rank"), [(0, 0), (1, 1), (2, 2), (3, 2), (4, 3), (31, 5), (32, 6)]
)
def test_rank_rises_with_each_doubling(running, rank):
    shares = make_shares(a=running)
    assert shares.get_rank("engines", "a") == rank
    assert shares.get_rank("other", "a") == shares.get_rank("engines", "b") == 0
    for _ in range(running):
        shares.finish("engines", "a")
    assert shares.get_rank("engines", "a") == 0


def test_end_of_what_did_not_begin_is_ignored():
    shares = AccountShares()
    shares.finish("engines", "a")
    assert shares.get_rank("engines", "a") == 0


def test_order_is_urgency_then_account_then_wait():
    queue, shares = WaitQueue(), make_shares(large=20, small=1)
    waiters = [
        Waiter("engines", False, 1.0, 1, account="large"),
        Waiter("engines", False, 2.0, 1, account="small"),
        Waiter("engines", False, 3.0, 1, account="small"),
        Waiter("engines", False, 4.0, 0, account="large"),
        Waiter("engines", True, 5.0, 1, account="large"),
    ]
    for waiter in waiters:
        queue.join(waiter)
    queue.update_ranks(shares.get_rank)
    order = []
    while len(queue):
        (first,) = queue.choose(1)
        order.append(waiters.index(first))
        queue.leave(first)
    assert order == [4, 3, 1, 2, 0]


@pytest.mark.parametrize(
    ("rank", "has_line", "displaces"),
    [(0, False, True), (1, False, True), (2, True, False), (3, True, False)],
)
def test_account_of_which_less_runs_does_not_wait_behind(rank, has_line, displaces):
    queue, shares = WaitQueue(), make_shares(large=2)
    for number in range(MAX_WAITING):
        queue.join(Waiter("engines", False, float(number), account="large"))
    queue.update_ranks(shares.get_rank)
    assert queue.has_line("engines", None, rank) is has_line
    found = queue.displace("engines", None, rank)
    assert (found is not None and found.expires_at == MAX_WAITING - 1) is displaces


@pytest.mark.parametrize(("account", "expected"), [("a", True), ("b", False)])
async def test_new_request_never_overtakes_one_of_its_account(
    autojump_clock, account, expected
):
    # The rank of the waiting one was that of some rounds before.
    shares = make_shares(a=4)
    waiters = PathWaiters(None, shares)
    async with trio.open_nursery() as nursery:
        waiting = Waiter("engines", False, account="a")
        assert not waiters.has_line(waiting)
        nursery.start_soon(waiters.wait_turn, waiting, 1.0)
        await trio.sleep(0.1)
        shares.finish("engines", "a")
        assert waiters.has_line(Waiter("engines", False, account=account)) is expected


def make_fleet():
    state = make_state()
    for copy in range(2):
        for first in (0, 27, 54):
            engine = make_engine(f"e{copy}-{first}", first, min(79, first + 26))
            state.upstream_table.register(engine)
    return state


async def play_burst(seed, has_shares, loses_engines):
    state = make_fleet()
    if not has_shares:
        state.account_shares.get_rank = lambda *_: 0

    def lose_copy():
        for first in (0, 27, 54):
            state.upstream_table.deregister(f"e1-{first}", trio.current_time())

    callers = Callers(state, seed=seed)
    kinds = [
        Kind(
            make_route(),
            16.0 / (number + 1),
            20.0 if number == LARGE else 1.0,
            Account(f"a{number}"),
        )
        for number in range(COUNT)
    ]
    fault = (5.0, lose_copy) if loses_engines else None
    await callers.play(kinds, 10.0, burst=(1.0, 9.0), fault=fault)
    return callers


def measure_others(callers):
    names = [f"a{number}" for number in range(COUNT) if number != LARGE]
    begun = sum(callers.begun[name] for name in names)
    return begun / sum(callers.arrived[name] for name in names)


@pytest.mark.parametrize("loses_engines", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
async def test_burst_of_one_account_costs_it_first(autojump_clock, seed, loses_engines):
    # Load pattern: one of many accounts sends twenty times its usual, and half of the
    # engines are lost meanwhile.
    former = await play_burst(seed, False, loses_engines)
    callers = await play_burst(seed, True, loses_engines)
    large = callers.measure_share(f"a{LARGE}")
    assert large < 0.9, "the burst must fill the engines"
    assert measure_others(callers) > measure_others(former)
    assert measure_others(callers) > large
    for refusal in callers.refused:
        assert refusal.problem.run_state.value == "not_run"


async def test_account_alone_is_served_whole(autojump_clock):
    state = make_fleet()
    callers = Callers(state, seed=1)
    await callers.play([Kind(make_route(), 20.0, account=Account("a"))], 4.0)
    assert callers.measure_share("a") == 1.0
    assert state.account_shares.get_rank("engines", "a") == 0
