"""A shard of the action records: a log in a ring of platform values.

All records of a shard are written by compare-and-swap on the last content of
its log, which is the fence: a writer whose view is old fails and has written
nothing. Commands that wait while a swap is under way go with the next one.
"""

import math
from dataclasses import dataclass, replace

from tarragonrudder.core.calls.layout import RecordOptions
from tarragonrudder.core.calls.record import (
    Claim,
    Command,
    Finished,
    Pending,
    Record,
    Unknown,
    decide_record,
    encode_record,
)
from tarragonrudder.core.calls.slot import Slot, decode_slot
from tarragonrudder.core.domain.action import (
    Action,
    CountMetric,
    LogDecision,
    ReadKey,
    SetTimer,
    SwapKey,
)

COMMIT_BURST = 4  # swaps that a quiet shard may make at once
RETRY_DELAY = 0.25  # seconds before a failed platform call is made again
MAX_RETRY_DELAY = 2.0  # seconds; each failure after the first doubles the delay


@dataclass(frozen=True, slots=True)
class Queued:
    """A command that waits for its decision.

    Attributes
    ----------
    ticket : str
        Names the decision.
    deadline : float
        When it is dropped undecided.
    at : float
        When it came: a view from before can't refuse it.
    """

    ticket: str
    command: Command
    deadline: float
    at: float


@dataclass(frozen=True, slots=True)
class Decided:
    """A command's end: the record that stands, None if that is not known."""

    ticket: str
    command: Command
    record: Record | None


@dataclass(frozen=True, slots=True)
class _Swap:
    tag: str
    index: int
    slot: Slot
    batch: tuple[tuple[Queued, Record], ...]
    begun: float


