"""How the action records are laid out over platform values."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordOptions:
    """Sizes of the records' storage; the same on all nodes.

    Attributes
    ----------
    shards : int
        Number of shards over which the records are spread.
    slots : int
        Values of one shard's ring.
    seal_bytes : int
        A content of at least this size is sealed.
    seal_age : float
        Seconds after which a content is sealed whatever its size, so that
        what is kept follows the load and not the ring's size.
    max_slot_bytes : int
        Bytes beyond which nothing is added to a content.
    max_batch_bytes : int
        Bytes that one swap adds at most.
    retention : float
        Seconds for which a record is kept at least.
    commit_interval : float
        Mean seconds between two swaps of a busy shard.
    max_direct_nodes : int
        Up to this number of live nodes each node makes its own swaps.
    """

    shards: int = 64
    slots: int = 16
    seal_bytes: int = 128 * 1024
    seal_age: float = 225.0
    max_slot_bytes: int = 900 * 1024
    max_batch_bytes: int = 64 * 1024
    retention: float = 1800.0
    commit_interval: float = 0.3
    max_direct_nodes: int = 16


def find_shard(identity: str, options: RecordOptions) -> int:
    """Return the number of the shard that holds a record."""
    return zlib.crc32(identity.encode()) % options.shards
