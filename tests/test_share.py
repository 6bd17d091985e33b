import random
from collections import Counter

from tarragonrudder.core.admission.fair_queue import Entry, FairQueue


def make_entry(
    name: str,
    account: str,
    weight: float = 1.0,
    level: int = 0,
    cost: float = 1.0,
    latest: float = 1e9,
) -> Entry:
    return Entry(name, account, weight, level, cost, latest, name)


def test_accounts_are_served_in_proportion_to_their_weights() -> None:
    queue = FairQueue()
    for index in range(400):
        queue.push(make_entry(f"large-{index}", "large", 1.0))
        queue.push(make_entry(f"heavy-{index}", "heavy", 3.0))
    served = Counter()
    for _ in range(200):
        entry = queue.pop_first()
        assert entry is not None
        served[entry.account] += 1
    assert abs(served["heavy"] - 150) <= 3


def test_an_account_that_sends_little_is_served_before_a_long_queue() -> None:
    queue = FairQueue()
    for index in range(100):
        queue.push(make_entry(f"large-{index}", "large"))
    for _ in range(10):
        queue.pop_first()
    queue.push(make_entry("small", "small"))
    names = [queue.pop_first(), queue.pop_first()]
    assert "small" in [entry.name for entry in names if entry is not None]


def test_lower_levels_go_first_and_the_last_of_the_greediest_is_pushed_out() -> None:
    queue = FairQueue()
    queue.push(make_entry("a1", "a", level=1))
    queue.push(make_entry("a2", "a", level=1))
    queue.push(make_entry("b1", "b", level=1))
    queue.push(make_entry("urgent", "c", level=0))
    last = queue.pop_last()
    first = queue.pop_first()
    assert last is not None and last.name == "a2"
    assert first is not None and first.name == "urgent"


def test_removed_items_are_never_served_and_cost_adds_up() -> None:
    source = random.Random(3)
    queue = FairQueue()
    live: dict[str, float] = {}
    for index in range(3000):
        name = f"r{index}"
        cost = source.uniform(1, 9)
        account = f"a{source.randrange(20)}"
        queue.push(make_entry(name, account, cost=cost, latest=float(index)))
        live[name] = cost
        action = source.randrange(4)
        if action == 0:
            victim = source.choice(list(live))
            assert queue.discard(victim) is not None
            del live[victim]
        elif action == 1:
            entry = queue.pop_expired(index / 2)
        elif action == 2:
            entry = queue.pop_last()
        else:
            entry = queue.pop_first()
        if action and entry is not None:
            del live[entry.name]
        assert len(queue) == len(live)
        assert abs(queue.cost - sum(live.values())) < 1e-6
    assert len(queue._first_heap) <= 4 * len(queue) + 65