class Shard:
    """One shard as this node sees it."""

    def __init__(self, number: int, prefix: str, options: RecordOptions) -> None:
        self._number = number
        self._prefix = prefix
        self._options = options
        self._slots: list[Slot | None] = [None] * options.slots
        self._index: dict[str, Record] = {}
        self._queue: list[Queued] = []
        self._decided: list[Decided] = []
        self._reads: dict[str, int] = {}
        self._swap: _Swap | None = None
        self._operation = 0
        self._resume_at = 0.0
        self._failures = 0
        self._paid_until = 0.0
        # The view holds all that was written before this time.
        self._complete_at = -math.inf
        self._end_read: tuple[float, frozenset[int]] | None = None

    def __len__(self) -> int:
        return len(self._queue) + (self._swap is not None)

    @property
    def timer(self) -> str:
        """Name of the shard's timer."""
        return f"record-shard:{self._number}"

    def submit(self, queued: Queued) -> None:
        """Add a command; ``advance`` works on it."""
        self._queue.append(queued)

    def take_decided(self) -> list[Decided]:
        """Return what was decided since the last call."""
        decided = self._decided
        self._decided = []
        return decided

    def advance(self, now: float) -> list[Action]:
        """Read what is not known and write what waits."""
        self._drop_overdue(now)
        if self._swap is not None or self._reads or not self._queue:
            return []
        if now < self._resume_at:
            return [SetTimer(self.timer, self._resume_at)]
        stale = self._find_stale()
        if stale and self._failures:
            # One call finds out whether the platform is back.
            return self._read(stale[:1])
        if stale:
            return self._read(stale)
        return self._commit(now)

    def merge_value(
        self, tag: str, value: bytes | None, revision: int, now: float
    ) -> list[Action]:
        """Take in a value that was read."""
        index = self._reads.pop(tag, None)
        if index is None:
            return []
        self._failures = 0
        actions: list[Action] = []
        try:
            self._slots[index] = decode_slot(value, revision)
        except ValueError as error:
            self._slots[index] = None
            self._resume_at = now + RETRY_DELAY
            fields = {"key": self._name(index), "reason": str(error)}
            actions.append(LogDecision("record_value_damaged", fields))
        if not self._reads:
            self._rebuild()
            self._confirm_end()
        actions.extend(self.advance(now))
        return actions

    def merge_swapped(self, tag: str, revision: int, now: float) -> list[Action]:
        """Note that a swap stands: its commands are decided."""
        swap = self._end_swap(tag)
        if swap is None:
            return []
        swap.slot.revision = revision
        before = self._slots[swap.index]
        self._slots[swap.index] = swap.slot
        if before is None or before.sequence != swap.slot.sequence:
            self._rebuild()
        for queued, record in swap.batch:
            self._index[record.identity] = record
            self._decided.append(Decided(queued.ticket, queued.command, record))
        self._complete_at = swap.begun
        interval = self._options.commit_interval
        self._paid_until = max(self._paid_until, swap.begun) + interval
        self._resume_at = self._paid_until - COMMIT_BURST * interval
        return self.advance(now)

    def merge_failure(self, tag: str, now: float, conflict: bool) -> list[Action]:
        """Read the value back after a conflict, a lost answer or a failure.

        Whether a swap without an answer stands is seen from its records, as
        each names its writer. Should it land later, then either it changes
        nothing, since the revision has moved, or the next swap conflicts and
        the value is read again.
        """
        if self._reads.pop(tag, None) is not None:
            self._delay(now)
            return self.advance(now)
        swap = self._end_swap(tag)
        if swap is None:
            return []
        self._slots[swap.index] = None
        self._queue[:0] = [queued for queued, _ in swap.batch]
        if not conflict:
            self._delay(now)
        return self.advance(now)

    def _delay(self, now: float) -> None:
        if now >= self._resume_at:
            delay = min(RETRY_DELAY * 2**self._failures, MAX_RETRY_DELAY)
            self._resume_at = now + delay
            self._failures += 1

    def _end_swap(self, tag: str) -> _Swap | None:
        swap = self._swap
        if swap is None or swap.tag != tag:
            return None
        self._swap = None
        return swap

    def _drop_overdue(self, now: float) -> None:
        kept = []
        for queued in self._queue:
            if queued.deadline <= now:
                self._decided.append(Decided(queued.ticket, queued.command, None))
                continue
            kept.append(queued)
        self._queue = kept

    def _find_stale(self) -> list[int]:
        """Return the slots whose content is not, or no longer, the log's."""
        last = max((slot.sequence for slot in self._slots if slot), default=-1)
        stale = []
        for index, slot in enumerate(self._slots):
            if slot is None:
                stale.append(index)
                continue
            expected = last - (last - index) % len(self._slots)
            if expected < 0:
                continue
            if slot.sequence != expected or (expected < last and not slot.sealed):
                stale.append(index)
        return stale

    def _read(self, indexes: list[int]) -> list[Action]:
        actions: list[Action] = []
        for index in indexes:
            tag = self._make_tag()
            self._reads[tag] = index
            actions.append(ReadKey(tag, self._name(index)))
        actions.append(CountMetric("records.reads", len(indexes)))
        return actions

    def _read_end(self, now: float) -> list[Action]:
        """Read the log's last content and the place of the next one again."""
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slot.sequence for slot in slots)
        indexes = sorted({last % len(slots), (last + 1) % len(slots)})
        self._end_read = (now, frozenset(indexes))
        for index in indexes:
            self._slots[index] = None
        return self._read(indexes)

    def _confirm_end(self) -> None:
        """Note that the view is complete, if the log's end was read."""
        if self._end_read is None or self._find_stale():
            return
        begun, indexes = self._end_read
        self._end_read = None
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slots, key=lambda slot: slot.sequence)
        needed = {last.sequence % len(slots)}
        if last.sealed:
            needed.add((last.sequence + 1) % len(slots))
        if needed <= indexes:
            self._complete_at = begun

    def _rebuild(self) -> None:
        self._index = {}
        known = [slot for slot in self._slots if slot is not None]
        for slot in sorted(known, key=lambda slot: slot.sequence):
            for record in slot.records:
                self._index[record.identity] = record

    def _commit(self, now: float) -> list[Action]:
        index, slot = self._choose_slot()
        if slot.revision and not slot.lines and not self._is_free(index, now):
            self._resume_at = now + RETRY_DELAY
            return [*self._report_full(True), SetTimer(self.timer, self._resume_at)]
        next_free = self._is_free((slot.sequence + 1) % len(self._slots), now)
        full = slot.size >= self._options.slot_bytes and not next_free
        batch: list[tuple[Queued, Record]] = []
        written: dict[str, Record] = {}
        lines: list[str] = []
        added = 0
        unsure: list[Queued] = []
        queue = self._queue
        self._queue = []
        for position, queued in enumerate(queue):
            identity = queued.command.identity
            current = written.get(identity, self._index.get(identity))
            record = decide_record(
                current, queued.command, now, self._options.retention
            )
            if record is current and identity in written:
                batch.append((queued, record))
                continue
            if record is current:
                if _is_lasting(record, queued.command) or (
                    queued.at <= self._complete_at
                ):
                    self._decided.append(Decided(queued.ticket, queued.command, record))
                else:
                    unsure.append(queued)
                continue
            if full and isinstance(queued.command, Claim):
                self._decided.append(Decided(queued.ticket, queued.command, None))
                continue
            line = encode_record(record)
            limit = self._options.slot_limit - slot.size
            if added + len(line) > min(limit, self._options.batch_bytes):
                self._queue = queue[position:]
                break
            written[identity] = record
            lines.append(line)
            added += len(line) + 1
            batch.append((queued, record))
        self._queue[:0] = unsure
        actions = self._report_full(full)
        if not batch and unsure:
            actions.extend(self._read_end(now))
            return actions
        if not batch:
            if self._queue:
                self._resume_at = now + RETRY_DELAY
                actions.append(SetTimer(self.timer, self._resume_at))
            return actions
        changed = replace(slot, lines=[*slot.lines], records=[*slot.records])
        changed.append(lines)
        changed.sealed = next_free and (
            changed.size >= self._options.slot_bytes
            or now - changed.oldest >= self._options.seal_age
        )
        tag = self._make_tag()
        self._swap = _Swap(tag, index, changed, tuple(batch), now)
        key = self._name(index)
        actions.append(SwapKey(tag, key, slot.revision, changed.encode()))
        actions.append(CountMetric("records.writes"))
        return actions

    def _choose_slot(self) -> tuple[int, Slot]:
        """Return the content to add to: the log's last, or a new one."""
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slots, key=lambda slot: slot.sequence)
        if not last.sealed:
            return last.sequence % len(slots), last
        sequence = last.sequence + 1
        index = sequence % len(slots)
        return index, Slot(sequence, False, slots[index].revision)

    def _is_free(self, index: int, now: float) -> bool:
        slot = self._slots[index]
        return slot is not None and slot.newest + self._options.retention < now

    def _report_full(self, full: bool) -> list[Action]:
        if not full:
            return []
        return [LogDecision("record_shard_full", {"shard": self._number})]

    def _make_tag(self) -> str:
        self._operation += 1
        return f"record:{self._number}:{self._operation}"

    def _name(self, index: int) -> str:
        return f"{self._prefix}{self._number}/{index}"


def _is_lasting(record: Record, command: Command) -> bool:
    """Tell whether a view, however old, suffices for this decision."""
    match record.state:
        case Finished() | Unknown():
            return True
        case Pending(writer=writer):
            return writer == command.writer
    return False
