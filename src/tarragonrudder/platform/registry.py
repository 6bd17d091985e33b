"""Keeps this node's view of the store: configuration, upstreams, nodes."""

import math
import random
import typing as t

import trio

from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.membership.watching import measure_pause
from tarragonrudder.platform import protocol
from tarragonrudder.platform.decoding import (
    DocumentError,
    decode_configuration,
    decode_entry,
)
from tarragonrudder.platform.metadata_store import (
    Changes,
    HistoryLost,
    Item,
    MetadataStore,
    StoreError,
)

# Seconds that one watch waits. With the store client's grace it bounds for how
# long a silent connection hides a change: less than the window after which the
# platform expects a node to be up to date again, plus the bound of a change.
WATCH_WAIT = 2.5
RETRY_PERIOD = 0.25  # seconds before a failed call is made again, growing
MAX_RETRY_PERIOD = 1.0  # seconds; the bound of a change leaves room for it
# Seconds within which upstreams whose entries lapsed with the store away are back.
REREGISTRATION_GRACE = 2.0
# Seconds without the store in which no entry lapses: they outlive some heartbeats.
MIN_LAPSE_OUTAGE = 2.0
# Seconds without the store after which what others know is asked of them.
UNAVAILABLE_AFTER = 0.6


class Registry:
    """Follows the store's keys and hands what they say to the state.

    Parameters
    ----------
    bound : float
        Seconds within which a change must be in force.
    allowed_calls : float
        Calls a second that the store allows to all nodes together.
    """

    def __init__(
        self,
        store: MetadataStore,
        state: ForwardingState,
        log: t.Callable[..., None],
        rng: random.Random,
        change_bound: float,
        max_call_rate: float,
    ) -> None:
        self._change_bound = change_bound
        self._max_call_rate = max_call_rate
        self._store = store
        self._state = state
        self._log = log
        self._rng = rng
        self._failing_since: float | None = None
        self._outage_ended_at = -REREGISTRATION_GRACE
        self.configuration_text: bytes = b""
        self.entries: dict[str, bytes] = {}
        self.router_items: dict[str, Item] = {}
        self.has_snapshot = False
        self.on_adopted: t.Callable[[], None] = lambda: None
        self.on_leaving: t.Callable[[str], None] = lambda name: None

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the store has failed this node for a while."""
        if self._failing_since is None:
            return not self.has_snapshot
        return trio.current_time() - self._failing_since > UNAVAILABLE_AFTER

    @property
    def node_count(self) -> int:
        """Nodes that are registered, this one included or not; at least 1."""
        planned = protocol.PLANNER_KEY in self.router_items
        return max(1, len(self.router_items) - planned)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow the store."""
        nursery.start_soon(self._run_watch)

    def adopt(self, text: bytes, source: str) -> bool:
        """Take a configuration into use if it is valid and newer."""
        try:
            table = decode_configuration(text)
        except DocumentError as error:
            self._log("configuration_invalid", None, reason=str(error), source=source)
            return False
        before = self._state.version
        if not self._state.adopt(table):
            return False
        self.configuration_text = text
        self._log(
            "configuration_adopted",
            None,
            version=table.version,
            before=before,
            source=source,
        )
        self.on_adopted()
        return True

    def adopt_peer_entries(self, entries: t.Mapping[str, bytes]) -> None:
        """Take another node's view of the upstreams, with the store away."""
        self._replace_entries(dict(entries))

    async def _run_watch(self) -> None:
        """Follow all keys by one watch: each call of the store is paid for."""
        revision: int | None = None
        failures = 0
        due = -math.inf
        while True:
            try:
                if revision is None:
                    changes = await self._store.list("")
                    self._apply_snapshot(changes)
                else:
                    await trio.sleep_until(due)
                    started_at = trio.current_time()
                    changes = await self._store.watch("", revision, WATCH_WAIT)
                    self._apply_changes(changes)
                    due = started_at + self._choose_pause()
                revision = changes.revision
                if self._failing_since is not None:
                    now = trio.current_time()
                    if now - self._failing_since > MIN_LAPSE_OUTAGE:
                        self._outage_ended_at = now
                    self._failing_since = None
                    self._log("store_back", None, revision=revision)
                failures = 0
            except HistoryLost:
                self._log("history_lost", None, revision=revision)
                revision = None
            except StoreError as error:
                now = trio.current_time()
                if self._failing_since is None:
                    self._failing_since = now
                    self._log("store_lost", None, reason=str(error))
                failures += 1
                period = min(MAX_RETRY_PERIOD, RETRY_PERIOD * 1.5**failures)
                await trio.sleep(period * (0.5 + self._rng.random()))

    def _choose_pause(self) -> float:
        pause = measure_pause(self.node_count, self._max_call_rate, self._change_bound)
        # Nodes that were started at once would go on asking at once.
        return pause * (0.75 + 0.5 * self._rng.random())

    def _apply_snapshot(self, changes: Changes) -> None:
        entries = {}
        self.router_items = {}
        for item in changes.items:
            if item.value is None:
                continue
            if item.key.startswith(protocol.UPSTREAM_PREFIX):
                entries[item.key.removeprefix(protocol.UPSTREAM_PREFIX)] = item.value
            elif item.key.startswith(protocol.ROUTER_PREFIX):
                self.router_items[item.key] = item
            elif item.key == protocol.CONFIGURATION_KEY:
                self.adopt(item.value, "store")
        self._replace_entries(entries)
        self.has_snapshot = True

    def _apply_changes(self, changes: Changes) -> None:
        for item in changes.items:
            if item.key.startswith(protocol.UPSTREAM_PREFIX):
                name = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
                if item.value is None:
                    self._withdraw(name)
                else:
                    self._apply_entry(name, item.value)
            elif item.key.startswith(protocol.ROUTER_PREFIX):
                if item.value is None:
                    self.router_items.pop(item.key, None)
                else:
                    self.router_items[item.key] = item
            elif item.key == protocol.CONFIGURATION_KEY and item.value is not None:
                self.adopt(item.value, "store")

    def _replace_entries(self, found: dict[str, bytes]) -> None:
        for name in [name for name in self.entries if name not in found]:
            self._withdraw(name)
        for name, value in found.items():
            self._apply_entry(name, value)

    def _apply_entry(self, name: str, value: bytes) -> None:
        if self.entries.get(name) == value and self._state.roster.find(name):
            self._state.roster.renew(name)
            return
        self.entries[name] = value
        try:
            registration = decode_entry(name, value)
        except DocumentError as error:
            self._log("entry_invalid", None, upstream=name, reason=str(error))
            self._withdraw(name)
            return
        before = self._state.roster.find(name)
        if self._state.roster.register(registration):
            if not registration.ready:
                self.on_leaving(name)
            layers = registration.layers
            if (
                before is None
                or before.ready != registration.ready
                or (before.layers != layers)
            ):
                self._log(
                    "upstream_changed",
                    None,
                    upstream=name,
                    service=registration.service,
                    ready=registration.ready,
                    layers=[layers.first, layers.last] if layers else None,
                )

    def _withdraw(self, name: str) -> None:
        self.entries.pop(name, None)
        now = trio.current_time()
        grace = max(0.0, self._outage_ended_at + REREGISTRATION_GRACE - now)
        if self._state.roster.withdraw(name, now, grace):
            self._log("upstream_gone", None, upstream=name, grace=round(grace, 2))
            if grace == 0.0:
                self.on_leaving(name)
