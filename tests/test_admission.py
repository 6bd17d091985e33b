import heapq
import random

import pytest

from tarragonrudder.core.admission import admission as module
from tarragonrudder.core.admission.admission import (
    Admission,
    Admitted,
    Rejected,
    Ticket,
    Waiting,
)
from tarragonrudder.core.admission.attempt_observer import Observation
from tarragonrudder.core.admission.window import FIRST_TOKEN_TARGET, Window
from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.fleet import ClientAccount, Model, Priority
from tarragonrudder.errors import Overloaded, RunState

MODEL = Model("m", "1", 8)
CHAIN = Chain("m", "1", ())
TOKENS = 100


def make_ticket(
    name: str,
    now: float,
    account: str = "a",
    level: int = 1,
    deadline: float = 10.0,
    weight: float = 1.0,
) -> Ticket:
    client = ClientAccount(account, (), 1.0, 1.0, weight)
    priority = Priority("p", level, deadline)
    return Ticket(name, client, priority, MODEL, TOKENS, now, now + deadline)


def fill(admission: Admission) -> int:
    """Offer requests of one account until one has to wait."""
    count = 0
    while isinstance(admission.offer(make_ticket(f"fill-{count}", 0.0), 0.0), Admitted):
        count += 1
        assert count < 100
    return count


def test_a_request_that_cannot_be_whole_by_its_deadline_is_refused_at_once() -> None:
    admission = Admission()
    admission.offer(make_ticket("first", 0.0), 0.0)
    # 100 tokens take about 5 s at the expected gap.
    verdict = admission.offer(make_ticket("late", 0.0, deadline=2.0), 0.0)
    assert isinstance(verdict, Rejected)
    assert isinstance(verdict.problem, Overloaded)
    assert verdict.problem.run_state is RunState.NOT_RUN
    assert verdict.problem.retry_after is not None
    assert isinstance(admission.offer(make_ticket("ok", 0.0), 0.0), Admitted)


def test_queued_requests_start_or_are_given_up_within_the_first_token_target() -> None:
    admission = Admission()
    fill(admission)
    assert admission.take_expired(FIRST_TOKEN_TARGET / 2) == []
    expired = admission.take_expired(FIRST_TOKEN_TARGET)
    assert len(expired) == 1
    assert admission.take_ready(FIRST_TOKEN_TARGET) == []


def test_the_queue_is_bounded_and_every_offer_gets_one_answer() -> None:
    admission = Admission()
    fill(admission)
    verdicts = []
    for index in range(500):
        ticket = make_ticket(f"r{index}", 0.0, account=f"a{index % 7}")
        verdicts.append(admission.offer(ticket, 0.0))
    waiting = sum(isinstance(each, Waiting) for each in verdicts)
    pushed_out = len(admission.take_expired(0.0))
    assert admission.describe(MODEL)["queued"] == 1 + waiting - pushed_out
    assert admission.describe(MODEL)["queued"] < 20


def test_retry_after_grows_with_the_backlog() -> None:
    admission = Admission()
    fill(admission)
    waits = []
    for index in range(40):
        verdict = admission.offer(make_ticket(f"r{index}", 0.0), 0.0)
        if isinstance(verdict, Rejected):
            waits.append(verdict.problem.retry_after or 0.0)
    admission = Admission()
    admission.offer(make_ticket("first", 0.0), 0.0)
    idle = admission.describe_refusal(make_ticket("x", 0.0), 0.0).retry_after or 0.0
    assert waits and min(waits) > 0.5 * idle


def test_more_urgent_requests_push_out_less_urgent_ones() -> None:
    admission = Admission()
    fill(admission)
    for index in range(20):
        admission.offer(make_ticket(f"r{index}", 0.0), 0.0)
    verdict = admission.offer(make_ticket("urgent", 0.0, level=0), 0.0)
    assert not isinstance(verdict, Rejected)


@pytest.mark.parametrize(
    ("gap", "first", "grows"),
    [(0.02, 0.1, True), (0.08, 0.1, False), (0.02, 0.9, False)],
)
def test_the_window_follows_gap_and_first_token(
    gap: float, first: float, grows: bool
) -> None:
    window = Window(20.0)
    window.observe_gap(0.02, 1)
    window.adjust(20, 0.0)
    for step in range(1, 20):
        window.observe_gap(gap, 10)
        window.observe_first(first)
        window.adjust(int(window.size), 0.25 * step)
    assert (window.size > 20.0) is grows


def test_chains_slow_at_rest_do_not_close_the_window() -> None:
    window = Window(20.0)
    for step in range(40):
        window.observe_gap(0.09, 10)
        window.adjust(int(window.size), 0.25 * step)
    assert window.size >= 20.0


def simulate(large_rate: float, seed: int) -> float:
    """Return the small account's share on time on a server of fixed speed.

    Answers take 4 s while at most 20 run; beyond that all slow down alike.
    """
    source = random.Random(seed)
    admission = Admission()
    admission.offer(make_ticket("seed", 0.0), 0.0)
    admission.release("seed", 0, 0.0)
    admission._pools[("m", "1")].window._size = 20.0
    arrivals: list[tuple[float, str]] = []
    for account, rate in (("small", 1.0), ("large", large_rate)):
        at = 0.0
        while rate and at < 120.0:
            at += source.expovariate(rate)
            arrivals.append((at, account))
    arrivals.sort()
    running: dict[str, float] = {}
    small: dict[str, bool] = {}
    heapq.heapify(arrivals)
    step = 0.05
    count = 0
    for tick in range(int(120 / step)):
        now = tick * step
        gap = 0.04 * max(1.0, len(running) / 20.0)
        for request in list(running):
            running[request] -= step / gap
            if running[request] <= 0:
                del running[request]
                admission.release(request, TOKENS, now)
        if running:
            admission.observe(Observation(CHAIN, False, gap, len(running)))
        while arrivals and arrivals[0][0] <= now:
            _, account = heapq.heappop(arrivals)
            count += 1
            request = f"{account}-{count}"
            if account == "small":
                small[request] = False
            verdict = admission.offer(make_ticket(request, now, account), now)
            if isinstance(verdict, Admitted):
                running[request] = TOKENS
                small.update({request: True} if account == "small" else {})
        for ticket in admission.take_ready(now):
            running[ticket.request] = TOKENS
            if ticket.account.name == "small":
                small[ticket.request] = True
        admission.take_expired(now)
    return sum(small.values()) / len(small)


def test_an_account_under_its_share_does_not_suffer_from_a_large_one() -> None:
    for seed in range(3):
        assert simulate(20.0, seed) >= simulate(0.0, seed) - 0.02


def test_without_fairness_the_small_account_suffers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:

    def make_entry(*fields: object) -> module.Entry:
        entry = module_entry(*fields)
        return module_entry(
            entry.name, "all", 1.0, entry.level, entry.cost, entry.latest, entry.item
        )

    module_entry = module.Entry
    monkeypatch.setattr(module, "Entry", make_entry)
    monkeypatch.setattr(Admission, "_is_under_share", lambda *_: False)
    assert simulate(20.0, 0) < simulate(0.0, 0) - 0.02
