import json
import logging
import pathlib
import random
import typing as t

import httpx
import pytest

from tarragonrudder.core.domain.event import Event, NodesListed, VmsListed
from tarragonrudder.core.domain.platform_event import KeyRead
from tarragonrudder.edges.platform_client import KeyValue, Listing, PlatformError
from tarragonrudder.edges.settings import NodeSettings, PlatformSettings, Settings
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.sync import NODES_PREFIX, PlatformSync

VM = {"name": "e1", "address": "10.0.0.1", "data_center": "x", "state": "leaving"}
GOOD_NODE = b'{"address": "http://10.0.0.2:1", "data_center": "x"}'


class EventRecorder:
    """Stand-in for the driver; records the events posted to it."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def post(self, event: Event) -> None:
        self.events.append(event)


class FakePlatformClient:
    """Stand-in for the platform client with fixed items and changes."""

    def __init__(self, *items: KeyValue) -> None:
        self.items = items
        self.changes: list[KeyValue] = []

    async def read_prefix(self, prefix: str, keys_only: bool = False) -> Listing:
        return Listing(self.items, 7)

    async def watch(self, prefix: str, revision: int) -> t.AsyncIterator[KeyValue]:
        assert revision == 8
        for change in self.changes:
            yield change
        raise PlatformError("ended")


def make_sync(
    client: FakePlatformClient,
    answer: t.Callable[[httpx.Request], httpx.Response] | None = None,
    timeout: float = 2.0,
) -> tuple[PlatformSync, EventRecorder]:
    node = NodeSettings(
        name="node-0",
        data_center="x",
        caller_bind="127.0.0.1:1",
        peer_bind="127.0.0.1:2",
        peer_address="http://127.0.0.1:2",
        peer_secret_file=pathlib.Path("/none"),
    )
    platform = PlatformSettings(
        address="http://platform", vms="http://platform/vms", timeout=timeout
    )
    recorder = EventRecorder()
    sync = PlatformSync(
        Settings(node=node, platform=platform),
        client,  # type: ignore[arg-type]
        recorder,  # type: ignore[arg-type]
        logging.getLogger("tests.sync"),
        StatsdMetrics(None, 0),
        random.Random(0),
        httpx.MockTransport(answer) if answer else None,
    )
    return sync, recorder


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[]",
        b"{}",
        b'{"address": "ftp://x", "data_center": "x"}',
        b'{"address": "http://x:http", "data_center": "x"}',
        b'{"address": "http://x:99999", "data_center": "x"}',
        b'{"address": "http://:1", "data_center": "x"}',
        b'{"address": ' + b"[" * 100_000,
        b"\xff",
    ],
)
async def test_a_damaged_entry_is_left_out(value: bytes) -> None:
    client = FakePlatformClient(
        KeyValue(NODES_PREFIX + "bad", value, 5),
        KeyValue(NODES_PREFIX + "good", GOOD_NODE, 6),
    )
    sync, recorder = make_sync(client)
    assert await sync._list_nodes() == 7
    (event,) = recorder.events
    assert isinstance(event, NodesListed)
    assert [node.name for node in event.nodes] == ["good"]


async def test_watch_posts_nodes_and_records() -> None:
    client = FakePlatformClient()
    client.changes = [
        KeyValue(NODES_PREFIX + "a", GOOD_NODE, 8),
        KeyValue("/tarragonrudder/control/configuration/folder", b"{}", 9),
        KeyValue(NODES_PREFIX + "a", b"", 10),
    ]
    sync, recorder = make_sync(client)
    with pytest.raises(PlatformError):
        await sync._watch(7)
    kinds = [type(event) for event in recorder.events]
    assert kinds == [NodesListed, KeyRead, NodesListed]
    assert recorder.events[2] == NodesListed(())


async def test_an_unchanged_list_of_vms_is_not_sent_again() -> None:
    seen = []

    def answer(request: httpx.Request) -> httpx.Response:
        seen.append(request.headers.get("if-none-match"))
        if seen[-1] == '"1"':
            return httpx.Response(304)
        return httpx.Response(200, json={"vms": [VM]}, headers={"etag": '"1"'})

    sync, recorder = make_sync(FakePlatformClient(), answer)
    await sync._read_vms("http://platform/vms")
    await sync._read_vms("http://platform/vms")
    assert seen == [None, '"1"']
    (event,) = recorder.events
    assert isinstance(event, VmsListed)
    assert event.vms[0].leaving


@pytest.mark.parametrize(
    "body", ["", "[]", "{}", json.dumps({"vms": [{}]}), '{"vms": 3}', "\x00"]
)
async def test_a_damaged_list_of_vms_changes_nothing(body: str) -> None:
    sync, recorder = make_sync(
        FakePlatformClient(), lambda _: httpx.Response(200, text=body)
    )
    await sync._read_vms("http://platform/vms")
    assert recorder.events == []


async def test_a_node_that_is_no_longer_listed_registers_anew() -> None:
    client = FakePlatformClient()
    client.changes = [KeyValue(NODES_PREFIX + "node-0", b"", 8)]
    sync, _ = make_sync(client)
    sync._lease = 5
    with pytest.raises(PlatformError):
        await sync._watch(7)
    assert sync._lease == 0
