"""Upstreams' entries in the metadata store, applied to the table of upstreams."""

import typing as t

import trio

from tarragonrudder.core.forwarding.upstream_table import UpstreamTable
from tarragonrudder.core.membership.restored_entries import RestoredEntries
from tarragonrudder.platform import protocol
from tarragonrudder.platform.decoding import DocumentError, decode_entry
from tarragonrudder.platform.metadata_store import Item

# Seconds after an outage of the store within which upstreams register again whose
# entries expired during it.
REREGISTRATION_GRACE = 2.0


class UpstreamEntries:
    """Decodes entries and registers their upstreams.

    Attributes
    ----------
    values : dict of str to bytes
        Undecoded entries by the upstream's name.
    on_draining : callable
        Called with the name of an upstream that is draining or gone.
    """

    def __init__(
        self, upstream_table: UpstreamTable, log: t.Callable[..., None]
    ) -> None:
        self._upstream_table = upstream_table
        self._log = log
        self._restored_entries = RestoredEntries()
        self._outage_ended_at = -REREGISTRATION_GRACE
        self.values: dict[str, bytes] = {}
        self.on_draining: t.Callable[[str], None] = lambda name: None

    @property
    def has_held(self) -> bool:
        """Whether an entry is held back until its upstream writes it again."""
        return len(self._restored_entries) > 0

    def begin_grace(self) -> None:
        """Give upstreams whose entries are missing time to register again."""
        self._outage_ended_at = trio.current_time()

    def apply_listing(self, items: t.Iterable[Item], is_restored: bool) -> None:
        """Replace all entries by those that the store lists.

        Parameters
        ----------
        is_restored : bool
            Whether it is the first listing after a restoration of the store.
        """
        entries = {}
        held = set()
        for item in items:
            if item.value is None:
                continue
            name = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
            if not self._hold_back(name, item, is_restored):
                entries[name] = item.value
                continue
            held.add(name)
            if name in self.values:
                entries[name] = self.values[name]
        self._restored_entries.retain(held)
        self.replace(entries)

    def apply_change(self, item: Item) -> bool:
        """Apply an entry that was written or deleted.

        Returns
        -------
        bool
            False if it was a heartbeat, which changes nothing else.
        """
        name = item.key.removeprefix(protocol.UPSTREAM_PREFIX)
        self._restored_entries.note_written(name)
        if item.value is not None:
            return self._apply(name, item.value)
        self._deregister(name)
        return True

    def replace(self, entries: t.Mapping[str, bytes]) -> None:
        """Replace all entries, by the store's or by those of a peer."""
        for name in [name for name in self.values if name not in entries]:
            self._deregister(name)
        for name, value in entries.items():
            self._apply(name, value)

    def release_held(self) -> None:
        """Apply entries that were held back and whose upstreams must be alive."""
        for held in self._restored_entries.pop_due(trio.current_time()):
            self._log("entry_released", None, upstream=held.name)
            self._apply(held.name, held.value)

    def _hold_back(self, name: str, item: Item, is_restored: bool) -> bool:
        """Tell whether a listed entry is older than what this node knows."""
        if not is_restored:
            return self._restored_entries.is_held(name, item.revision)
        value = item.value or b""
        try:
            registration = decode_entry(name, value)
        except DocumentError:
            return False  # logged when it is applied
        if not registration.ready or not self._restored_entries.hold(
            name, registration.born, value, item.revision, trio.current_time()
        ):
            return False
        self._log(
            "entry_held",
            None,
            upstream=name,
            revision=item.revision,
            reason="it left before the store was restored; it must register again",
        )
        return True

    def _apply(self, name: str, value: bytes) -> bool:
        """Apply an entry; return whether more than a heartbeat has changed.

        An unexpected error concerns this entry alone: it then names no upstream.
        """
        try:
            return self._register(name, value)
        except Exception as error:
            self._log("entry_failed", None, upstream=name, reason=repr(error))
            self._deregister(name)
            return True

    def _register(self, name: str, value: bytes) -> bool:
        if self.values.get(name) == value and self._upstream_table.find(name):
            return self._upstream_table.restore(name)
        self.values[name] = value
        try:
            registration = decode_entry(name, value)
        except DocumentError as error:
            self._log("entry_invalid", None, upstream=name, reason=str(error))
            self._deregister(name)
            return True
        previous = self._upstream_table.find(name)
        if not self._upstream_table.register(registration):
            return False
        if not registration.ready:
            self._note_departure(name)
            self.on_draining(name)
        layers = registration.layers
        if (
            previous is None
            or previous.ready != registration.ready
            or previous.layers != layers
        ):
            self._log(
                "upstream_changed",
                None,
                upstream=name,
                service=registration.service,
                ready=registration.ready,
                layers=[layers.first, layers.last] if layers else None,
            )
        return True

    def _deregister(self, name: str) -> None:
        self.values.pop(name, None)
        now = trio.current_time()
        grace = max(0.0, self._outage_ended_at + REREGISTRATION_GRACE - now)
        if grace == 0.0:
            self._note_departure(name)
        if self._upstream_table.deregister(name, now, grace):
            self._log("upstream_gone", None, upstream=name, grace=round(grace, 2))
            if grace == 0.0:
                self.on_draining(name)

    def _note_departure(self, name: str) -> None:
        registration = self._upstream_table.find(name)
        if registration is not None:
            self._restored_entries.note_departure(
                name, registration.born, trio.current_time()
            )
