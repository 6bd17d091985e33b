"""Gossip between nodes: load, crashes, culprits, configuration, upstreams."""

import base64
import math
import random
import typing as t

import httpx
import orjson
import trio
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.domain.forwarded_request import Trait
from tarragonrudder.core.forwarding.crash_tracker import (
    MAX_SHARED_RECORDS,
    CrashReport,
)
from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.upstream_limits import MAX_REPORTS, LimitReport
from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.platform.http_client import (
    WholeResponse,
    fetch_whole,
    make_client,
)
from tarragonrudder.platform.metadata_store import Position
from tarragonrudder.platform.registry import Registry
from tarragonrudder.platform.store_view import (
    decode_position,
    decode_view,
    encode_position,
    encode_view,
)

# Seconds between gossip rounds. Load changes within about a second, the duration of
# one stream; newer configurations are announced at once.
ROUND_PERIOD = 0.5
START_FANOUT = 4  # peers per round of a node that has just started
FANOUT = 2  # peers per round; fixed, so that its cost doesn't grow with the fleet
ANNOUNCE_FANOUT = 4  # peers per announcement; some will know the news already
ANNOUNCE_DELAY = 0.03  # seconds; batches the news that one fault causes
MAX_CONNECTIONS = 16  # two rounds and an announcement overlapping
MAX_IDLE_CONNECTIONS = 8
EXCHANGE_TIMEOUT = 0.4  # seconds; peers in a region respond within milliseconds
MAX_RESPONSE_BYTES = 16 << 20  # thousands of upstreams, each with its whole entry
MAX_KNOWN_PEERS = 4096
HEARD_PERIOD = 2.0  # seconds; some rounds
PATH_PREFIX = "/tarragonrudder/peer"


