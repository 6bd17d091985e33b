"""Rendezvous hashing, which assigns shards to live nodes.

Nodes with the same list of live nodes agree on each owner without exchanging
messages; a change of the list moves as few shards as possible
(Thaler and Ravishankar, 1998).
"""

import hashlib
import math
import typing as t


def hash_name(name: str) -> int:
    """Return a 64-bit hash of a name, the same in all processes."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


class ShardOwners:
    """Maps numbered shards to the live nodes that own them."""

    def __init__(self, shard_count: int) -> None:
        self._shard_count = shard_count
        self._nodes: frozenset[str] = frozenset()
        self._owners: dict[int, tuple[int, str]] = {}

    @property
    def nodes(self) -> frozenset[str]:
        """Names of the live nodes."""
        return self._nodes

    def set_nodes(self, names: t.Iterable[str]) -> None:
        """Replace the set of live nodes; unaffected shards keep their owners."""
        nodes = frozenset(names)
        added = nodes - self._nodes
        for shard, (score, owner) in list(self._owners.items()):
            if owner not in nodes:
                del self._owners[shard]
                continue
            for name in added:
                score, owner = max((score, owner), (_score(shard, name), name))
            self._owners[shard] = (score, owner)
        self._nodes = nodes

    def find_shard(self, name: str) -> int:
        """Return the number of the shard that a name belongs to."""
        return hash_name(name) % self._shard_count

    def find_owner(self, shard: int) -> str | None:
        """Return a shard's owner; None if there is no live node."""
        cached_owner = self._owners.get(shard)
        if cached_owner is None and self._nodes:
            cached_owner = max((_score(shard, name), name) for name in self._nodes)
            self._owners[shard] = cached_owner
        return cached_owner[1] if cached_owner is not None else None


def rank_nodes(key: str, names: t.Iterable[str]) -> list[str]:
    """Return the nodes in order of preference for a key, highest hash first."""
    return sorted(names, key=lambda name: (-hash_name(f"{key}/{name}"), name))


def assign_owners(shards: t.Iterable[str], nodes: t.Iterable[str]) -> dict[str, str]:
    """Return the owner of each shard; empty if there are no nodes.

    Each shard goes to the node with the highest hash among those below their
    even share, so that no node gets the work of several others (bounded loads,
    Mirrokni, Thorup and Zadimoghaddam, 2018). The owner is only the node that
    should try first; nothing relies on a shard having one owner at a time.
    """
    names = list(nodes)
    shard_names = list(shards)
    if not names:
        return {}
    share = math.ceil(len(shard_names) / len(names))
    counts = dict.fromkeys(names, 0)
    owners = {}
    for shard in shard_names:
        free = [name for name in names if counts[name] < share]
        owner = max((_score(shard, name), name) for name in free)[1]
        counts[owner] += 1
        owners[shard] = owner
    return owners


def _score(shard: int | str, node: str) -> int:
    return hash_name(f"{shard}/{node}")
