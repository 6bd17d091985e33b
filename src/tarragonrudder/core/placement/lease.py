"""The planner's lease: one holder at a time, with an increasing fencing token.

The holder's key is attached to a lease of the platform and deleted when the lease
expires. The key's revision is the fencing token, as revisions of the platform
only increase. The holder measures the lease's time from when it *requested* the
grant or renewal, so that it considers the lease expired before the platform does.
"""

import json
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.action import (
    Action,
    GrantLease,
    LogDecision,
    ReadKey,
    SwapKey,
)
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    LeaseGranted,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)

KEY = "/tarragonrudder/planner"
TAG = "planner-lease"
LEASE_TTL = 15.0  # seconds
RENEW_PERIOD = 5.0  # seconds
ACQUIRE_PERIOD = 5.0  # seconds between reads of a key that another node holds
ANSWER_TIMEOUT = 5.0  # seconds until a platform call counts as failed

LeaseEvent: t.TypeAlias = (
    LeaseGranted
    | PlatformCallFailed
    | KeyRead
    | SwapConflicted
    | SwapOutcomeUnknown
    | Swapped
)


@dataclass(frozen=True, slots=True)
class Waiting:
    """Another node holds the lease, or its holder is unknown."""


@dataclass(frozen=True, slots=True)
class Acquiring:
    """The key is free: a lease is requested, then the key is written."""

    lease: int = 0
    valid_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Held:
    """The lease is held: the node is the planner.

    Attributes
    ----------
    fencing_token : int
        Fencing token: the revision of the key.
    acquired_at : float
        When the write of the key was confirmed.
    """

    lease: int
    fencing_token: int
    acquired_at: float
    valid_until: float


State: t.TypeAlias = Waiting | Acquiring | Held


class PlannerLease:
    """Acquires, renews and gives up the planner's lease."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._state: State = Waiting()
        self._next_call_at = 0.0

    def find_fencing_token(self, now: float) -> int | None:
        """Return the fencing token while the lease is held, else None."""
        if isinstance(self._state, Held) and now < self._state.valid_until:
            return self._state.fencing_token
        return None

    def measure_time_left(self, now: float) -> float:
        """Return the seconds for which the lease is certain to be held."""
        if isinstance(self._state, Held):
            return max(0.0, self._state.valid_until - now)
        return 0.0

    def measure_tenure(self, now: float) -> float:
        """Return the seconds since this node acquired the lease."""
        return now - self._state.acquired_at if isinstance(self._state, Held) else 0.0

    def give_up(self, reason: str) -> list[Action]:
        """Stop being the planner; the lease is left to expire."""
        if isinstance(self._state, Waiting):
            return []
        self._state = Waiting()
        return [LogDecision("planner_lease_given_up", {"reason": reason})]

    def tick(self, now: float, candidate: bool) -> list[Action]:
        """Do the periodic work; only a candidate tries to acquire the lease."""
        actions: list[Action] = []
        match self._state:
            case Held(valid_until=end) | Acquiring(valid_until=end) if end <= now:
                if isinstance(self._state, Held):
                    actions.extend(self.give_up("the lease has expired"))
                    self._next_call_at = now
                elif self._next_call_at <= now:
                    self._state = Waiting()
        if now < self._next_call_at:
            return actions
        match self._state:
            case Waiting():
                if candidate:
                    self._next_call_at = now + ACQUIRE_PERIOD
                    actions.append(ReadKey(TAG, KEY))
            case Held(lease=lease):
                self._next_call_at = now + RENEW_PERIOD
                actions.append(GrantLease(TAG, LEASE_TTL, lease))
                actions.append(ReadKey(TAG, KEY))
        return actions

    def handle(self, event: LeaseEvent, now: float) -> list[Action]:
        """Handle the platform's answer to a call of this lease."""
        match event:
            case KeyRead():
                return self._handle_value(event, now)
            case LeaseGranted():
                return self._handle_grant(event, now)
            case Swapped():
                return self._become_holder(event.revision, now)
            case SwapOutcomeUnknown():
                # The key may have been written: its value names node and lease.
                return [ReadKey(TAG, KEY)]
            case SwapConflicted():
                return self.give_up("another node wrote the key first")
            case PlatformCallFailed():
                if isinstance(self._state, Acquiring):
                    self._state = Waiting()
        return []

    def _handle_value(self, event: KeyRead, now: float) -> list[Action]:
        match self._state:
            case Waiting() if event.value is None:
                self._state = Acquiring()
                self._next_call_at = now + ANSWER_TIMEOUT
                return [GrantLease(TAG, LEASE_TTL)]
            case Acquiring(lease=lease) if lease:
                if _read_lease(event.value) == (self._name, lease):
                    return self._become_holder(event.revision, now)
                return self.give_up("the key was not written")
            case Held(fencing_token=fencing_token) if event.revision != fencing_token:
                return self.give_up("another node holds the key")
        return []

    def _handle_grant(self, event: LeaseGranted, now: float) -> list[Action]:
        valid_until = event.requested_at + min(event.ttl, LEASE_TTL)
        match self._state:
            case Acquiring(lease=0):
                self._state = Acquiring(event.lease, valid_until)
                owner = {"node": self._name, "lease": event.lease}
                value = json.dumps(owner).encode()
                return [SwapKey(TAG, KEY, 0, value, event.lease)]
            case Held(lease=lease, valid_until=end) as held if lease == event.lease:
                if now < end:
                    self._state = Held(
                        lease,
                        held.fencing_token,
                        held.acquired_at,
                        max(end, valid_until),
                    )
        return []

    def _become_holder(self, fencing_token: int, now: float) -> list[Action]:
        if not isinstance(self._state, Acquiring) or now >= self._state.valid_until:
            return self.give_up("the lease expired before the write was confirmed")
        self._state = Held(
            self._state.lease, fencing_token, now, self._state.valid_until
        )
        self._next_call_at = now + RENEW_PERIOD
        return [LogDecision("planner_lease_taken", {"number": fencing_token})]


def _read_lease(value: bytes | None) -> tuple[str, int] | None:
    if value is None:
        return None
    try:
        item = json.loads(value)
        return str(item["node"]), int(item["lease"])
    except (ValueError, KeyError, TypeError):
        return None
