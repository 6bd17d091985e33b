"""Index of the prompt prefixes in the engines' caches."""

from collections import OrderedDict

from tarragonrudder.core.domain.event import CacheChanged

MAX_PREFIXES = 128  # prefixes remembered for each engine


class PrefixIndex:
    """Applies the engines' cache events, which may arrive late or with gaps.

    A gap may hide evictions, so it clears the engine's entries; later events
    fill them again.
    """

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[str, None]] = {}
        self._sequences: dict[str, int] = {}

    def handle_cache_change(self, event: CacheChanged) -> None:
        """Apply a cache event; one that arrives out of order is dropped."""
        last = self._sequences.get(event.upstream)
        restarted = event.sequence <= 1
        if last is not None and event.sequence <= last and not restarted:
            return
        held = self._held.setdefault(event.upstream, OrderedDict())
        if restarted or (last is not None and event.sequence != last + 1):
            held.clear()
        self._sequences[event.upstream] = event.sequence
        if not event.held:
            held.pop(event.prefix, None)
            return
        held[event.prefix] = None
        held.move_to_end(event.prefix)
        if len(held) > MAX_PREFIXES:
            held.popitem(last=False)

    def holds(self, engine: str, prefix: str) -> bool:
        """Tell whether an engine is known to hold a prefix."""
        held = self._held.get(engine)
        return held is not None and prefix in held
