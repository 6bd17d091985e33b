"""Gossip between nodes: load, crashes, culprits, configuration, upstreams."""

import math
import random
import typing as t

import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.membership.announcement_pacer import AnnouncementPacer
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.platform.compression import compress
from tarragonrudder.platform.configuration_exchange import (
    KNOWN_PARAMETER,
    ConfigurationAnswers,
    ConfigurationFetcher,
)
from tarragonrudder.platform.http_client import (
    WholeResponse,
    fetch_whole,
    make_client,
)
from tarragonrudder.platform.metadata_store import Position
from tarragonrudder.platform.peer_message import (
    PeerMessageError,
    PeerState,
    decode_entries,
    decode_state,
    encode_entries,
    encode_state,
)
from tarragonrudder.platform.registry import Registry

# Seconds between gossip rounds. Load changes within about a second, the duration of
# one stream; newer configurations are announced at once.
ROUND_PERIOD = 0.5
START_FANOUT = 4  # peers per round of a node that has just started
FANOUT = 2  # peers per round; fixed, so that its cost doesn't grow with the fleet
ANNOUNCE_FANOUT = 4  # peers per announcement; some will know the news already
# Peers per announcement of a configuration alone: each node reads or hears of it
# anyway, within its bound.
CONFIGURATION_FANOUT = 2
MAX_CONNECTIONS = 16  # two rounds and an announcement overlapping
MAX_IDLE_CONNECTIONS = 8
EXCHANGE_TIMEOUT = 0.4  # seconds; peers in a region respond within milliseconds
MAX_RESPONSE_BYTES = 16 << 20  # thousands of upstreams, each with its whole entry
MAX_KNOWN_PEERS = 4096
MAX_REASON = 500  # characters of a message's fault that are logged
HEARD_PERIOD = 2.0  # seconds; some rounds
PATH_PREFIX = "/tarragonrudder/peer"


