"""The stages that a running attempt depends on."""

from tarragonrudder.core.forwarding.load_tracker import LoadTracker
from tarragonrudder.core.forwarding.path import Path


class PathLoad:
    """Counts one stream's load on the path in use, and on no other.

    Parameters
    ----------
    tokens : int
        Tokens that the stream keeps on each stage.
    """

    def __init__(self, load_tracker: LoadTracker, tokens: int) -> None:
        self._load_tracker = load_tracker
        self._tokens = tokens
        self._path: Path | None = None
        self._prefill_links: tuple[str, ...] = ()

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

    def switch_to(self, path: Path) -> None:
        """Count the stream on a path instead of the one before."""
        self.release()
        self._path = path
        self._load_tracker.start(path.names, self._tokens)
        self._load_tracker.start(path.links, self._tokens)
        self._prefill_links = path.links

    def release(self) -> None:
        """Count the stream on no path."""
        self.finish_prefill()
        if self._path is not None:
            self._load_tracker.finish(self._path.names, self._tokens)
        self._path = None

    def finish_prefill(self) -> None:
        """Note that the prompt has crossed the path's links."""
        self._load_tracker.finish(self._prefill_links, self._tokens)
        self._prefill_links = ()
