"""Lengths of answers that nodes tell each other."""

import math

import orjson
import pytest

from tarragonrudder.core.forwarding.answer_lengths import (
    MAX_SHARED,
    AnswerLengths,
    LengthKey,
    LengthSums,
)
from tarragonrudder.platform.peer_lengths import decode_lengths, encode_lengths
from tests.site.site import open_site
from tests.site.test_odd_peers import STATE, post
from tests.site.upstream import UpstreamStandIn

KEY = LengthKey("engines", "draft", True)
ROW = {
    "service": "engines",
    "route": "draft",
    "declared": True,
    "sums": [40.0, 200.0, 140.0, 1010.0, 705.0, 500.0, 1500.0],
}
ODD_ROWS = {
    "no list": 7,
    "text": "x",
    "a row that is a number": [3],
    "a sum too few": [{**ROW, "sums": ROW["sums"][:6]}],
    "negative weight": [{**ROW, "sums": [-40.0, *ROW["sums"][1:]]}],
    "absurd weight": [{**ROW, "sums": [4e9, *ROW["sums"][1:]]}],
    "absurd length": [{**ROW, "sums": [40.0, 200.0, 9000.0, *ROW["sums"][3:]]}],
    "sums as text": [{**ROW, "sums": ["1"] * 7}],
    "huge number": [{**ROW, "sums": [10**400, *ROW["sums"][1:]]}],
    "long name": [{**ROW, "route": "r" * 1000}],
    "too many": [{**ROW, "route": f"r{n}"} for n in range(MAX_SHARED + 1)],
}


def test_sums_come_back_as_sent():
    lengths = AnswerLengths()
    for number in range(50):
        lengths.observe(KEY, 90 + number, 20 + number, 0.0)
    sent = lengths.snapshot(0.0)
    rows, dropped = decode_lengths(orjson.loads(orjson.dumps(encode_lengths(sent))))
    assert dropped == 0
    assert rows[KEY].values == pytest.approx(sent[KEY].values, abs=0.001)


@pytest.mark.parametrize("case", ODD_ROWS)
def test_odd_rows_are_left_out(case):
    rows, dropped = decode_lengths(ODD_ROWS[case])
    assert dropped > 0
    assert len(rows) <= MAX_SHARED
    assert all(sums.is_valid for sums in rows.values())


@pytest.mark.parametrize("case", sorted(set(ODD_ROWS) - {"huge number", "too many"}))
async def test_odd_rows_of_a_peer_move_no_decision(case, capfd):
    async with open_site() as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        message = {**STATE, "lengths": ODD_ROWS[case]}
        assert await post(node, orjson.dumps(message)) == 200
        state = node.daemon.state
        assert state.usage_tracker.measure("e-1").requests == 1
        assert not state.answer_lengths._peers
        assert (await node.ask("/draft/1")).status == 200
    assert capfd.readouterr().out.count('"lengths_dropped"') == 1


async def test_nodes_learn_from_each_other():
    async with open_site() as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        answer = await node.ask("/draft/1")
        assert (answer.status, answer.whole) == (200, True)
        lengths = node.daemon.state.answer_lengths
        assert sum(sums.weight for _, sums in lengths._own.values()) == 1.0
        message = {**STATE, "lengths": [ROW]}
        assert await post(node, orjson.dumps(message)) == 200
        assert lengths._peers["odd"][1] == {KEY: LengthSums(*map(float, ROW["sums"]))}
        assert all(map(math.isfinite, lengths._peers["odd"][1][KEY].values))
