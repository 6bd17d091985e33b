"""Layout of the call records over values of the platform store."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordOptions:
    """Storage layout of the records; must be equal on all nodes.

    Attributes
    ----------
    shards : int
        Number of shards that the records are partitioned into.
    slots : int
        Number of platform values that form one shard's ring.
    seal_bytes : int
        Size in bytes from which a segment is sealed.
    seal_age : float
        Seconds after which a segment is sealed whatever its size, so that the
        amount of stored data follows the load and not the ring's size.
    max_slot_bytes : int
        Size in bytes that a segment must not exceed.
    max_batch_bytes : int
        Bytes that one swap may add.
    retention : float
        Minimum seconds for which a record is kept.
    commit_interval : float
        Mean seconds between two swaps of a busy shard.
    max_direct_nodes : int
        Largest number of live nodes with which every node writes its own
        swaps; in larger fleets each shard has an owner.
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