class PeerGossip:
    """Exchanges state with random peers, also while the store is unavailable.

    Parameters
    ----------
    name, address : str
        This node's name, and the ``HOST:PORT`` at which peers reach it.
    seeds : tuple of str
        Addresses of peers to contact before any are discovered.
    on_culprit : callable
        Called with the name of each culprit that this node learns of from a peer.
    describe : callable
        Returns what this node tells of itself.

    Attributes
    ----------
    views_applied : int
        Views of the store that peers told and that were newer than this node's own.
    """

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
        describe: t.Callable[[], PeerReport],
    ) -> None:
        self.views_applied = 0
        self._describe = describe
        self._on_culprit = on_culprit
        self._name = name
        self._address = address
        self._seeds = seeds
        self._state = state
        self._registry = registry
        self._log = log
        self._random = source
        self._known_addresses: set[str] = set()
        self._heard_at: dict[str, float] = {}
        self._tasks: BackgroundTasks | None = None
        self._announce_pending = False
        self._answered = 0  # exchanges that a peer answered
        self._answered_at = -math.inf
        self._client = make_client(
            EXCHANGE_TIMEOUT, MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS
        )

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the gossip rounds."""
        self._tasks = tasks
        tasks.keep_running(self._run_rounds, tasks)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses."""
        self._seeds = seeds

    def announce(self) -> None:
        """Send this node's state to some peers at once; they pass news on.

        Load pattern: a dead engine stalls streams on all nodes. In regular rounds
        alone, its name would need as long to reach all nodes of a large fleet as
        the period for which a culprit is avoided.
        """
        if self._tasks is not None and not self._announce_pending:
            self._announce_pending = True
            self._tasks.start_soon(self._announce, self._tasks)

    def add_routes(self, app: QuartTrio) -> None:
        """Register the HTTP endpoints that peers call."""

        @app.post(f"{PATH_PREFIX}/state")
        async def exchange_state() -> Response:
            try:
                message = orjson.loads(await request.get_data())
                self._merge_state(message)
                position = decode_position(message.get("position"))
            except (ValueError, TypeError) as error:
                self._log("peer_invalid", None, reason=repr(error))
                return Response(b"invalid state\n", 400)
            content = self._encode_state(position)
            return Response(content, content_type="application/json")

        @app.get(f"{PATH_PREFIX}/configuration")
        async def send_configuration() -> Response:
            return Response(self._registry.configuration_text)

        @app.get(f"{PATH_PREFIX}/upstreams")
        async def send_upstreams() -> Response:
            entries = {}
            for name, value in self._registry.upstream_entries.values.items():
                entries[name] = base64.b64encode(value).decode()
            return Response(orjson.dumps(entries), content_type="application/json")

    def list_peer_addresses(self) -> list[str]:
        """Return the addresses of other nodes that are presumed alive."""
        found = set(self._seeds)
        for item in self._registry.router_items.values():
            if item.value is not None and b"address" in item.value:
                try:
                    found.add(str(orjson.loads(item.value)["address"]))
                except (ValueError, KeyError, TypeError):
                    continue
        if self._registry.is_store_unavailable:
            found.update(self._known_addresses)
        found.discard(self._address)
        return sorted(found)

    def hears_peers(self) -> bool:
        """Tell whether a node has answered in the last `HEARD_PERIOD` seconds."""
        return trio.current_time() - self._answered_at <= HEARD_PERIOD

    def list_heard(self, period: float) -> list[str]:
        """Return the names of the nodes heard in the last `period` seconds."""
        oldest = trio.current_time() - period
        for name in [name for name, at in self._heard_at.items() if at < oldest]:
            del self._heard_at[name]
        return list(self._heard_at)

    async def _run_rounds(self, tasks: BackgroundTasks) -> None:
        while True:
            # Without the store's list of nodes, those who know more may be missed.
            is_complete = self._registry.has_snapshot
            has_asked_peers = self._registry.has_asked_peers
            chosen = self._sample_peers(FANOUT if has_asked_peers else START_FANOUT)
            answered = self._answered
            async with trio.open_nursery() as nursery:
                for address in chosen:
                    nursery.start_soon(tasks.run_guarded, self._exchange, address)
            if is_complete and not has_asked_peers:
                has_answer = self._answered > answered or not chosen
                self._registry.confirm_configuration(has_answer)
            wait = ROUND_PERIOD * (0.8 + 0.4 * self._random.random())
            if self._state.route_table is None:
                wait = 0.1
            await trio.sleep(wait)

    def _sample_peers(self, count: int) -> list[str]:
        nodes = self.list_peer_addresses()
        return self._random.sample(nodes, min(count, len(nodes)))

    async def _announce(self, tasks: BackgroundTasks) -> None:
        await trio.sleep(ANNOUNCE_DELAY)
        self._announce_pending = False
        for address in self._sample_peers(ANNOUNCE_FANOUT):
            tasks.start_soon(self._exchange, address)

    async def _exchange(self, address: str) -> None:
        asked_at = trio.current_time()
        try:
            response = await self._call(
                "POST", address, "state", content=self._encode_state()
            )
            message = orjson.loads(response.content)
            self._merge_state(message)
            self._known_addresses.add(address)
            if message["version"] > self._state.version:
                found = await self._call("GET", address, "configuration")
                if found.status_code == 200 and found.content:
                    self._registry.adopt(found.content, "peer")
            view = decode_view(message.get("view"))
            if view is not None and self._registry.apply_view(view, asked_at):
                self.views_applied += 1
            self._answered += 1
            self._answered_at = trio.current_time()
            # Entries of a peer that has lost the store, too, are better than none.
            known = self._registry.upstream_entries.values
            useful = not message["away"] or not known
            if view is not None or self._registry.is_ahead_of(
                decode_position(message.get("position"))
            ):
                useful = False
            if self._registry.is_store_unavailable and useful:
                await self._fetch_upstreams(address)
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            if address in self._known_addresses:
                self._known_addresses.remove(address)
                self._log("peer_lost", None, peer=address, reason=repr(error))

    async def _fetch_upstreams(self, address: str) -> None:
        response = await self._call("GET", address, "upstreams")
        entries = {}
        for name, value in orjson.loads(response.content).items():
            entries[name] = base64.b64decode(value)
        if entries:
            self._registry.replace_upstreams(entries)

    async def _call(
        self, method: str, address: str, name: str, **options: t.Any
    ) -> WholeResponse:
        url = f"http://{address}{PATH_PREFIX}/{name}"
        return await fetch_whole(
            self._client, method, url, EXCHANGE_TIMEOUT, MAX_RESPONSE_BYTES, **options
        )

    def _encode_state(self, peer_position: Position | None = None) -> bytes:
        """Encode what this node knows, with the changes that a peer lacks."""
        usage = {}
        for name, each in self._state.usage_tracker.snapshot_local().items():
            usage[name] = (each.requests, each.tokens)
        now = trio.current_time()
        own = self._describe()
        return orjson.dumps(
            {
                "node": self._name,
                "address": self._address,
                "version": self._state.version,
                "away": self._registry.is_store_unavailable,
                "usage": usage,
                "crashes": {},  # required by nodes that don't know crash_reports
                "crash_reports": _encode_crash_reports(
                    self._state.list_crash_reports(now)
                ),
                "culprits": self._state.list_culprits(now),
                "relay": {
                    "address": own.address,
                    "data_center": own.data_center,
                    "active": own.active,
                    "available": own.is_available,
                },
                "limits": _encode_limits(self._state.limits.snapshot(now)),
                "position": encode_position(self._registry.position),
                "view": encode_view(self._registry.describe_view(peer_position)),
            }
        )

    def _merge_state(self, message: t.Any) -> None:
        """Merge another node's state; raises ValueError if the message is invalid."""
        now = trio.current_time()
        try:
            node = str(message["node"])
            usage = {}
            for name, (requests, tokens) in message["usage"].items():
                usage[str(name)] = Usage(int(requests), int(tokens))
            crash_reports = _decode_crash_reports(message.get("crash_reports", []))
            report = _decode_report(message.get("relay"))
            limits = _decode_limits(message.get("limits", []))
            culprits = {str(k): float(v) for k, v in message["culprits"].items()}
            address = str(message["address"])
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"invalid message from a peer: {error!r}") from error
        if len(self._heard_at) < MAX_KNOWN_PEERS:
            self._heard_at[node] = now
        if len(self._known_addresses) < MAX_KNOWN_PEERS:
            self._known_addresses.add(address)
        self._state.usage_tracker.set_peer(node, usage, now)
        self._state.merge_crash_reports(crash_reports, now)
        if report is not None:
            self._state.peer_table.update(node, report, now)
        self._state.merge_limits(node, limits, now)
        for name, remaining in culprits.items():
            if self._state.merge_culprit(name, remaining, now):
                self._on_culprit(name)


