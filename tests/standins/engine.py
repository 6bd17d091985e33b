"""Stand-in of a model engine; the protocol is in ``docs/upstreams.md``.

Run it with ``python -m tests.standins.engine OPTIONS``. ``POST /faults`` sets
faults. A prompt that contains ``CRASH`` ends the process when it runs.
"""

import argparse
import os
import typing as t
from dataclasses import asdict, dataclass, field

import httpx
import orjson
import trio
from quart import Response, request
from quart_trio import QuartTrio

from tests.standins import model
from tests.standins.cache import KvCaches, prepare_cache
from tests.standins.journal import Journal
from tests.standins.serving import serve_app

HOP_TIMEOUT = 2.0  # seconds
CRASH_MARK = "CRASH"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Command-line options of an engine."""

    name: str
    port: int
    version: str
    first: int
    last: int
    layer_tokens_per_second: float
    checks_fencing: bool
    journal: str | None
    model: str = "jury"
    load_seconds: float = 0.0  # per layer


@dataclass(slots=True)
class LoadedLayers:
    """The layers that an engine has loaded; `model` is empty while it loads."""

    model: str
    version: str
    first: int
    last: int


@dataclass(slots=True)
class Faults:
    """Active faults.

    Attributes
    ----------
    leaving : bool
        New work is refused.
    frozen : bool
        Work and health checks block until the fault ends.
    slow : float
        Seconds added to each token on this stage.
    cut : int
        Position at which the stream to a node is cut once; negative for never.
    """

    leaving: bool = False
    frozen: bool = False
    slow: float = 0.0
    cut: int = -1


@dataclass(slots=True)
class State:
    """State of an engine."""

    options: EngineOptions
    journal: Journal
    client: httpx.AsyncClient
    faults: Faults = field(default_factory=Faults)
    caches: KvCaches = field(default_factory=KvCaches)
    running: int = 0
    fencing: int = 0
    loaded: LoadedLayers | None = None
    loads: int = 0
    cancelled: set[tuple[str, int]] = field(default_factory=set)


class HopFailed(Exception):
    """A later stage failed."""

    def __init__(self, kind: str, upstream: str) -> None:
        super().__init__(kind)
        self.kind = kind
        self.upstream = upstream


def find_loaded(state: State) -> LoadedLayers:
    """Return the loaded layers, at first those of the options."""
    if state.loaded is None:
        options = state.options
        state.loaded = LoadedLayers(
            options.model, options.version, options.first, options.last
        )
    return state.loaded


async def load_layers(state: State, order: dict[str, t.Any]) -> None:
    """Load the layers of an order; nothing is loaded meanwhile.

    An order that follows during the load supersedes it.
    """
    target = LoadedLayers(
        order["model"], order["version"], order["first"], order["last"]
    )
    if find_loaded(state) == target:
        return
    state.loads += 1
    load = state.loads
    state.loaded = LoadedLayers("", "", 0, -1)
    layers = target.last - target.first + 1
    await trio.sleep(layers * state.options.load_seconds)
    if state.loads == load:
        state.loaded = target


async def run_stage(
    state: State, work: dict[str, t.Any], position: int, index: int, value: bytes
) -> str:
    """Run this engine's layers and all later stages; return the token's text."""
    hop = work["chain"][index]
    options = state.options
    loaded = find_loaded(state)
    if (
        not loaded.first <= hop["first"] <= hop["last"] <= loaded.last
        or not loaded.model
    ):
        raise HopFailed("refused", options.name)
    while state.faults.frozen:
        await trio.sleep(0.05)
    done = await prepare_cache(state.caches, state.client, work, index, position)
    if done != "held":
        state.journal.write(
            "cache",
            upstream=options.name,
            request=work["request"],
            attempt=work["attempt"],
            position=position,
            done=done,
        )
    layers = hop["last"] - hop["first"] + 1
    await trio.sleep(layers / options.layer_tokens_per_second + state.faults.slow)
    state.journal.write(
        "layers",
        upstream=options.name,
        request=work["request"],
        attempt=work["attempt"],
        position=position,
        first=hop["first"],
        last=hop["last"],
    )
    state.caches.extend(work["request"], position)
    value = model.apply_layers(value, work["version"], hop["first"], hop["last"])
    if index + 1 == len(work["chain"]):
        return model.read_token(value)
    return await send_hop(state, work, position, index + 1, value)


async def send_hop(
    state: State, work: dict[str, t.Any], position: int, index: int, value: bytes
) -> str:
    """Send a token to the next stage and return its text."""
    hop = work["chain"][index]
    body = {
        "request": work["request"],
        "attempt": work["attempt"],
        "version": work["version"],
        "position": position,
        "index": index,
        "chain": work["chain"],
        "activation": value.hex(),
    }
    try:
        response = await state.client.post(hop["address"] + "/v1/hop", json=body)
    except httpx.ConnectError as error:
        raise HopFailed("unreachable", hop["upstream"]) from error
    except httpx.TimeoutException as error:
        raise HopFailed("stalled", hop["upstream"]) from error
    except httpx.HTTPError as error:
        raise HopFailed("crashed", hop["upstream"]) from error
    item = response.json()
    if "error" in item:
        raise HopFailed(item["error"], item["upstream"])
    identity = (item["request"], item["attempt"], item["position"])
    if identity != (work["request"], work["attempt"], position):
        raise HopFailed("refused", hop["upstream"])
    return item["text"]


def make_app(state: State) -> QuartTrio:
    """Return the stand-in's application."""
    app = QuartTrio(__name__)
    app.config["RESPONSE_TIMEOUT"] = None

    def respond(body: t.Any, status: int = 200) -> Response:
        return Response(
            orjson.dumps(body), status=status, content_type="application/json"
        )

    async def read_body() -> dict[str, t.Any]:
        return orjson.loads(await request.get_data())

    @app.get("/livez")
    async def report_alive() -> Response:
        while state.faults.frozen:
            await trio.sleep(0.05)
        return Response("ok")

    @app.post("/v1/generate")
    async def generate() -> Response:
        work = await read_body()
        if state.faults.leaving:
            return respond({"kind": "leaving"}, 503)
        state.journal.write(
            "accepted",
            upstream=state.options.name,
            request=work["request"],
            attempt=work["attempt"],
        )
        if CRASH_MARK in str(work["messages"]):
            os._exit(70)

        async def send_tokens() -> t.AsyncIterator[bytes]:
            state.running += 1
            try:
                async for item in _generate_items(state, work):
                    if item.get("position") == state.faults.cut:
                        state.faults.cut = -1
                        raise ConnectionResetError("cut by a fault")
                    item["request"] = work["request"]
                    item["attempt"] = work["attempt"]
                    yield b"data: " + orjson.dumps(item) + b"\n\n"
            finally:
                state.running -= 1

        return Response(send_tokens(), content_type="text/event-stream")

    @app.post("/v1/hop")
    async def run_hop() -> Response:
        work = await read_body()
        if state.faults.leaving and work["position"] == 0:
            return respond({"error": "leaving", "upstream": state.options.name})
        try:
            text = await run_stage(
                state,
                work,
                work["position"],
                work["index"],
                bytes.fromhex(work["activation"]),
            )
        except HopFailed as error:
            return respond({"error": error.kind, "upstream": error.upstream})
        answer = {key: work[key] for key in ("request", "attempt", "position")}
        return respond({**answer, "text": text})

    @app.post("/v1/cancel")
    async def cancel() -> Response:
        work = await read_body()
        state.cancelled.add((work["request"], work["attempt"]))
        return respond({})

    @app.post("/v1/kv/export")
    async def export_cache() -> Response:
        work = await read_body()
        entry = state.caches.find(
            work["request"], work["attempt"], work["first"], work["last"]
        )
        if entry is None:
            return respond({"kind": "cache_missing"}, 404)
        return respond({"length": entry.length})

    @app.get("/v1/load")
    async def report_load() -> Response:
        return respond({"running": state.running, "queued": 0, "age": 0.0})

    @app.post("/v1/orders")
    async def accept_order() -> Response:
        order = await read_body()
        if state.options.checks_fencing and order["fencing"] < state.fencing:
            return respond({"kind": "fenced", "fencing": state.fencing}, 409)
        state.fencing = max(state.fencing, order["fencing"])
        state.journal.write("order", upstream=state.options.name, order=order)
        app.add_background_task(load_layers, state, order)
        return respond({"kind": "done"})

    @app.get("/v1/state")
    async def report_state() -> Response:
        loaded = find_loaded(state)
        body = asdict(loaded) | {"running": state.running, "fencing": state.fencing}
        return respond(body)

    @app.post("/faults")
    async def set_faults() -> Response:
        state.faults = Faults(**await read_body())
        return respond({})

    return app


