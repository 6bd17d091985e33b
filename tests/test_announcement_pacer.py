"""Announcements of a node under a storm of news, on a virtual clock."""

import random

import pytest

from tarragonrudder.core.membership.announcement_pacer import (
    BATCH_DELAY,
    BURST,
    RATE,
    AnnouncementPacer,
)

FANOUT = 4
EXCHANGE_TIME = 0.01  # seconds
ROUND_PERIOD, ROUND_PEERS = 0.5, 2
BOUND = 2.0  # seconds; the shortest in which a configuration must be in force


def announce(times: list[float]) -> list[float]:
    """Return when news that come at some times are announced."""
    pacer = AnnouncementPacer()
    announced: list[float] = []
    for at in times:
        if not announced or announced[-1] <= at:
            announced.append(pacer.schedule(at))
    return announced


def test_news_in_calm_are_announced_at_once():
    times = [10.0 * number for number in range(5)]
    assert announce(times) == [at + BATCH_DELAY for at in times]


def test_news_of_one_fault_are_one_announcement():
    assert announce([5.0, 5.001, 5.02]) == [5.0 + BATCH_DELAY]


@pytest.mark.parametrize("rate", [2.0, 40.0, 1000.0])
def test_announcements_are_bounded_whatever_there_is_to_announce(rate):
    length = 30.0
    announced = announce([number / rate for number in range(int(length * rate))])
    within = [at for at in announced if at < length]
    assert len(within) <= BURST + RATE * length + 1.0
    # None waits longer than a turn.
    gaps = [after - before for before, after in zip(within, within[1:], strict=False)]
    assert max(gaps) <= 1.0 / RATE + 1.0 / rate + 1e-9


def spread(nodes: int, fanout: int, source: random.Random) -> float:
    """Return the seconds until all nodes know news of one node, in calm."""
    known_at = {0: 0.0}
    events = [(BATCH_DELAY, 0, fanout)]
    rounds = [source.random() * ROUND_PERIOD for _ in range(nodes)]
    while len(known_at) < nodes:
        due = min(range(nodes), key=rounds.__getitem__)
        if events and events[0][0] <= rounds[due]:
            at, node, count = events.pop(0)
        else:
            at, node, count = rounds[due], due, ROUND_PEERS
            rounds[due] += ROUND_PERIOD
        for peer in source.sample(range(nodes), count):
            pair = (node, peer)
            if not any(known_at.get(each, at + 1.0) <= at for each in pair):
                continue
            for each in pair:
                if each not in known_at:
                    known_at[each] = at + EXCHANGE_TIME
                    events.append((at + EXCHANGE_TIME + BATCH_DELAY, each, fanout))
        events.sort()
    return max(known_at.values())


@pytest.mark.parametrize("nodes", [7, 34, 72, 195])
def test_configuration_reaches_all_nodes_within_its_bound_by_two_peers(nodes):
    times = [spread(nodes, 2, random.Random(seed)) for seed in range(20)]
    assert max(times) < BOUND / 2.0
