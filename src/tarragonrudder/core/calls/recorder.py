"""Routes record commands to their shard, through the shard's owner if possible.

The owner batches the commands of many nodes into one compare-and-swap. A node
that gets no reply from the owner in time writes the swap itself. Concurrent
writers are safe, because each swap is conditional on the revision it replaces.
"""

import math
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.calls.record import (
    Command,
    Record,
    decode_command,
    decode_record,
    encode_command,
    encode_record,
    get_target_state,
)
from tarragonrudder.core.calls.record_layout import RecordOptions, find_shard
from tarragonrudder.core.calls.shard import CommandResult, QueuedCommand, Shard
from tarragonrudder.core.domain.action import (
    Action,
    ClearTimer,
    LogDecision,
    SendPeerMessage,
    SetTimer,
)
from tarragonrudder.core.domain.event import NodeAddress
from tarragonrudder.core.domain.message import RecordDecided, RecordSubmitted
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)
from tarragonrudder.core.domain.rendezvous import assign_owners

KEY_PREFIX = "/tarragonrudder/records/"
AS_COMMANDED = "="  # encodes a record that equals the command's target
OWNER_DEADLINE = 1.0  # seconds after which an owner drops a peer's command
# Longer than OWNER_DEADLINE: a live owner replies sooner even if the platform is
# unavailable, so that an outage does not make all nodes read all shards.
FORWARD_TIMEOUT = 2.2  # seconds to wait for the owner's decision
BYPASS_PERIOD = 5.0  # seconds for which an owner that did not reply is bypassed

PlatformEvent: t.TypeAlias = (
    KeyRead | Swapped | SwapConflicted | SwapOutcomeUnknown | PlatformCallFailed
)


@dataclass(frozen=True, slots=True)
class _Forwarded:
    owner: str
    queued: QueuedCommand


