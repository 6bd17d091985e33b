import pathlib
import time
import typing as t

import httpx
import pytest
import trio

from tarragonrudder.core.domain.action import ReadEngineState, SendOrder
from tarragonrudder.core.domain.event import EngineStateRead, OrderAnswered
from tarragonrudder.edges.order_client import OrderClient
from tests.standins.cluster import API_KEY, BATCH_LIMIT, Cluster, EngineSpec, wait_until
from tests.standins.journal import read_journal

PLACED_TIMEOUT = 90.0  # seconds


@pytest.fixture
def cluster(tmp_path: pathlib.Path) -> t.Iterator[Cluster]:
    running = Cluster(tmp_path)
    try:
        yield running
    finally:
        running.close()


def start_engine(cluster: Cluster, *options: str) -> str:
    cluster.start_engine(EngineSpec("engine-1", "0-5", 1000.0))
    process = cluster.processes["engine-1"]
    process.terminate()
    process.wait(10.0)
    cluster.commands["engine-1"] += options
    cluster.start_process("engine-1")
    address = cluster.addresses["engine-1"]

    def alive() -> bool:
        try:
            return httpx.get(address + "/livez", timeout=1.0).status_code == 200
        except httpx.HTTPError:
            return False

    wait_until(alive, 15.0, "engine alive")
    return address


def make_order(address: str, fencing: int, first: int = 2) -> SendOrder:
    return SendOrder(
        "planner-order-7", "engine-1", address, fencing, "jury", "2", first, 4, 2.0
    )


async def send_all(*wanted: SendOrder | ReadEngineState) -> list[t.Any]:
    posted: list[t.Any] = []
    client = OrderClient(posted.append)
    for action in wanted:
        if isinstance(action, SendOrder):
            await client.send(action)
        else:
            await client.read(action)
    await client.close()
    return posted


@pytest.mark.parametrize(
    ("options", "outcomes", "numbers"),
    [
        (("--fencing",), ["done", "fenced", "done"], [7, 8]),
        ((), ["done", "done", "done"], [7, 6, 8]),
    ],
)
def test_orders(
    cluster: Cluster, options: tuple[str, ...], outcomes: list[str], numbers: list[int]
) -> None:
    address = start_engine(cluster, *options)
    read = ReadEngineState("engine-1", address, 2.0)
    orders = [make_order(address, number) for number in (7, 6, 8)]
    posted = trio.run(send_all, read, *orders, read)
    answers = [event for event in posted if isinstance(event, OrderAnswered)]
    assert [event.outcome for event in answers] == outcomes
    assert posted[0] == EngineStateRead("engine-1", "jury", "1", 0, 5, 0)
    assert posted[-1] == EngineStateRead("engine-1", "jury", "2", 2, 4, 0)
    accepted = read_journal(cluster.journal_path("engine-1"))
    assert [item["order"]["fencing"] for item in accepted] == numbers


def test_while_it_loads_an_engine_holds_nothing(cluster: Cluster) -> None:
    address = start_engine(cluster, "--load-seconds=0.2")
    read = ReadEngineState("engine-1", address, 2.0)
    posted = trio.run(send_all, make_order(address, 7), read)
    assert posted[-1].model == ""
    wait_until(
        lambda: trio.run(send_all, read)[-1].model == "jury", 10.0, "layers loaded"
    )


def test_an_engine_that_is_away_takes_no_order() -> None:
    posted = trio.run(
        send_all,
        make_order("http://127.0.0.1:9", 7),
        ReadEngineState("engine-1", "http://127.0.0.1:9", 2.0),
    )
    assert [event.outcome for event in posted] == ["refused"]


async def test_the_timeout_spans_the_whole_call() -> None:
    async def trickle(stream: trio.SocketStream) -> None:
        # Sends the head byte by byte, so that no single read times out.
        for byte in b"HTTP/1.1 200 OK\r\n" + b"x" * 100:
            await stream.send_all(bytes([byte]))
            await trio.sleep(0.3)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, trickle, listeners)
        begun = time.monotonic()
        posted = await send_all(make_order(f"http://127.0.0.1:{port}", 7))
        assert [event.outcome for event in posted] == ["lost"]
        assert time.monotonic() - begun < 10.0
        nursery.cancel_scope.cancel()


def test_busy_hours_move_an_engine(cluster: Cluster) -> None:
    cluster.start()
    lines = [
        "[model:draft@1]",
        "layers = 8",
        "layer_bytes = 1000",
        "[route:draft]",
        "model = draft@1",
        "[engine:slow-a]",
        "movable = true",
        # The engine holds layers of the other model until the order arrives.
        "[engine:slow-b]",
        "model = draft@1",
        "layers = 0-7",
        "movable = true",
        "[busy-hours:all-day]",
        "model = draft@1",
        "days = mon tue wed thu fri sat sun",
        "start = 00:00",
        "end = 00:00",
        "zone = Europe/Rome",
        # More than one engine with a full batch can serve, so that both must move.
        f"demand = {200 * BATCH_LIMIT}",
    ]
    target = cluster.folder / "configuration" / "20-placement.ini"
    target.write_text("\n".join(lines) + "\n")
    applied = cluster.apply()
    assert applied.returncode == 0, applied.stderr
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": "placed"}],
        "max_tokens": 4,
    }

    def answered(node: str) -> bool:
        response = httpx.post(
            cluster.addresses[node] + "/v1/chat/completions",
            json=body,
            headers={"authorization": f"Bearer {API_KEY}"},
            timeout=10.0,
        )
        return response.status_code == 200

    for node in cluster.nodes:
        wait_until(lambda node=node: answered(node), PLACED_TIMEOUT, f"draft by {node}")
    for engine in ("slow-a", "slow-b"):
        wait_until(
            lambda engine=engine: list_orders(cluster, engine) != [],
            PLACED_TIMEOUT,
            f"an order to {engine}",
        )
        for order in list_orders(cluster, engine):
            held = (order["model"], order["first"], order["last"])
            assert held == ("draft", 0, 7)


def list_orders(cluster: Cluster, engine: str) -> list[dict[str, t.Any]]:
    entries = read_journal(cluster.journal_path(engine))
    return [entry["order"] for entry in entries if entry["kind"] == "order"]
