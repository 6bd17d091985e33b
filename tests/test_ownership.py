from collections import Counter

import pytest

from tarragonrudder.core.ownership import find_owner

NODES = [f"node-{index}" for index in range(7)]
SHARDS = [f"records/{number}" for number in range(700)]


def test_no_nodes() -> None:
    assert find_owner("records/1", []) is None


def test_order_does_not_matter() -> None:
    for shard in SHARDS:
        assert find_owner(shard, NODES) == find_owner(shard, reversed(NODES))


def test_shards_are_spread() -> None:
    counts = Counter(find_owner(shard, NODES) for shard in SHARDS)
    assert set(counts) == set(NODES)
    assert max(counts.values()) < 2 * len(SHARDS) / len(NODES)


@pytest.mark.parametrize("gone", NODES)
def test_only_shards_of_a_lost_node_move(gone: str) -> None:
    left = [node for node in NODES if node != gone]
    for shard in SHARDS:
        before = find_owner(shard, NODES)
        if before != gone:
            assert find_owner(shard, left) == before
