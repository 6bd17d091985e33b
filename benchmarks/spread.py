"""Time and bytes until gossip has told all nodes a fact, in virtual time.

Run it with ``python -m benchmarks.spread``.
"""

import random
from dataclasses import dataclass

from tarragonrudder.core.domain.action import SendPeerMessage
from tarragonrudder.core.domain.message import UpstreamLeaving
from tarragonrudder.core.membership.gossip import ROUND_PERIOD, Gossip
from tarragonrudder.edges.peer import encode_message

SIMULATED_SECONDS = 4.0
HEADER_BYTES = 300  # of one HTTP request, without its body
SEEDS = 10


@dataclass(slots=True)
class SpreadResult:
    """How many nodes learned a fact, when the last one did, and the traffic."""

    informed: int
    seconds: float
    messages: int = 0
    sent_bytes: int = 0


def simulate_spread(node_count: int, loss: float, seed: int) -> SpreadResult:
    """Simulate gossip of one fact; a share `loss` of the messages is lost."""
    source = random.Random(seed)
    names = [f"node-{index}" for index in range(node_count)]
    gossips = {}
    for name in names:
        gossips[name] = Gossip(random.Random(source.random()))
        gossips[name].set_peers(tuple(other for other in names if other != name))
    fact = UpstreamLeaving("upstream-1", 0.0)
    gossips[names[0]].spread("leaving:upstream-1", fact, 0.0)
    informed_nodes = {names[0]}
    result = SpreadResult(1, 0.0)
    for round_index in range(int(SIMULATED_SECONDS / ROUND_PERIOD)):
        now = round_index * ROUND_PERIOD
        outgoing = []
        for name in names:
            outgoing.extend(gossips[name].handle_timer(now))
        for action in outgoing:
            if not isinstance(action, SendPeerMessage):
                continue
            result.messages += 1
            body = encode_message(names[0], action.node, action.message, now)
            result.sent_bytes += len(body) + HEADER_BYTES
            if source.random() < loss or action.node in informed_nodes:
                continue
            informed_nodes.add(action.node)
            gossips[action.node].spread("leaving:upstream-1", fact, now)
            result.seconds = now + ROUND_PERIOD
    result.informed = len(informed_nodes)
    return result


def main() -> None:
    """Print the table."""
    print(f"{'nodes':>6}{'loss':>6}{'all know s':>12}{'bytes a node':>14}")
    for node_count in (7, 30, 100, 400):
        for loss in (0.0, 0.2, 0.5):
            rows = [simulate_spread(node_count, loss, seed) for seed in range(SEEDS)]
            incomplete = sum(row.informed < node_count for row in rows)
            slowest = max(row.seconds for row in rows)
            bytes_per_node = max(row.sent_bytes for row in rows) / node_count
            note = f"  not all in {incomplete} of {SEEDS}" if incomplete else ""
            print(
                f"{node_count:6}{loss:6.0%}{slowest:12.1f}{bytes_per_node:14.0f}{note}"
            )


if __name__ == "__main__":
    main()
