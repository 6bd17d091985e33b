"""One platform value of a shard, which holds a segment of its log."""

import json
import math
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.calls.record import Record, decode_record


@dataclass(slots=True)
class Slot:
    """A value and its segment as last read or written.

    Attributes
    ----------
    sequence : int
        Position of the segment in the shard's log; -1 if the value is empty.
    sealed : bool
        Whether the log's next segment may be started. A sealed segment never
        changes; it is overwritten as a whole once its records are past their
        retention.
    revision : int
        The platform's modification revision; 0 if the value does not exist.
    size : int
        Bytes of all lines, newlines included.
    """

    sequence: int = -1
    sealed: bool = True
    revision: int = 0
    lines: list[str] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    size: int = 0

    @property
    def newest(self) -> float:
        """Time at which the newest record was written, in seconds."""
        return max((record.written_at for record in self.records), default=-math.inf)

    @property
    def oldest(self) -> float:
        """Time at which the oldest record was written, in seconds."""
        return min((record.written_at for record in self.records), default=math.inf)

    def append(self, lines: t.Iterable[str]) -> None:
        """Append encoded records, one per line."""
        for line in lines:
            self.lines.append(line)
            self.records.append(decode_record(line))
            self.size += len(line) + 1

    def encode(self) -> bytes:
        """Encode the value for the platform."""
        head = json.dumps({"sequence": self.sequence, "sealed": self.sealed})
        return "\n".join([head, *self.lines]).encode()


def decode_slot(value: bytes | None, revision: int) -> Slot:
    """Decode a slot from a platform value.

    Raises
    ------
    ValueError
        If the value is damaged. It must not be removed before the retention
        period has passed.
    """
    if value is None:
        return Slot(revision=revision)
    head, *lines = value.decode().split("\n")
    try:
        item = json.loads(head)
        slot = Slot(int(item["sequence"]), bool(item["sealed"]), revision)
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed slot header: {error}") from error
    slot.append(lines)
    return slot
