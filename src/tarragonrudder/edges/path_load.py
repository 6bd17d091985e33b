"""The load that one stream puts on its path."""

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker


class PathLoad:
    """Counts one stream in the load of its current path, and of no other.

    Parameters
    ----------
    tokens : int
        Tokens that the stream occupies in each stage's KV cache.
    """

    def __init__(self, usage_tracker: UsageTracker, tokens: int) -> None:
        self._usage_tracker = usage_tracker
        self._tokens = tokens
        self._path: Path | None = None
        self._names: tuple[str, ...] = ()
        self._prefill_links: tuple[str, ...] = ()

    @property
    def path(self) -> Path:
        """The current path."""
        if self._path is None:
            raise RuntimeError("no attempt is running")
        return self._path

    @property
    def names(self) -> tuple[str, ...]:
        """Upstreams of the current path, if any."""
        return self._names

    def switch_to(self, path: Path) -> None:
        """Count the stream on a new path instead of the current one."""
        self.release()
        self._path = path
        self._names = path.names
        self._usage_tracker.start(self._names, self._tokens)
        self._usage_tracker.start(path.links, self._tokens)
        self._prefill_links = path.links

    def release(self) -> None:
        """Stop counting the stream."""
        self.finish_prefill()
        if self._path is not None:
            self._usage_tracker.finish(self._names, self._tokens)
        self._path = None
        self._names = ()

    def finish_prefill(self) -> None:
        """Stop counting the prompt on the path's links, which it has crossed."""
        if self._prefill_links:
            self._usage_tracker.finish(self._prefill_links, self._tokens)
            self._prefill_links = ()
