"""Which live node should do the work of a shard, by rendezvous hashing."""

import hashlib
import math
import typing as t


def assign_owners(shards: t.Iterable[str], nodes: t.Iterable[str]) -> dict[str, str]:
    """Return the owner of each shard; none without nodes.

    Each shard goes to the node with the greatest hash that has not its even
    share yet, so that no node carries the work of several others (rendezvous
    hashing by Thaler and Ravishankar, 1998, with the bounded loads of
    Mirrokni, Thorup and Zadimoghaddam, 2018). Owners only say who should try
    first: nothing relies on there being one at a time.
    """
    names = list(nodes)
    wanted = list(shards)
    if not names:
        return {}
    share = math.ceil(len(wanted) / len(names))
    counts = dict.fromkeys(names, 0)
    owners = {}
    for shard in wanted:
        free = [name for name in names if counts[name] < share]
        owner = max(free, key=lambda name: (_weigh(shard, name), name))
        counts[owner] += 1
        owners[shard] = owner
    return owners


def _weigh(shard: str, node: str) -> bytes:
    return hashlib.blake2b(f"{shard}\0{node}".encode(), digest_size=8).digest()