async def _generate_items(
    state: State, work: dict[str, t.Any]
) -> t.AsyncIterator[dict[str, t.Any]]:
    emitted = list(work["emitted"])
    load = {"running": state.running, "queued": 0, "age": 0.0}
    yield {"load": load, "upstream": state.options.name}
    while len(emitted) < work["max_tokens"]:
        if (work["request"], work["attempt"]) in state.cancelled:
            return
        position = len(emitted)
        value = model.start_token(work["messages"], emitted)
        try:
            text = await run_stage(state, work, position, 0, value)
        except HopFailed as error:
            yield {"error": error.kind, "upstream": error.upstream}
            return
        emitted.append(text)
        yield {"position": position, "text": text}
    yield {
        "finish_reason": "length",
        "length": len(emitted),
        "prompt_tokens": len(str(work["messages"]).split()),
    }


async def run(options: EngineOptions) -> None:
    """Serve until a signal arrives."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
    async with httpx.AsyncClient(timeout=HOP_TIMEOUT, limits=limits) as client:
        state = State(options, Journal(options.journal), client)
        await serve_app(make_app(state), options.port)
        state.journal.close()


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--version", default="1")
    parser.add_argument("--layers", required=True)
    parser.add_argument("--speed", type=float, default=1000.0)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument("--journal")
    parser.add_argument("--model", default="jury")
    parser.add_argument("--load-seconds", type=float, default=0.0)
    given = parser.parse_args()
    first, _, last = given.layers.partition("-")
    options = EngineOptions(
        given.name,
        given.port,
        given.version,
        int(first),
        int(last),
        given.speed,
        given.fencing,
        given.journal,
        given.model,
        given.load_seconds,
    )
    trio.run(run, options)


if __name__ == "__main__":
    main()
