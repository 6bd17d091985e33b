"""Numbered events of one stream, kept in order over several attempts."""

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
MAX_NUMBER_DIGITS = 18  # of an event's number; fits in 64 bits
STATUS_LINE = b"HTTP/1."  # begins no field of an event, but the head of another answer
LATER_STATUS_LINE = b"\n" + STATUS_LINE
NUMBER_FIELD = b"id:"


class SequenceError(Exception):
    """An event is missing, has no number or is too long."""


class EventBuffer:
    """Splits the bytes of one attempt into events.

    Attributes
    ----------
    last : int or None
        Number of the attempt's last event, whether it was forwarded or not.
    """

    def __init__(self) -> None:
        self.last: int | None = None
        self._partial = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial

    def split(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes, with their separators.

        Raises
        ------
        SequenceError
            If an event is too long.
        """
        end = data.find(SEPARATOR)
        if not self._partial and 0 <= end == len(data) - len(SEPARATOR):
            return [data]
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(SEPARATOR, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise SequenceError("an event is too long")
            return []
        whole = bytes(self._partial[:end])
        del self._partial[: end + len(SEPARATOR)]
        return [event + SEPARATOR for event in whole.split(SEPARATOR)]


class EventSequence:
    """Accepts events, each once and in order.

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

    def accept(self, event: bytes, buffer: EventBuffer) -> bool:
        """Tell whether an event is the next one; False if the caller has it.

        Parameters
        ----------
        buffer : EventBuffer
            Buffer that the event comes from.

        Raises
        ------
        SequenceError
            If the event has no number or holds another answer, if its attempt has
            repeated it, or if one before it is missing.
        """
        if event.startswith(STATUS_LINE) or LATER_STATUS_LINE in event:
            raise SequenceError("an event holds the head of another answer")
        number = _read_number(event)
        if number is None:
            raise SequenceError("an event has no number")
        if buffer.last is not None and number <= buffer.last:
            raise SequenceError(f"event {number} comes again after {buffer.last}")
        buffer.last = number
        if self.last is not None:
            if number <= self.last:
                return False
            if number != self.last + 1:
                raise SequenceError(f"event {number} follows {self.last}")
        self.last = number
        self.forwarded += 1
        return True


def _read_number(event: bytes) -> int | None:
    start = 0
    if not event.startswith(NUMBER_FIELD):
        start = event.find(b"\n" + NUMBER_FIELD) + 1
        if start == 0:
            return None
    end = event.find(b"\n", start)
    text = event[start + len(NUMBER_FIELD) : end if end >= 0 else None].strip()
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)
