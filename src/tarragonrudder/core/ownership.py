"""Which live node should do the work of a shard, by rendezvous hashing."""

import hashlib
import typing as t


def find_owner(shard: str, nodes: t.Iterable[str]) -> str | None:
    """Return the node with the greatest hash for a shard, None without nodes.

    The owner only says who should try first: nothing relies on there being
    one owner at a time. When a node joins or leaves, only shards of that
    node change hands (Thaler and Ravishankar, 1998).
    """
    best: str | None = None
    best_weight = b""
    for node in nodes:
        weight = hashlib.blake2b(f"{shard}\0{node}".encode(), digest_size=8).digest()
        if best is None or (weight, node) > (best_weight, best):
            best, best_weight = node, weight
    return best
