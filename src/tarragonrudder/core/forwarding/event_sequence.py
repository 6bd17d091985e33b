"""Numbered events of one stream, kept in order over several attempts."""

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class SequenceError(Exception):
    """An event is missing, has no number or is too long."""


class EventSequence:
    """Forwards whole events, each once and in order.

    Load pattern: an upstream dies in the middle of an event, and another one
    resumes after the last whole event that the caller has.

    Parameters
    ----------
    last : int or None
        Number of the last event that the caller already has.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.forwarded = 0
        self._partial = b""

    def begin_attempt(self) -> None:
        """Discard the partial event of the previous attempt."""
        self._partial = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the whole events completed by `data`, without repeated ones.

        Raises
        ------
        SequenceError
            If an event has no number or is too long, or if one is missing.
        """
        data = self._partial + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise SequenceError("an event is too long")
            self._partial = data
            return b""
        whole, self._partial = data[: end + 2], data[end + 2 :]
        kept = []
        for event in whole.split(SEPARATOR)[:-1]:
            if self._accept(event):
                kept.append(event + SEPARATOR)
        return b"".join(kept)

    def _accept(self, event: bytes) -> bool:
        number = _read_number(event)
        if number is None:
            raise SequenceError("an event has no number")
        if self.last is not None:
            if number <= self.last:
                return False
            if number != self.last + 1:
                raise SequenceError(f"event {number} follows {self.last}")
        self.last = number
        self.forwarded += 1
        return True


def _read_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