class Recorder:
    """One node's access to the call records of all shards."""

    def __init__(self, name: str, options: RecordOptions) -> None:
        self._name = name
        self._options = options
        self._nodes: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}
        self._shards: dict[int, Shard] = {}
        self._forwarded: dict[str, _Forwarded] = {}
        self._origins: dict[str, str] = {}
        self._bypassed_until: dict[str, float] = {}
        self._results: list[CommandResult] = []

    def set_nodes(self, nodes: t.Iterable[NodeAddress]) -> None:
        """Replace the list of live nodes."""
        names = tuple(sorted(node.name for node in nodes))
        if names == self._nodes:
            return
        self._nodes = names
        self._owners = {}
        if len(names) > self._options.max_direct_nodes:
            shards = [_name_shard(number) for number in range(self._options.shards)]
            self._owners = assign_owners(shards, names)
        # Idle shards that this node does not own are dropped from memory.
        for number, shard in list(self._shards.items()):
            if len(shard) == 0 and self._owners.get(_name_shard(number)) != self._name:
                del self._shards[number]

    def take_results(self) -> list[CommandResult]:
        """Return the commands completed since the last call."""
        results = self._results
        self._results = []
        return results

    def submit(
        self, ticket: str, command: Command, deadline: float, now: float
    ) -> list[Action]:
        """Submit a command; ``take_results`` returns its result."""
        queued = QueuedCommand(ticket, command, deadline, now)
        number = find_shard(command.identity, self._options)
        owner = self._owners.get(_name_shard(number))
        bypassed = self._bypassed_until.get(owner or "", -math.inf) > now
        if owner is None or owner == self._name or bypassed:
            return self._submit_to_shard(number, queued, now)
        self._forwarded[ticket] = _Forwarded(owner, queued)
        message = RecordSubmitted(ticket, encode_command(command))
        return [
            SendPeerMessage(owner, message),
            SetTimer(f"record-forward:{ticket}", now + FORWARD_TIMEOUT),
        ]

    def handle_platform(self, event: PlatformEvent, now: float) -> list[Action]:
        """Handle the completion of a shard's read or swap."""
        shard = self._shards.get(int(event.tag.split(":")[1]))
        if shard is None:
            return []
        match event:
            case KeyRead():
                actions = shard.handle_value(
                    event.tag, event.value, event.revision, now
                )
            case Swapped():
                actions = shard.handle_swapped(event.tag, event.revision, now)
            case SwapConflicted():
                actions = shard.handle_failure(event.tag, now, conflict=True)
            case SwapOutcomeUnknown() | PlatformCallFailed():
                actions = shard.handle_failure(event.tag, now, conflict=False)
        actions.extend(self._collect(shard))
        return actions

    def handle_peer(
        self, node: str, message: RecordSubmitted | RecordDecided, now: float
    ) -> list[Action]:
        """Handle a command from another node, or an owner's decision."""
        match message:
            case RecordSubmitted(ticket=ticket, command=line):
                try:
                    command = decode_command(line)
                except ValueError as error:
                    return [_log_refused_message(node, error)]
                self._origins[ticket] = node
                number = find_shard(command.identity, self._options)
                due = now + OWNER_DEADLINE
                actions = self._submit_to_shard(
                    number, QueuedCommand(ticket, command, due, now), now
                )
                actions.append(SetTimer(f"record-due:{number}", due))
                return actions
            case RecordDecided(ticket=ticket, record=line):
                forwarded = self._forwarded.get(ticket)
                if forwarded is None or forwarded.owner != node:
                    return []
                try:
                    record = _decode_decision(line, forwarded.queued.command, now)
                except ValueError as error:
                    return [_log_refused_message(node, error)]
                del self._forwarded[ticket]
                self._results.append(
                    CommandResult(ticket, forwarded.queued.command, record)
                )
                return [ClearTimer(f"record-forward:{ticket}")]

    def handle_undelivered(self, message: object, now: float) -> list[Action]:
        """Handle a message that could not be delivered."""
        if isinstance(message, RecordSubmitted):
            return self._bypass_owner(message.ticket, now)
        return []

    def handle_timer(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of a shard or of a forwarded command."""
        kind, _, name = timer.partition(":")
        if kind == "record-forward":
            return self._bypass_owner(name, now)
        shard = self._shards.get(int(name))
        if shard is None:
            return []
        actions = shard.advance(now)
        actions.extend(self._collect(shard))
        return actions

    def _bypass_owner(self, ticket: str, now: float) -> list[Action]:
        """Run a forwarded command locally, because its owner did not reply."""
        forwarded = self._forwarded.pop(ticket, None)
        if forwarded is None:
            return []
        self._bypassed_until[forwarded.owner] = now + BYPASS_PERIOD
        number = find_shard(forwarded.queued.command.identity, self._options)
        fields = {"shard": number, "owner": forwarded.owner}
        actions: list[Action] = [
            LogDecision("record_owner_bypassed", fields),
            ClearTimer(f"record-forward:{ticket}"),
        ]
        actions.extend(self._submit_to_shard(number, forwarded.queued, now))
        return actions

    def _submit_to_shard(
        self, number: int, queued: QueuedCommand, now: float
    ) -> list[Action]:
        shard = self._shards.get(number)
        if shard is None:
            shard = Shard(number, KEY_PREFIX, self._options)
            self._shards[number] = shard
        shard.submit(queued)
        actions = shard.advance(now)
        actions.extend(self._collect(shard))
        return actions

    def _collect(self, shard: Shard) -> list[Action]:
        actions: list[Action] = []
        for result in shard.take_results():
            origin = self._origins.pop(result.ticket, None)
            if origin is None:
                self._results.append(result)
                continue
            record = result.record
            line = _encode_decision(record, result.command)
            actions.append(SendPeerMessage(origin, RecordDecided(result.ticket, line)))
        return actions


def _name_shard(number: int) -> str:
    return f"records/{number}"


def _encode_decision(record: Record | None, command: Command) -> str:
    """Encode a decision; a record that equals the command's target is left out."""
    if record is None:
        return ""
    if record.digest == command.digest and record.state == get_target_state(command):
        return AS_COMMANDED
    return encode_record(record)


def _decode_decision(line: str, command: Command, now: float) -> Record | None:
    if not line:
        return None
    if line == AS_COMMANDED:
        return Record(command.identity, command.digest, now, get_target_state(command))
    return decode_record(line)


def _log_refused_message(node: str, error: ValueError) -> LogDecision:
    fields = {"node": node, "reason": str(error)}
    return LogDecision("record_message_refused", fields)
