"""State and time limits of one keyed call in flight."""

import enum
from dataclasses import dataclass, field

from tarragonrudder.core.calls.record import Command
from tarragonrudder.core.domain.action import Action, SetTimer
from tarragonrudder.core.domain.event import ServiceAnswered, ServiceRequested
from tarragonrudder.core.domain.fleet import ServiceInstance, ServiceRoute
from tarragonrudder.errors import Problem

MAX_TIMEOUT = 300.0  # seconds for one call; far below the records' retention
SEND_VALIDITY = 3.0  # seconds from submitting the claim to the latest send
PENDING_MARGIN = 15.0  # seconds after a call's timeout to record its outcome


class Phase(enum.Enum):
    """Step that a keyed call is waiting for."""

    CLAIMING = enum.auto()
    WAITING = enum.auto()
    SENT = enum.auto()
    QUERYING = enum.auto()
    RECORDING = enum.auto()


@dataclass(slots=True)
class KeyedCall:
    """A keyed call of one caller.

    Attributes
    ----------
    step : int
        Number of commands submitted to the recorder so far.
    disconnected : bool
        Whether the caller has closed its connection.
    writer : str
        Request whose call's outcome is queried.
    must_resolve : bool
        Whether the outcome is recorded as unknown if no upstream reports it.
    command : Command or None
        Command that is being recorded.
    response : ServiceAnswered or None
        The service's response to this call.
    problem : Problem or None
        Error returned to the caller once the claim is withdrawn.
    """

    event: ServiceRequested
    route: ServiceRoute
    identity: str
    digest: str
    started_at: float
    phase: Phase = Phase.CLAIMING
    claimed_at: float = 0.0
    step: int = 0
    attempt: int = 0
    upstream: str = ""
    tried: set[str] = field(default_factory=set)
    disconnected: bool = False
    responded: bool = False
    writer: str = ""
    must_resolve: bool = True
    query_targets: list[ServiceInstance] = field(default_factory=list)
    query_round: int = 0
    command: Command | None = None
    response: ServiceAnswered | None = None
    problem: Problem | None = None
    record_by: float = 0.0
    timers: set[str] = field(default_factory=set)

    @property
    def request(self) -> str:
        """Identifier of the request."""
        return self.event.request

    @property
    def ticket(self) -> str:
        """Identifier of the last command submitted to the recorder."""
        return f"{self.event.request}/{self.step}"

    @property
    def send_by(self) -> float:
        """Latest time at which the call may be sent."""
        return self.claimed_at + SEND_VALIDITY

    @property
    def timeout(self) -> float:
        """Seconds after which a call without a response fails."""
        return min(self.route.timeout, MAX_TIMEOUT)

    @property
    def pending_limit(self) -> float:
        """Seconds after which a record still pending will not be finished."""
        return SEND_VALIDITY + self.timeout + PENDING_MARGIN

    def set_timer(self, kind: str, at: float) -> Action:
        """Return the action that sets one of the call's timers."""
        timer = f"{kind}:{self.request}"
        self.timers.add(timer)
        return SetTimer(timer, at)
