"""What nodes tell each other: loads, suspicions, configuration, upstreams."""

import base64
import random
import typing as t

import httpx
import orjson
import trio
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.platform.client import make_client
from tarragonrudder.platform.registry import Registry

# Seconds between rounds. Loads change within about a second, the time that one
# stream takes; a newer configuration is told at once.
ROUND_PERIOD = 0.5
FANOUT = 2  # nodes in one round, so that a round's cost doesn't grow with the fleet
ANNOUNCE_FANOUT = 4  # nodes that are told news; some will have heard them
ANNOUNCE_DELAY = 0.03  # seconds in which news of one fault come together
CONNECTIONS = 16  # two rounds and an announcement at once
KEPT_CONNECTIONS = 8
TIMEOUT = 0.4  # seconds; within a region an answer takes milliseconds
MAX_NODES = 4096
PREFIX = "/tarragonrudder/peer"


class Peers:
    """Exchanges state with other nodes, whether the store is there or not."""

    def __init__(
        self,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        state: ForwardingState,
        registry: Registry,
        log: t.Callable[..., None],
        source: random.Random,
        on_culprit: t.Callable[[str], None],
    ) -> None:
        self._on_culprit = on_culprit
        self._name = name
        self._address = address
        self._seeds = seeds
        self._state = state
        self._registry = registry
        self._log = log
        self._random = source
        self._known: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._announcing = False
        self._client = make_client(TIMEOUT, CONNECTIONS, KEPT_CONNECTIONS)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin the rounds."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses to begin with."""
        self._seeds = seeds

    def announce(self) -> None:
        """Tell news to other nodes at once; they tell it on.

        Load pattern: a dead engine silences streams on all nodes; in rounds alone
        its name would take as long to reach a large fleet as it is avoided for.
        """
        if self._nursery is not None and not self._announcing:
            self._announcing = True
            self._nursery.start_soon(self._announce, self._nursery)

    def add_routes(self, app: QuartTrio) -> None:
        """Serve what other nodes ask for."""

        @app.post(f"{PREFIX}/state")
        async def exchange_state() -> Response:
            self._merge(orjson.loads(await request.get_data()))
            return Response(self._describe(), content_type="application/json")

        @app.get(f"{PREFIX}/configuration")
        async def send_configuration() -> Response:
            return Response(self._registry.configuration_text)

        @app.get(f"{PREFIX}/upstreams")
        async def send_upstreams() -> Response:
            entries = {}
            for name, value in self._registry.entries.items():
                entries[name] = base64.b64encode(value).decode()
            return Response(orjson.dumps(entries), content_type="application/json")

    def list_nodes(self) -> list[str]:
        """Return the addresses of other nodes that are taken to be alive."""
        found = set(self._seeds)
        for item in self._registry.nodes.values():
            if item.value is not None and b"address" in item.value:
                try:
                    found.add(str(orjson.loads(item.value)["address"]))
                except (ValueError, KeyError, TypeError):
                    continue
        if self._registry.is_away:
            found.update(self._known)
        found.discard(self._address)
        return sorted(found)

    async def _run(self) -> None:
        while True:
            chosen = self._choose(FANOUT)
            async with trio.open_nursery() as nursery:
                for address in chosen:
                    nursery.start_soon(self._exchange, address)
            wait = ROUND_PERIOD * (0.8 + 0.4 * self._random.random())
            if self._state.route_table is None:
                wait = 0.1
            await trio.sleep(wait)

    def _choose(self, count: int) -> list[str]:
        nodes = self.list_nodes()
        return self._random.sample(nodes, min(count, len(nodes)))

    async def _announce(self, nursery: trio.Nursery) -> None:
        await trio.sleep(ANNOUNCE_DELAY)
        self._announcing = False
        for address in self._choose(ANNOUNCE_FANOUT):
            nursery.start_soon(self._exchange, address)

    async def _exchange(self, address: str) -> None:
        try:
            response = await self._client.post(
                f"http://{address}{PREFIX}/state", content=self._describe()
            )
            message = orjson.loads(response.content)
            self._merge(message)
            self._known.add(address)
            if message["version"] > self._state.version:
                found = await self._client.get(
                    f"http://{address}{PREFIX}/configuration"
                )
                if found.status_code == 200 and found.content:
                    self._registry.adopt(found.content, "peer")
            # What a node knows that lost the store, too, is better than nothing.
            useful = not message["away"] or not self._registry.entries
            if self._registry.is_away and useful:
                await self._fetch_upstreams(address)
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            if address in self._known:
                self._known.remove(address)
                self._log("peer_lost", None, peer=address, reason=repr(error))

    async def _fetch_upstreams(self, address: str) -> None:
        response = await self._client.get(f"http://{address}{PREFIX}/upstreams")
        entries = {}
        for name, value in orjson.loads(response.content).items():
            entries[name] = base64.b64decode(value)
        if entries:
            self._registry.merge_entries(entries)

    def _describe(self) -> bytes:
        usage = {}
        for name, each in self._state.usage_tracker.snapshot_local().items():
            usage[name] = (each.requests, each.tokens)
        now = trio.current_time()
        return orjson.dumps(
            {
                "node": self._name,
                "address": self._address,
                "version": self._state.version,
                "away": self._registry.is_away,
                "usage": usage,
                "crashes": self._state.crash_counter.snapshot_local(),
                "culprits": self._state.list_culprits(now),
            }
        )

    def _merge(self, message: t.Any) -> None:
        """Take in another node's state; raises ValueError if it can't be read."""
        now = trio.current_time()
        try:
            node = str(message["node"])
            usage = {}
            for name, (requests, tokens) in message["usage"].items():
                usage[str(name)] = Usage(int(requests), int(tokens))
            crashes = {str(k): int(v) for k, v in message["crashes"].items()}
            culprits = {str(k): float(v) for k, v in message["culprits"].items()}
            address = str(message["address"])
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"a peer's message can't be read: {error!r}") from error
        if len(self._known) < MAX_NODES:
            self._known.add(address)
        self._state.usage_tracker.set_peer(node, usage, now)
        self._state.crash_counter.set_peer(node, crashes, now)
        for name, left in culprits.items():
            if self._state.merge_culprit(name, left, now):
                self._on_culprit(name)
