"""The load that one stream puts on its path."""

import math

from tarragonrudder.core.forwarding.answer_lengths import (
    AnswerLength,
    Declared,
    compute_held,
)
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker

MIN_UPDATE_EVENTS = 4  # between two updates of what a stream holds


class PathLoad:
    """Counts one stream in the load of its current path, and of no other.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    length : AnswerLength
        What is expected of the answer.
    """

    def __init__(
        self, usage_tracker: UsageTracker, prompt_tokens: int, length: AnswerLength
    ) -> None:
        self._usage_tracker = usage_tracker
        self._prompt_tokens = prompt_tokens
        self._length = length
        # Tokens that the stream occupies in each stage's KV cache.
        self._tokens = prompt_tokens + compute_held(length, 0)
        self._link_tokens = 0
        is_fixed = isinstance(length, Declared)
        self._update_at = math.inf if is_fixed else MIN_UPDATE_EVENTS
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
        self._link_tokens = self._tokens

    def note_events(self, events: int) -> None:
        """Update what the stream holds, once so many of its events have come."""
        self.finish_prefill()
        if events < self._update_at:
            return
        self._update_at = events + max(MIN_UPDATE_EVENTS, events // 4)
        tokens = self._prompt_tokens + compute_held(self._length, events)
        self._usage_tracker.progress(self.names, tokens - self._tokens)
        self._tokens = tokens

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
            self._usage_tracker.finish(self._prefill_links, self._link_tokens)
            self._prefill_links = ()
