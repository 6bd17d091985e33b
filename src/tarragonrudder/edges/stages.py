"""The stages that a running attempt depends on."""

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker


class Stages:
    """Counts one stream's load on the path in use, and on no other.

    Parameters
    ----------
    tokens : int
        Tokens that the stream keeps on each stage.
    """

    def __init__(self, usage_tracker: UsageTracker, tokens: int) -> None:
        self._usage_tracker = usage_tracker
        self._tokens = tokens
        self._path: Path | None = None
        self._reading: tuple[str, ...] = ()

    @property
    def path(self) -> Path:
        """The path in use."""
        if self._path is None:
            raise RuntimeError("no attempt is running")
        return self._path

    @property
    def names(self) -> tuple[str, ...]:
        """Upstreams of the path in use, if any."""
        return self._path.names if self._path is not None else ()

    def use(self, path: Path) -> None:
        """Count the stream on a path instead of the one before."""
        self.release()
        self._path = path
        self._usage_tracker.start(path.names, self._tokens)
        self._usage_tracker.start(path.links, self._tokens)
        self._reading = path.links

    def release(self) -> None:
        """Count the stream on no path."""
        self.end_reading()
        if self._path is not None:
            self._usage_tracker.finish(self._path.names, self._tokens)
        self._path = None

    def end_reading(self) -> None:
        """Note that the prompt has crossed the path's links."""
        self._usage_tracker.finish(self._reading, self._tokens)
        self._reading = ()
