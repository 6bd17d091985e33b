"""Cached view of the metadata store: configuration, upstreams and router nodes."""

import math
import random
import typing as t

import trio

from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.membership.document_history import (
    DocumentChange,
    DocumentHistory,
    compute_digest,
)
from tarragonrudder.core.membership.read_schedule import ReadSchedule
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.platform import protocol
from tarragonrudder.platform.decoding import (
    DocumentError,
    decode_configuration,
    decode_node_entry,
    decode_version,
)
from tarragonrudder.platform.metadata_store import (
    Changes,
    HistoryLost,
    Item,
    MetadataStore,
    Position,
    StoreError,
)
from tarragonrudder.platform.store_view import ChangeLog, StoreView
from tarragonrudder.platform.upstream_entries import UpstreamEntries

# Wait time of one watch as a part of the time limit of a change. A watch that returns
# nothing tells peers that there was nothing; a longer one would tell them too late.
WATCH_SHARE = 0.25
# Wait time of the first watch after failed calls in seconds: its answer tells whether
# the store was restored meanwhile.
RECONNECT_WAIT = 0.05
# Seconds that a node which has just started waits for the answer of any peer before
# it uses the store's configuration.
PEER_WAIT = 1.0
# Seconds; no entry expires in a shorter outage, as entries survive a few missed
# heartbeats.
MIN_EXPIRY_OUTAGE = 2.0
# Seconds of failing calls after which the store counts as unavailable, and the entries
# are fetched from peers.
UNAVAILABLE_AFTER = 0.6


