"""A shard of the call records: a segmented log in a ring of platform values.

All records of a shard are written by compare-and-swap on the last segment of
its log. This fences writers: one with a stale view fails without writing
anything. Commands that arrive while a swap is in flight are batched into the
next one.
"""

import math
from dataclasses import dataclass, replace

from tarragonrudder.core.calls.record import (
    Claim,
    Command,
    Finished,
    Pending,
    Record,
    Unknown,
    apply_command,
    encode_record,
)
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.slot import Slot, decode_slot
from tarragonrudder.core.domain.action import (
    Action,
    CountMetric,
    LogDecision,
    ReadKey,
    SetTimer,
    SwapKey,
)

COMMIT_BURST = 4  # swaps that an idle shard may write without delay
RETRY_DELAY = 0.25  # seconds before a failed platform call is retried
MAX_RETRY_DELAY = 2.0  # seconds; each failure after the first doubles the delay


@dataclass(frozen=True, slots=True)
class QueuedCommand:
    """A command whose result is not decided yet.

    Attributes
    ----------
    ticket : str
        Identifies the command's result.
    deadline : float
        Time at which the command is dropped without a result.
    queued_at : float
        Time of arrival. A view older than this must not reject the command.
    """

    ticket: str
    command: Command
    deadline: float
    queued_at: float


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The record committed for a command, or None if that is not known."""

    ticket: str
    command: Command
    record: Record | None


@dataclass(frozen=True, slots=True)
class _Swap:
    tag: str
    index: int
    slot: Slot
    batch: tuple[tuple[QueuedCommand, Record], ...]
    started_at: float


class Shard:
    """The node's view of one shard and the commands queued for it."""

    def __init__(self, number: int, prefix: str, options: RecordOptions) -> None:
        self._number = number
        self._prefix = prefix
        self._options = options
        self._slots: list[Slot | None] = [None] * options.slots
        self._index: dict[str, Record] = {}
        self._queue: list[QueuedCommand] = []
        self._results: list[CommandResult] = []
        self._reads: dict[str, int] = {}
        self._swap: _Swap | None = None
        self._operation = 0
        self._resume_at = 0.0
        self._failures = 0
        # When the next swap is due at the mean rate (GCRA).
        self._theoretical_arrival = 0.0
        # The view contains all writes made before this time.
        self._complete_until = -math.inf
        self._tail_read: tuple[float, frozenset[int]] | None = None

    def __len__(self) -> int:
        return len(self._queue) + (self._swap is not None)

    @property
    def timer(self) -> str:
        """Name of the shard's timer."""
        return f"record-shard:{self._number}"

    def submit(self, queued: QueuedCommand) -> None:
        """Queue a command; ``advance`` processes it."""
        self._queue.append(queued)

    def take_results(self) -> list[CommandResult]:
        """Return the commands completed since the last call."""
        results = self._results
        self._results = []
        return results

    def advance(self, now: float) -> list[Action]:
        """Read stale slots and commit queued commands."""
        self._drop_expired(now)
        if self._swap is not None or self._reads or not self._queue:
            return []
        if now < self._resume_at:
            return [SetTimer(self.timer, self._resume_at)]
        stale = self._find_stale()
        if stale and self._failures:
            # A single read probes whether the platform is available again.
            return self._read(stale[:1])
        if stale:
            return self._read(stale)
        return self._commit(now)

    def handle_value(
        self, tag: str, value: bytes | None, revision: int, now: float
    ) -> list[Action]:
        """Handle a value that was read."""
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
            fields = {"key": self._make_key(index), "reason": str(error)}
            actions.append(LogDecision("record_value_damaged", fields))
        if not self._reads:
            self._rebuild()
            self._confirm_tail()
        actions.extend(self.advance(now))
        return actions

    def handle_swapped(self, tag: str, revision: int, now: float) -> list[Action]:
        """Handle a committed swap and complete its commands."""
        swap = self._take_swap(tag)
        if swap is None:
            return []
        swap.slot.revision = revision
        before = self._slots[swap.index]
        self._slots[swap.index] = swap.slot
        if before is None or before.sequence != swap.slot.sequence:
            self._rebuild()
        for queued, record in swap.batch:
            self._index[record.identity] = record
            self._results.append(CommandResult(queued.ticket, queued.command, record))
        self._complete_until = swap.started_at
        interval = self._options.commit_interval
        self._theoretical_arrival = (
            max(self._theoretical_arrival, swap.started_at) + interval
        )
        self._resume_at = self._theoretical_arrival - COMMIT_BURST * interval
        return self.advance(now)

    def handle_failure(self, tag: str, now: float, conflict: bool) -> list[Action]:
        """Read the value again after a conflict, a lost reply or a failure.

        Whether a swap without a reply was committed shows in the records, as
        each names its writer. If it takes effect after that read, either it
        fails because the revision has changed, or the next swap conflicts and
        the value is read once more.
        """
        if self._reads.pop(tag, None) is not None:
            self._delay(now)
            return self.advance(now)
        swap = self._take_swap(tag)
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

    def _take_swap(self, tag: str) -> _Swap | None:
        swap = self._swap
        if swap is None or swap.tag != tag:
            return None
        self._swap = None
        return swap

    def _drop_expired(self, now: float) -> None:
        kept = []
        for queued in self._queue:
            if queued.deadline <= now:
                self._results.append(CommandResult(queued.ticket, queued.command, None))
                continue
            kept.append(queued)
        self._queue = kept

    def _find_stale(self) -> list[int]:
        """Return the indexes of slots that are unread or out of date."""
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
            actions.append(ReadKey(tag, self._make_key(index)))
        actions.append(CountMetric("records.reads", len(indexes)))
        return actions

    def _read_tail(self, now: float) -> list[Action]:
        """Read the log's last segment and the slot of the next one again."""
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slot.sequence for slot in slots)
        indexes = sorted({last % len(slots), (last + 1) % len(slots)})
        self._tail_read = (now, frozenset(indexes))
        for index in indexes:
            self._slots[index] = None
        return self._read(indexes)

    def _confirm_tail(self) -> None:
        """Mark the view as complete if the log's tail was read."""
        if self._tail_read is None or self._find_stale():
            return
        started_at, indexes = self._tail_read
        self._tail_read = None
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slots, key=lambda slot: slot.sequence)
        needed = {last.sequence % len(slots)}
        if last.sealed:
            needed.add((last.sequence + 1) % len(slots))
        if needed <= indexes:
            self._complete_until = started_at

    def _rebuild(self) -> None:
        self._index = {}
        known = [slot for slot in self._slots if slot is not None]
        for slot in sorted(known, key=lambda slot: slot.sequence):
            for record in slot.records:
                self._index[record.identity] = record

    def _commit(self, now: float) -> list[Action]:
        index, slot = self._choose_slot()
        if slot.revision and not slot.lines and not self._is_reusable(index, now):
            self._resume_at = now + RETRY_DELAY
            return [*self._report_full(True), SetTimer(self.timer, self._resume_at)]
        next_reusable = self._is_reusable((slot.sequence + 1) % len(self._slots), now)
        full = slot.size >= self._options.seal_bytes and not next_reusable
        batch: list[tuple[QueuedCommand, Record]] = []
        written: dict[str, Record] = {}
        lines: list[str] = []
        added = 0
        # Rejections that a stale view might cause; decided after a tail read.
        undecided: list[QueuedCommand] = []
        queue = self._queue
        self._queue = []
        for position, queued in enumerate(queue):
            identity = queued.command.identity
            current = written.get(identity, self._index.get(identity))
            record = apply_command(
                current, queued.command, now, self._options.retention
            )
            if record is current and identity in written:
                batch.append((queued, record))
                continue
            if record is current:
                if _is_valid_when_stale(record, queued.command) or (
                    queued.queued_at <= self._complete_until
                ):
                    self._results.append(
                        CommandResult(queued.ticket, queued.command, record)
                    )
                else:
                    undecided.append(queued)
                continue
            if full and isinstance(queued.command, Claim):
                self._results.append(CommandResult(queued.ticket, queued.command, None))
                continue
            line = encode_record(record)
            limit = self._options.max_slot_bytes - slot.size
            if added + len(line) > min(limit, self._options.max_batch_bytes):
                self._queue = queue[position:]
                break
            written[identity] = record
            lines.append(line)
            added += len(line) + 1
            batch.append((queued, record))
        self._queue[:0] = undecided
        actions = self._report_full(full)
        if not batch and undecided:
            actions.extend(self._read_tail(now))
            return actions
        if not batch:
            if self._queue:
                self._resume_at = now + RETRY_DELAY
                actions.append(SetTimer(self.timer, self._resume_at))
            return actions
        updated = replace(slot, lines=[*slot.lines], records=[*slot.records])
        updated.append(lines)
        updated.sealed = next_reusable and (
            updated.size >= self._options.seal_bytes
            or now - updated.oldest >= self._options.seal_age
        )
        tag = self._make_tag()
        self._swap = _Swap(tag, index, updated, tuple(batch), now)
        key = self._make_key(index)
        actions.append(SwapKey(tag, key, slot.revision, updated.encode()))
        actions.append(CountMetric("records.writes"))
        return actions

    def _choose_slot(self) -> tuple[int, Slot]:
        """Return the slot to append to: the log's last segment or a new one."""
        slots = [slot for slot in self._slots if slot is not None]
        last = max(slots, key=lambda slot: slot.sequence)
        if not last.sealed:
            return last.sequence % len(slots), last
        sequence = last.sequence + 1
        index = sequence % len(slots)
        return index, Slot(sequence, False, slots[index].revision)

    def _is_reusable(self, index: int, now: float) -> bool:
        slot = self._slots[index]
        return slot is not None and slot.newest + self._options.retention < now

    def _report_full(self, full: bool) -> list[Action]:
        if not full:
            return []
        return [LogDecision("record_shard_full", {"shard": self._number})]

    def _make_tag(self) -> str:
        self._operation += 1
        return f"record:{self._number}:{self._operation}"

    def _make_key(self, index: int) -> str:
        return f"{self._prefix}{self._number}/{index}"


def _is_valid_when_stale(record: Record, command: Command) -> bool:
    """Return whether a decision holds even if the view is stale."""
    match record.state:
        case Finished() | Unknown():
            return True
        case Pending(writer=writer):
            return writer == command.writer
    return False
