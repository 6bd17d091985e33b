"""Entries of another writer below the upstreams' keys, beside those of upstreams."""

import orjson
import pytest
import trio

from tests.site.site import open_site
from tests.site.upstream import UpstreamStandIn

SOUND = UpstreamStandIn("sound", address="127.0.0.1:9").describe()


def change(**fields):
    return orjson.dumps({**SOUND, **fields})


ODD_ENTRIES = {
    "named-port": change(address="127.0.0.1:http"),
    "port-too-large": change(address="127.0.0.1:99999"),
    "no-port": change(address="127.0.0.1"),
    "no-host": change(address=":80"),
    "spaces": change(address="127.0.0.1:80 80"),
    "layers-beyond-the-model": change(layers={"from": 60, "target": 81, "version": 1}),
    "endless-layers": change(layers={"from": 0, "target": 2**62, "version": 1}),
    "huge-slots": orjson.dumps(SOUND)[:-1] + b',"slots":' + b"9" * 4000 + b"}",
    "infinite-slots": orjson.dumps(SOUND)[:-1] + b',"slots":1e999}',
    "deep": b"[" * 200_000,
    "deep-field": orjson.dumps(SOUND)[:-1] + b',"x":' + b'{"a":' * 200_000,
    "bytes": b"\xff\xfe\x00",
    "empty": b"",
    "null": b"null",
}


@pytest.mark.parametrize("case", ODD_ENTRIES)
async def test_odd_entry_ends_no_task_and_hides_no_other_entry(case):
    # Each ended the process of the planner, or stopped a node from following the list.
    async with open_site() as site:
        engines = [UpstreamStandIn(f"engine-{n}", kind="fast") for n in range(4)]
        await site.add(*engines, UpstreamStandIn("plain", "plain", kind=""))
        site.store.put("servers/odd", ODD_ENTRIES[case])
        node = await site.add_node()
        with trio.fail_after(15.0):
            while not engines[0].orders:  # the planner acts
                await trio.sleep(0.05)
        site.store.put("servers/odd", ODD_ENTRIES[case] + b" ")
        await trio.sleep(1.5)  # some rounds of the planner
        await site.add(UpstreamStandIn("later", "plain", kind=""))
        with trio.fail_after(5.0):
            while node.daemon.state.upstream_table.find("later") is None:
                await trio.sleep(0.05)
        for _ in range(4):
            answer = await node.ask("/look/1")
            assert (answer.status, answer.whole) == (200, True)


@pytest.mark.parametrize("name", ["two words", "\u00e4\u20ac", "line\nbreak"])
async def test_odd_name_gets_no_request(name):
    # A name that fits no header raised for each request that chose its entry.
    async with open_site() as site:
        plain = UpstreamStandIn("plain", "plain", kind="")
        await site.add(plain)
        site.store.put(f"servers/{name}", {**plain.describe(), "slots": 1000})
        node = await site.add_node()
        await trio.sleep(0.5)
        for _ in range(6):
            answer = await node.ask("/record/1")
            assert (answer.status, answer.whole) == (200, True)