class Registry:
    """Watches the store's keys and applies their values to the routing state.

    Parameters
    ----------
    change_bound : float
        Seconds within which a change must be applied.
    max_call_rate : float
        Calls per second that the store allows all nodes together.

    Attributes
    ----------
    configuration_text : bytes
        Configuration in force, as it was received; empty without one.
    configuration_digest : str
        Digest of it.
    configuration_history : DocumentHistory
        The last changes that led to it.
    upstream_entries : UpstreamEntries
        Entries of the upstreams.
    node_addresses : dict of str to str
        Addresses of the registered nodes by their names.
    has_planner : bool
        Whether a node holds the planner's lease.
    has_snapshot : bool
        Whether all keys have been listed from the store at least once.
    has_asked_peers : bool
        Whether peers had the chance to tell a newer configuration than the store's.
    on_adopted : callable
        Called after a newer configuration has come into force.
    hears_peers : callable
        Tells whether other nodes answer this one.
    """

    def __init__(
        self,
        store: MetadataStore,
        state: ForwardingState,
        log: t.Callable[..., None],
        source: random.Random,
        change_bound: float,
        max_call_rate: float,
    ) -> None:
        self._schedule = ReadSchedule(change_bound, max_call_rate, source)
        self._watch_wait = WATCH_SHARE * change_bound
        self._store = store
        store.on_epoch = self._handle_epoch
        self._state = state
        self._log = log
        self._position: Position | None = None
        # Time up to which all changes are known, from the store or from peers.
        self._current_at = -math.inf
        self._change_log = ChangeLog()
        # Pages of a listing may hold changes that are newer than its position.
        self._listed_revision = 0
        self._configuration_revision = 0
        self._failing_since: float | None = None
        self._failures = 0
        self._watching = trio.CancelScope()
        self._listed_epoch = 0
        self._snapshot_at = math.inf
        self._unconfirmed_configuration: bytes | None = None
        self.has_asked_peers = False
        self.upstream_entries = UpstreamEntries(state.upstream_table, log)
        self.configuration_text: bytes = b""
        self.configuration_digest = compute_digest(b"")
        self.configuration_history = DocumentHistory()
        self.node_addresses: dict[str, str] = {}
        self.has_planner = False
        self.has_snapshot = False
        self.on_adopted: t.Callable[[], None] = lambda: None
        self.hears_peers: t.Callable[[], bool] = lambda: False

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self._state.version

    @property
    def position(self) -> Position | None:
        """Position up to which all changes are known; None before a listing."""
        return self._position

    @property
    def view_age(self) -> float:
        """Seconds since when there may be changes that are not known."""
        return trio.current_time() - self._current_at

    @property
    def is_store_unavailable(self) -> bool:
        """Whether calls have failed for `UNAVAILABLE_AFTER` s or none has ended.

        It isn't while peers tell what the store refuses to tell this node.
        """
        if self._failing_since is None:
            return not self.has_snapshot
        since = max(self._failing_since, self._current_at)
        return trio.current_time() - since > UNAVAILABLE_AFTER

    @property
    def node_count(self) -> int:
        """Number of nodes that were listed or heard lately, at least 1."""
        return max(1, self._state.known_nodes.count(trio.current_time()))

    @property
    def node_names(self) -> list[str]:
        """Names of the registered nodes; may not include this one yet."""
        return list(self.node_addresses)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to watch the store."""
        tasks.keep_running(self._run_watch)

    def adopt(
        self, text: bytes, origin: str, changes: t.Sequence[DocumentChange] = ()
    ) -> bool:
        """Apply a configuration if it is valid and newer than the one in force.

        The store's content also replaces another one of the same version: after a
        restoration the operator may write it differently.

        Parameters
        ----------
        origin : str
            Where it comes from, for the log: ``store`` or ``peer``.
        changes : sequence of DocumentChange
            The changes that led to it from the one in force, if they are known.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if text and text == self.configuration_text:
            return False  # a peer has told it already
        try:
            table = decode_configuration(text)
        except DocumentError as error:
            self._log("configuration_invalid", None, reason=str(error), source=origin)
            return False
        previous_version = self._state.version
        if origin == "store" and table.version < previous_version:
            self._log(
                "configuration_older",
                None,
                version=table.version,
                in_force=previous_version,
                reason="a node never goes back; write it again as a higher version",
            )
            return False
        is_rewritten = origin == "store" and text != self.configuration_text
        try:
            if not self._state.adopt(table, is_rewritten):
                return False
        except Exception as error:  # changes behind it must still be applied
            self._log("configuration_failed", None, reason=repr(error), source=origin)
            return False
        self._note_change(text, changes)
        self._log(
            "configuration_adopted",
            None,
            version=table.version,
            before=previous_version,
            source=origin,
        )
        self.on_adopted()
        return True

    def _note_change(self, text: bytes, changes: t.Sequence[DocumentChange]) -> None:
        before, self.configuration_text = self.configuration_text, text
        if changes and changes[0].before == self.configuration_digest:
            self.configuration_history.extend(changes)
        else:
            self.configuration_history.note(before, text)
        self.configuration_digest = compute_digest(text)

    def confirm_configuration(self, has_answer: bool) -> None:
        """Apply the store's first configuration, after peers were asked for theirs.

        The store may have been restored from an older copy just before this node
        started. Without an answer of a peer it is applied after `PEER_WAIT`.
        """
        waited = trio.current_time() - self._snapshot_at
        if self.has_asked_peers or not (has_answer or waited >= PEER_WAIT):
            return
        self.has_asked_peers = True
        text, self._unconfirmed_configuration = self._unconfirmed_configuration, None
        if text is not None:
            self.adopt(text, "store")

    def is_ahead_of(self, position: Position | None) -> bool:
        """Tell whether this node has read more than a peer at a position."""
        own = self._position
        if own is None or position is None or own.epoch != position.epoch:
            return False
        return own.revision > position.revision

    def describe_view(self, after: Position | None) -> StoreView | None:
        """Return the changes after a peer's position; None if not all are known."""
        position = self._position
        if position is None or after is None or after.epoch != position.epoch:
            return None
        if after.revision > position.revision:
            return None
        items = self._change_log.list_since(after.revision)
        if items is None:
            return None
        configuration = (self._configuration_revision, self.configuration_digest)
        return StoreView(position, self.view_age, configuration, tuple(items))

    def apply_view(self, view: StoreView, asked_at: float) -> bool:
        """Apply the changes that a peer knows; return whether they were newer.

        They replace a read of the store. Nothing is applied where they may hide what
        this node has to read itself: a configuration that is not in force here, a
        restoration, or whether an entry that is held back was written again.

        Parameters
        ----------
        asked_at : float
            Time at which the peer was asked; it has answered since.
        """
        position = self._position
        if (
            position is None
            or view.position.epoch != position.epoch
            or view.position.epoch != self._store.epoch
            or view.position.revision < position.revision
            or asked_at - view.age <= self._current_at
            or self.upstream_entries.has_held
        ):
            return False
        revision, digest = view.configuration
        if (
            revision != self._configuration_revision
            and digest != self.configuration_digest
        ):
            return False
        self._configuration_revision = revision
        self._apply_changes(Changes(view.items, view.position), asked_at - view.age)
        return True

    def replace_upstreams(self, entries: t.Mapping[str, bytes]) -> None:
        """Replace all entries by those of a peer, while the store is away.

        They may be older than what this node has read, so it must list them anew.
        """
        self._position = None
        self.upstream_entries.replace(entries)

    async def _run_watch(self) -> None:
        """Read all keys' changes with a single watch, as each call has a cost."""
        while True:
            try:
                if self._position is None:
                    started_at = trio.current_time()
                    self._apply_snapshot(await self._store.list(""), started_at)
                elif not await self._read_changes():
                    continue
                self._schedule.note_read(self.node_count, trio.current_time())
                self._note_success()
            except HistoryLost as error:
                revision = self._position.revision if self._position else None
                self._log("history_lost", None, revision=revision, reason=str(error))
                self._position = None
            except StoreError as error:
                self._schedule.note_read(self.node_count, trio.current_time())
                await trio.sleep(self._note_failure(error))

    async def _read_changes(self) -> bool:
        """Read changes when that is due; return False if the store was restored."""
        with trio.CancelScope() as self._watching:
            while True:
                due = self._schedule.compute_due(self._current_at)
                if due <= trio.current_time():
                    break
                await trio.sleep_until(due)
            position = self._position
            if position is not None and position.epoch == self._store.epoch:
                wait = RECONNECT_WAIT if self._failures else self._watch_wait
                started_at = trio.current_time()
                changes = await self._store.watch("", position, wait)
                # With changes it may have returned at any time since.
                read_at = started_at if changes.items else started_at + wait
                self._apply_changes(changes, min(read_at, trio.current_time()))
                return True
        self._position = None
        return False

    def _note_success(self) -> None:
        self._failures = 0
        if self._failing_since is None or self._position is None:
            return
        self._failing_since = None
        self._log("store_back", None, revision=self._position.revision)

    def _note_failure(self, error: StoreError) -> float:
        """Record a failed call; return the seconds until the next one."""
        if self._failing_since is None:
            self._failing_since = trio.current_time()
            self._log("store_lost", None, reason=str(error))
        self._failures += 1
        return self._schedule.draw_retry_period(
            self._failures, self.node_count, self.hears_peers()
        )

    def _end_outage(self) -> None:
        """Give upstreams whose entries expired in an outage time to register again."""
        if self._failing_since is None:
            return
        outage = trio.current_time() - max(self._failing_since, self._current_at)
        if outage > MIN_EXPIRY_OUTAGE:
            self.upstream_entries.begin_grace()

    def _handle_epoch(self, before: int, epoch: int) -> None:
        # Any call may be the first to learn of it; a watch may be waiting since before.
        self._watching.cancel()
        self._log(
            "store_epoch", None, before=before, epoch=epoch, version=self._state.version
        )

    def _apply_snapshot(self, changes: Changes, read_at: float) -> None:
        epoch = changes.position.epoch
        is_restored = self.has_snapshot and epoch != self._listed_epoch
        if is_restored:
            # What registered since the copy was made registers again.
            self.upstream_entries.begin_grace()
        self._end_outage()
        self._listed_epoch = epoch
        entries = []
        self.node_addresses = {}
        self.has_planner = False
        for item in changes.items:
            if item.value is None:
                continue
            if item.key.startswith(protocol.UPSTREAM_PREFIX):
                entries.append(item)
            elif item.key.startswith(protocol.ROUTER_PREFIX):
                self._apply_router_item(item)
            elif item.key == protocol.CONFIGURATION_KEY:
                self._apply_configurations((item,))
        self.upstream_entries.apply_listing(entries, is_restored)
        self._change_log.reset(changes.position)
        self._listed_revision = max(
            (item.revision for item in changes.items), default=0
        )
        self._position = changes.position
        self._current_at = read_at
        if not self.has_snapshot:
            self.has_snapshot = True
            self._snapshot_at = trio.current_time()
        self._state.note_listed_nodes(self.node_names, trio.current_time())

    def _apply_changes(self, changes: Changes, read_at: float) -> None:
        """Apply changes that were complete up to a time."""
        known = self._position
        if known is None:
            return
        self._end_outage()
        configurations = []
        for item in changes.items:
            if item.revision <= known.revision:
                continue  # a peer has told it while the store was read
            if item.key.startswith(protocol.UPSTREAM_PREFIX):
                is_news = self.upstream_entries.apply_change(item)
                if is_news or item.revision <= self._listed_revision:
                    self._change_log.note(item)
            elif item.key.startswith(protocol.ROUTER_PREFIX):
                self._change_log.note(item)
                self._apply_router_item(item)
            elif item.key == protocol.CONFIGURATION_KEY and item.value is not None:
                configurations.append(item)
        if configurations:
            self._apply_configurations(configurations)
        if changes.position.revision > known.revision:
            self._position = changes.position
        self._current_at = max(self._current_at, read_at)

    def _apply_router_item(self, item: Item) -> None:
        """Apply what a node wrote, or what another writer put beside it."""
        if item.key == protocol.PLANNER_KEY:
            self.has_planner = item.value is not None
        if not item.key.startswith(protocol.NODE_PREFIX):
            return
        name = item.key.removeprefix(protocol.NODE_PREFIX)
        self.node_addresses.pop(name, None)
        if item.value is None:
            return
        try:
            self.node_addresses[name] = decode_node_entry(item.value)
        except DocumentError as error:
            self._log("node_entry_invalid", None, peer=name, reason=str(error))

    def _apply_configurations(self, items: t.Sequence[Item]) -> None:
        """Apply the last usable one of configurations that were written in turn.

        Load pattern: an operator writes several large versions within one read.
        """
        self._configuration_revision = items[-1].revision
        if not self.has_asked_peers:
            self._unconfirmed_configuration = items[-1].value or b""
            return
        texts = [item.value or b"" for item in items]
        if len(texts) == 1:
            self.adopt(texts[0], "store")
            return
        tried = []
        for text in sorted(reversed(texts), key=decode_version, reverse=True):
            self.adopt(text, "store")
            tried.append(text)
            if text == self.configuration_text:
                break
        if texts[-1] not in tried:
            self.adopt(texts[-1], "store")  # which logs why it isn't in force
