"""Time and bytes until all nodes know a fact, in virtual time.

Run it with ``python -m benchmarks.spread``.
"""

import random
from dataclasses import dataclass

from tarragonrudder.core.domain.action import SendPeerMessage
from tarragonrudder.core.domain.message import UpstreamLeaving
from tarragonrudder.core.membership.gossip import ROUND_PERIOD, Gossip
from tarragonrudder.edges.peer import encode_message

PERIOD = 4.0  # seconds that are played
HEADER_BYTES = 300  # of one HTTP request beside its body
SEEDS = 10


@dataclass(slots=True)
class Spread:
    """How far a fact got, when the last node learned it, and at what cost."""

    known: int
    seconds: float
    messages: int = 0
    sent_bytes: int = 0


def spread_fact(node_count: int, loss: float, seed: int) -> Spread:
    """Let one node learn a fact; a share `loss` of the messages is lost."""
    source = random.Random(seed)
    names = [f"node-{index}" for index in range(node_count)]
    gossips = {}
    for name in names:
        gossips[name] = Gossip(random.Random(source.random()))
        gossips[name].set_peers(tuple(other for other in names if other != name))
    fact = UpstreamLeaving("upstream-1", 0.0)
    gossips[names[0]].spread("leaving:upstream-1", fact, 0.0)
    known = {names[0]}
    spread = Spread(1, 0.0)
    for step in range(int(PERIOD / ROUND_PERIOD)):
        now = step * ROUND_PERIOD
        sent = []
        for name in names:
            sent.extend(gossips[name].handle_timer(now))
        for action in sent:
            if not isinstance(action, SendPeerMessage):
                continue
            spread.messages += 1
            body = encode_message(names[0], action.node, action.message, now)
            spread.sent_bytes += len(body) + HEADER_BYTES
            if source.random() < loss or action.node in known:
                continue
            known.add(action.node)
            gossips[action.node].spread("leaving:upstream-1", fact, now)
            spread.seconds = now + ROUND_PERIOD
    spread.known = len(known)
    return spread


def main() -> None:
    """Print the table."""
    print(f"{'nodes':>6}{'loss':>6}{'all know s':>12}{'bytes a node':>14}")
    for node_count in (7, 30, 100, 400):
        for loss in (0.0, 0.2, 0.5):
            rows = [spread_fact(node_count, loss, seed) for seed in range(SEEDS)]
            missed = sum(row.known < node_count for row in rows)
            slowest = max(row.seconds for row in rows)
            cost = max(row.sent_bytes for row in rows) / node_count
            note = f"  not all in {missed} of {SEEDS}" if missed else ""
            print(f"{node_count:6}{loss:6.0%}{slowest:12.1f}{cost:14.0f}{note}")


if __name__ == "__main__":
    main()
