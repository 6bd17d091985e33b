"""Carries record commands to their shard, through its owner where possible.

The owner gathers the commands of many nodes into one swap. A node that does
not hear from the owner in time makes the swap itself; that both may write is
safe, since each swap names the revision that it changes.
"""

import math
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.calls.layout import RecordOptions, find_shard
from tarragonrudder.core.calls.record import (
    Command,
    Record,
    decode_command,
    decode_record,
    encode_command,
    encode_record,
    make_state,
)
from tarragonrudder.core.calls.shard import Decided, Queued, Shard
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
AS_COMMANDED = "="
OWNER_DEADLINE = 1.0  # seconds for which an owner tries a peer's command
# An owner that lives answers sooner, also without the platform, so that an
# outage does not make all nodes read all shards.
FORWARD_TIMEOUT = 2.2  # seconds for the owner's decision
AVOID_PERIOD = 5.0  # seconds without commands for an owner that did not answer

PlatformEvent: t.TypeAlias = (
    KeyRead | Swapped | SwapConflicted | SwapOutcomeUnknown | PlatformCallFailed
)


@dataclass(frozen=True, slots=True)
class _Forwarded:
    owner: str
    queued: Queued


class Recorder:
    """The action records as one node reaches them."""

    def __init__(self, name: str, options: RecordOptions) -> None:
        self._name = name
        self._options = options
        self._nodes: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}
        self._shards: dict[int, Shard] = {}
        self._forwarded: dict[str, _Forwarded] = {}
        self._origins: dict[str, str] = {}
        self._avoided: dict[str, float] = {}
        self._decided: list[Decided] = []

    def set_nodes(self, nodes: t.Iterable[NodeAddress]) -> None:
        """Replace the list of live nodes."""
        names = tuple(sorted(node.name for node in nodes))
        if names == self._nodes:
            return
        self._nodes = names
        self._owners = {}
        if len(names) > self._options.direct_nodes:
            shards = [_name_shard(number) for number in range(self._options.shards)]
            self._owners = assign_owners(shards, names)
        # What this node owns no more need not be kept in memory.
        for number, shard in list(self._shards.items()):
            if len(shard) == 0 and self._owners.get(_name_shard(number)) != self._name:
                del self._shards[number]

    def take_decided(self) -> list[Decided]:
        """Return what was decided since the last call."""
        decided = self._decided
        self._decided = []
        return decided

    def submit(
        self, ticket: str, command: Command, deadline: float, now: float
    ) -> list[Action]:
        """Have a command decided; ``take_decided`` returns the outcome."""
        queued = Queued(ticket, command, deadline, now)
        number = find_shard(command.identity, self._options)
        owner = self._owners.get(_name_shard(number))
        avoided = self._avoided.get(owner or "", -math.inf) > now
        if owner is None or owner == self._name or avoided:
            return self._work(number, queued, now)
        self._forwarded[ticket] = _Forwarded(owner, queued)
        message = RecordSubmitted(ticket, encode_command(command))
        return [
            SendPeerMessage(owner, message),
            SetTimer(f"record-forward:{ticket}", now + FORWARD_TIMEOUT),
        ]

    def handle_platform(self, event: PlatformEvent, now: float) -> list[Action]:
        """Handle the end of a read or swap that a shard asked for."""
        shard = self._shards.get(int(event.tag.split(":")[1]))
        if shard is None:
            return []
        match event:
            case KeyRead():
                actions = shard.merge_value(event.tag, event.value, event.revision, now)
            case Swapped():
                actions = shard.merge_swapped(event.tag, event.revision, now)
            case SwapConflicted():
                actions = shard.merge_failure(event.tag, now, conflict=True)
            case SwapOutcomeUnknown() | PlatformCallFailed():
                actions = shard.merge_failure(event.tag, now, conflict=False)
        actions.extend(self._collect(shard))
        return actions

    def handle_peer(
        self, node: str, message: RecordSubmitted | RecordDecided, now: float
    ) -> list[Action]:
        """Handle another node's command, or an owner's decision."""
        match message:
            case RecordSubmitted(ticket=ticket, command=line):
                try:
                    command = decode_command(line)
                except ValueError as error:
                    return [_log_damaged(node, error)]
                self._origins[ticket] = node
                number = find_shard(command.identity, self._options)
                due = now + OWNER_DEADLINE
                actions = self._work(number, Queued(ticket, command, due, now), now)
                actions.append(SetTimer(f"record-due:{number}", due))
                return actions
            case RecordDecided(ticket=ticket, record=line):
                forwarded = self._forwarded.get(ticket)
                if forwarded is None or forwarded.owner != node:
                    return []
                try:
                    record = _decode_decision(line, forwarded.queued.command, now)
                except ValueError as error:
                    return [_log_damaged(node, error)]
                del self._forwarded[ticket]
                self._decided.append(Decided(ticket, forwarded.queued.command, record))
                return [ClearTimer(f"record-forward:{ticket}")]

    def handle_lost(self, message: object, now: float) -> list[Action]:
        """Handle a message that could not be delivered."""
        if isinstance(message, RecordSubmitted):
            return self._bypass(message.ticket, now)
        return []

    def fire(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of a shard or of a forwarded command."""
        kind, _, name = timer.partition(":")
        if kind == "record-forward":
            return self._bypass(name, now)
        shard = self._shards.get(int(name))
        if shard is None:
            return []
        actions = shard.advance(now)
        actions.extend(self._collect(shard))
        return actions

    def _bypass(self, ticket: str, now: float) -> list[Action]:
        """Do without the owner."""
        forwarded = self._forwarded.pop(ticket, None)
        if forwarded is None:
            return []
        self._avoided[forwarded.owner] = now + AVOID_PERIOD
        number = find_shard(forwarded.queued.command.identity, self._options)
        fields = {"shard": number, "owner": forwarded.owner}
        actions: list[Action] = [
            LogDecision("record_owner_bypassed", fields),
            ClearTimer(f"record-forward:{ticket}"),
        ]
        actions.extend(self._work(number, forwarded.queued, now))
        return actions

    def _work(self, number: int, queued: Queued, now: float) -> list[Action]:
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
        for decided in shard.take_decided():
            origin = self._origins.pop(decided.ticket, None)
            if origin is None:
                self._decided.append(decided)
                continue
            record = decided.record
            line = _encode_decision(record, decided.command)
            actions.append(SendPeerMessage(origin, RecordDecided(decided.ticket, line)))
        return actions


def _name_shard(number: int) -> str:
    return f"records/{number}"


def _encode_decision(record: Record | None, command: Command) -> str:
    """Return a decision for the wire; one as commanded needs no record."""
    if record is None:
        return ""
    if record.digest == command.digest and record.state == make_state(command):
        return AS_COMMANDED
    return encode_record(record)


def _decode_decision(line: str, command: Command, now: float) -> Record | None:
    if not line:
        return None
    if line == AS_COMMANDED:
        return Record(command.identity, command.digest, now, make_state(command))
    return decode_record(line)


def _log_damaged(node: str, error: ValueError) -> LogDecision:
    fields = {"node": node, "reason": str(error)}
    return LogDecision("record_message_refused", fields)
