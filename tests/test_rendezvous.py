from collections import Counter

import pytest

from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.domain.rendezvous import assign_owners

READS_PER_SECOND = 2000
SHARDS = [f"records/{number}" for number in range(64)]


def name_nodes(count: int) -> list[str]:
    return [f"node-{index}" for index in range(count)]


def test_no_nodes() -> None:
    assert assign_owners(SHARDS, []) == {}


@pytest.mark.parametrize("count", [1, 7, 17, 64, 400])
def test_order_does_not_matter_and_shares_are_even(count: int) -> None:
    nodes = name_nodes(count)
    owners = assign_owners(SHARDS, nodes)
    assert owners == assign_owners(SHARDS, reversed(nodes))
    assert set(owners) == set(SHARDS)
    assert max(Counter(owners.values()).values()) <= -(-len(SHARDS) // count)


@pytest.mark.parametrize("count", [17, 50, 63, 64, 65, 400])
def test_reads_after_a_loss_fit_the_platform(count: int) -> None:
    """A new owner reads all values of its shard; 2,000 reads/s are served."""
    nodes = name_nodes(count)
    before = assign_owners(SHARDS, nodes)
    for gone in nodes[:: max(1, count // 20)]:
        after = assign_owners(SHARDS, [node for node in nodes if node != gone])
        moved = sum(before[shard] != after[shard] for shard in SHARDS)
        assert moved * RecordOptions().slots <= READS_PER_SECOND / 2