class PeerGossip:
    """Exchanges state with random peers, also while the store is unavailable.

    Parameters
    ----------
    name, address : str
        This node's name, and the ``HOST:PORT`` at which peers reach it.
    data_center : str
        Where this node runs.
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
        data_center: str,
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
        self._data_center = data_center
        self._known_addresses: set[str] = set()
        # Addresses in other data centres of nodes that read compressed states.
        self._far_readers: set[str] = set()
        self._tasks: BackgroundTasks | None = None
        self._pacer = AnnouncementPacer()
        self._pending_fanout = 0  # of the announcement that is scheduled
        self._is_following = False
        self._answered = 0  # exchanges that a peer answered
        self._answered_at = -math.inf
        self._answers = ConfigurationAnswers(registry)
        self._configurations = ConfigurationFetcher(
            registry, data_center, self._call, log, source
        )
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
        """Send this node's state to some peers soon; they pass news on.

        Load pattern: a dead engine stalls streams on all nodes. In regular rounds
        alone, its name would need as long to reach all nodes of a large fleet as
        the period for which a culprit is avoided.
        """
        self._schedule_announcement(ANNOUNCE_FANOUT)

    def announce_configuration(self) -> None:
        """Send this node's state to fewer peers, as only its configuration is new."""
        self._schedule_announcement(CONFIGURATION_FANOUT)

    def add_routes(self, app: QuartTrio) -> None:
        """Register the HTTP endpoints that peers call."""

        @app.post(f"{PATH_PREFIX}/state")
        async def exchange_state() -> Response:
            try:
                content = self.answer_state(await request.get_data())
            except PeerMessageError as error:
                self._log("peer_invalid", None, reason=str(error)[:MAX_REASON])
                return Response(b"invalid state\n", 400)
            return Response(content, content_type="application/json")

        @app.get(f"{PATH_PREFIX}/configuration")
        async def send_configuration() -> Response:
            known = request.args.get(KNOWN_PARAMETER)
            if known is None:  # of an older build
                return Response(self._registry.configuration_text)
            content, content_type = self._answers.answer(known)
            return Response(content, content_type=content_type)

        @app.get(f"{PATH_PREFIX}/upstreams")
        async def send_upstreams() -> Response:
            content = encode_entries(self._registry.upstream_entries.values)
            return Response(content, content_type="application/json")

    def answer_state(self, content: bytes) -> bytes:
        """Take what a peer tells, and return what this node knows.

        Raises
        ------
        PeerMessageError
            If it can't be read; nothing of it is used.
        """
        message = decode_state(content)
        self._merge_state(message)
        self._follow(message)
        answer = encode_state(self._describe_state(message.position))
        return compress(answer) if self._is_far_reader(message) else answer

    def list_peer_addresses(self) -> list[str]:
        """Return the addresses of other nodes that are presumed alive."""
        found = {*self._seeds, *self._registry.node_addresses.values()}
        if self._registry.is_store_unavailable:
            found.update(self._known_addresses)
        found.discard(self._address)
        return sorted(found)

    def hears_peers(self) -> bool:
        """Tell whether a node has answered in the last `HEARD_PERIOD` seconds."""
        return trio.current_time() - self._answered_at <= HEARD_PERIOD

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

    def _schedule_announcement(self, fanout: int) -> None:
        if self._tasks is None:
            return
        is_pending = self._pending_fanout > 0
        self._pending_fanout = max(self._pending_fanout, fanout)
        if not is_pending:
            at = self._pacer.schedule(trio.current_time())
            self._tasks.start_soon(self._announce, at, self._tasks)

    async def _announce(self, at: float, tasks: BackgroundTasks) -> None:
        await trio.sleep_until(at)
        fanout, self._pending_fanout = self._pending_fanout, 0
        for address in self._sample_peers(fanout):
            tasks.start_soon(self._exchange, address)

    async def _exchange(self, address: str) -> None:
        asked_at = trio.current_time()
        try:
            content = encode_state(self._describe_state())
            if address in self._far_readers:
                content = compress(content)
            response = await self._call("POST", address, "state", content=content)
            message = decode_state(response.content)
            self._merge_state(message)
            if not self._is_far_reader(message):
                self._far_readers.discard(address)
            elif len(self._far_readers) < MAX_KNOWN_PEERS:
                self._far_readers.add(address)
            self._known_addresses.add(address)
            if message.version > self._state.version:
                await self._configurations.fetch(address, message.version)
            view = message.view
            if view is not None and self._registry.apply_view(view, asked_at):
                self.views_applied += 1
            self._answered += 1
            self._answered_at = trio.current_time()
            # Entries of a peer that has lost the store, too, are better than none.
            known = self._registry.upstream_entries.values
            useful = not message.is_store_away or not known
            if view is not None or self._registry.is_ahead_of(message.position):
                useful = False
            if self._registry.is_store_unavailable and useful:
                await self._fetch_upstreams(address)
        except (httpx.HTTPError, PeerMessageError) as error:
            self._far_readers.discard(address)  # it may run an older build now
            if address in self._known_addresses:
                self._known_addresses.remove(address)
                self._log("peer_lost", None, peer=address, reason=repr(error))

    async def _fetch_upstreams(self, address: str) -> None:
        response = await self._call("GET", address, "upstreams")
        entries = decode_entries(response.content)
        if entries:
            self._registry.replace_upstreams(entries)

    async def _call(
        self, method: str, address: str, name: str, **options: t.Any
    ) -> WholeResponse:
        url = f"http://{address}{PATH_PREFIX}/{name}"
        return await fetch_whole(
            self._client, method, url, EXCHANGE_TIMEOUT, MAX_RESPONSE_BYTES, **options
        )

    def _is_far_reader(self, message: PeerState) -> bool:
        """Tell whether what is sent to a node is better compressed.

        Bytes between data centres are dear, and those within one are not.
        """
        report = message.report
        return (
            message.reads_compressed
            and report is not None
            and report.data_center != self._data_center
        )

    def _follow(self, message: PeerState) -> None:
        """Fetch a configuration of which a peer has told that is newer.

        Load pattern: versions come more often than each node asks another one. Nodes
        that wait for their own turn to ask learn a version seconds late, or read it
        from the store, all of them whole.
        """
        if (
            self._tasks is None
            or self._is_following
            or message.version <= self._state.version
            or message.address not in self.list_peer_addresses()
        ):
            return
        self._is_following = True
        self._tasks.start_soon(self._fetch_configuration, message)

    async def _fetch_configuration(self, message: PeerState) -> None:
        try:
            await self._configurations.fetch(message.address, message.version)
        except httpx.HTTPError:
            pass  # the next round asks another peer
        finally:
            self._is_following = False

    def _describe_state(self, peer_position: Position | None = None) -> PeerState:
        """Return what this node knows, with the changes that a peer lacks."""
        now = trio.current_time()
        return PeerState(
            node=self._name,
            address=self._address,
            version=self._state.version,
            is_store_away=self._registry.is_store_unavailable,
            usage=self._state.usage_tracker.snapshot_local(),
            crash_reports=self._state.list_crash_reports(now),
            culprits=self._state.list_culprits(now),
            report=self._describe(),
            limits=self._state.limits.snapshot(now),
            announced_ends=self._state.upstream_table.list_announced_ends(),
            position=self._registry.position,
            view=self._registry.describe_view(peer_position),
            reads_compressed=True,
            lengths=self._state.answer_lengths.snapshot(now),
            nodes=self._state.known_nodes.count_seen(now),
        )

    def _merge_state(self, message: PeerState) -> None:
        """Merge another node's state."""
        now = trio.current_time()
        node = message.node
        if len(self._known_addresses) < MAX_KNOWN_PEERS:
            self._known_addresses.add(message.address)
        self._state.note_heard_node(node, message.nodes, now)
        self._state.usage_tracker.set_peer(node, message.usage, now)
        self._state.answer_lengths.merge(node, message.lengths, now)
        if message.lengths_dropped:
            self._log("lengths_dropped", None, peer=node, rows=message.lengths_dropped)
        self._state.merge_crash_reports(message.crash_reports, now)
        if message.report is not None:
            self._configurations.note_version(
                message.address, message.report.data_center, message.version
            )
            self._state.peer_table.update(node, message.report, now)
        self._state.merge_limits(node, message.limits, now)
        self._state.merge_announced_ends(message.announced_ends)
        for name, remaining in message.culprits.items():
            if self._state.merge_culprit(name, remaining, now):
                self._on_culprit(name)
