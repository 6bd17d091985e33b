"""Tests of states that are sent compressed to nodes of other data centres."""

import orjson
import pytest
import trio

from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.platform.compression import MARK, compress
from tarragonrudder.platform.daemon import MAX_SIDE_BODY_BYTES
from tarragonrudder.platform.peer_message import (
    PeerMessageError,
    decode_state,
    encode_state,
)
from tests.site.test_configuration_spread import Fleet
from tests.site.test_odd_peers import STATE as MESSAGE


def make_message(data_center="zone-b", **changes):
    relay = {**MESSAGE["relay"], "data_center": data_center}
    return orjson.dumps({**MESSAGE, "relay": relay, **changes})


@pytest.mark.parametrize(
    "data_center,changes,expected",
    [
        ("zone-a", {"compressed": True}, False),
        ("zone-b", {"compressed": True}, True),
        ("zone-b", {"compressed": False}, False),
        ("zone-b", {}, False),  # of an older build
        ("zone-b", {"compressed": True, "relay": None}, False),
    ],
)
async def test_answer_is_compressed_for_another_data_center(
    data_center, changes, expected
):
    node = Fleet(1, 1).nodes["n:1"]
    answer = node.answer_state(make_message(data_center, **changes))
    assert answer.startswith(MARK) is expected
    assert decode_state(answer).reads_compressed


async def test_compressed_message_is_read():
    fleet = Fleet(1, 1)
    fleet.nodes["n:1"].answer_state(compress(make_message()))
    assert fleet.registries[0]._state.usage_tracker.measure("e-1").requests == 1


ODD = {
    "cut off": compress(make_message())[:-8],
    "not compressed": MARK + make_message(),
    "too long": compress(b" " * (17 << 20)),
    "no object": compress(b"[]"),
    "flag of another type": make_message(compressed="yes"),
}


@pytest.mark.parametrize("case", ODD)
async def test_odd_message_is_refused(case):
    fleet = Fleet(1, 1)
    with pytest.raises(PeerMessageError):
        fleet.nodes["n:1"].answer_state(ODD[case])
    assert fleet.registries[0]._state.usage_tracker.measure("e-1").requests == 0


class Recorder(Fleet):
    """A fleet of one or two builds that notes which states were sent compressed."""

    def __init__(self, size):
        self.sent = {}
        self.older = set()
        super().__init__(size, 1)

    async def call(self, method, address, name, content=b"", params=None):
        self.sent.setdefault(address, []).append(content.startswith(MARK))
        if address in self.older and content.startswith(MARK):
            raise PeerMessageError("invalid state")
        response = await super().call(method, address, name, content, params)
        if address not in self.older:
            return response
        state = decode_state(response.content)
        answer = orjson.loads(encode_state(state))
        del answer["compressed"]
        return type(response)(200, orjson.dumps(answer), response.headers)


async def test_nodes_compress_for_other_data_centers_only(autojump_clock):
    fleet = Recorder(3)
    async with trio.open_nursery() as nursery:
        fleet.nodes["n:1"].start(BackgroundTasks(nursery, pytest.fail))
        await trio.sleep(3.0)
        assert fleet.sent["n:2"] == [False] + [True] * (len(fleet.sent["n:2"]) - 1)
        # The node is started again with an older build.
        fleet.older.add("n:2")
        fleet.sent.clear()
        await trio.sleep(3.0)
        assert fleet.sent["n:2"] == [True] + [False] * (len(fleet.sent["n:2"]) - 1)
        nursery.cancel_scope.cancel()


async def test_nodes_of_one_data_center_send_plain_states(autojump_clock):
    fleet = Recorder(4)  # the first and the last one are in the same data centre
    async with trio.open_nursery() as nursery:
        fleet.nodes["n:1"].start(BackgroundTasks(nursery, pytest.fail))
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    assert not any(fleet.sent["n:4"])


@pytest.mark.parametrize(("size", "is_read"), [(0.9, True), (1.1, False), (4.0, False)])
def test_compressed_state_is_bounded_like_a_plain_one(size, is_read):
    # A short one that unpacked to four times as much took a small VM's memory.
    rows = int(size * MAX_SIDE_BODY_BYTES / 16)
    usage = {f"{number:07d}": (0, 0) for number in range(rows)}
    content = compress(orjson.dumps({**MESSAGE, "usage": usage}))
    if is_read:
        assert len(decode_state(content).usage) == rows
        return
    with pytest.raises(PeerMessageError):
        decode_state(content)