def _encode_crash_reports(reports: t.Mapping[Trait, CrashReport]) -> list[t.Any]:
    rows = []
    for trait, report in reports.items():
        ages = {name: round(age, 3) for name, age in report.crash_ages.items()}
        rows.append([trait.kind, trait.key, round(report.sound_age, 3), ages])
    return rows


def _decode_crash_reports(rows: t.Any) -> dict[Trait, CrashReport]:
    """Decode a peer's reports; raises TypeError or ValueError if they are invalid."""
    reports = {}
    for kind, key, sound_age, ages in rows[:MAX_SHARED_RECORDS]:
        if kind not in ("request", "part"):
            continue  # of a newer version
        crash_ages = {str(name): float(age) for name, age in ages.items()}
        reports[Trait(kind, str(key))] = CrashReport(float(sound_age), crash_ages)
    return reports


def _decode_report(fields: t.Any) -> PeerReport | None:
    """Decode a peer's report on itself; None from an older version."""
    if fields is None:
        return None
    return PeerReport(
        str(fields["address"]),
        str(fields["data_center"]),
        int(fields["active"]),
        bool(fields["available"]),
    )


def _encode_limits(reports: t.Mapping[str, LimitReport]) -> list[t.Any]:
    rows = []
    for upstream, report in reports.items():
        rows.append(
            [upstream, report.limit, round(report.age, 3), round(report.rate, 2)]
        )
    return rows


def _decode_limits(rows: t.Any) -> dict[str, LimitReport]:
    """Decode a peer's reports; raises TypeError or ValueError if they are invalid."""
    reports = {}
    for upstream, limit, age, rate in rows[:MAX_REPORTS]:
        value = None if limit is None else max(0.0, float(limit))
        reports[str(upstream)] = LimitReport(
            value, max(0.0, float(age)), max(0.0, float(rate))
        )
    return reports
