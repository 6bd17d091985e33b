"""One platform value of a shard: records in the order they were written."""

import json
import math
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.calls.record import Record, decode_record


@dataclass(slots=True)
class Slot:
    """A value as it was last read or written.

    Attributes
    ----------
    sequence : int
        Place of this content in the shard's log; -1 if the value is empty.
    sealed : bool
        Whether the next content of the log may be begun. A sealed content
        never changes; it is overwritten as a whole once its records are past
        their retention.
    revision : int
        The platform's modification revision, 0 if the value does not exist.
    size : int
        Bytes of all lines.
    """

    sequence: int = -1
    sealed: bool = True
    revision: int = 0
    lines: list[str] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    size: int = 0

    @property
    def newest(self) -> float:
        """When the last of its records was written, in seconds."""
        return max((record.written_at for record in self.records), default=-math.inf)

    @property
    def oldest(self) -> float:
        """When the first of its records was written, in seconds."""
        return min((record.written_at for record in self.records), default=math.inf)

    def append(self, lines: t.Iterable[str]) -> None:
        """Add records, one a line."""
        for line in lines:
            self.lines.append(line)
            self.records.append(decode_record(line))
            self.size += len(line) + 1

    def encode(self) -> bytes:
        """Return the value as the platform holds it."""
        head = json.dumps({"sequence": self.sequence, "sealed": self.sealed})
        return "\n".join([head, *self.lines]).encode()


def decode_slot(value: bytes | None, revision: int) -> Slot:
    """Return the slot of a value.

    Raises
    ------
    ValueError
        If the value is damaged; remove it only after its retention.
    """
    if value is None:
        return Slot(revision=revision)
    head, *lines = value.decode().split("\n")
    try:
        item = json.loads(head)
        slot = Slot(int(item["sequence"]), bool(item["sealed"]), revision)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a slot: {error}") from error
    slot.append(lines)
    return slot
