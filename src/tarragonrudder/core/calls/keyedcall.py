"""State of one keyed call on its way, and its time limits."""

import enum
from dataclasses import dataclass, field

from tarragonrudder.core.calls.record import Command
from tarragonrudder.core.domain.action import Action, SetTimer
from tarragonrudder.core.domain.event import ServiceAnswered, ServiceRequested
from tarragonrudder.core.domain.fleet import ServiceInstance, ServiceRoute
from tarragonrudder.errors import Problem

MAX_TIMEOUT = 300.0  # seconds for one call; far below the records' retention
SEND_VALIDITY = 3.0  # seconds from asking for a claim to the latest send
PENDING_MARGIN = 15.0  # seconds beyond a call's timeout for it to be recorded


class Phase(enum.Enum):
    """What a call waits for."""

    CLAIMING = enum.auto()
    WAITING = enum.auto()
    SENT = enum.auto()
    ASKING = enum.auto()
    RECORDING = enum.auto()


@dataclass(slots=True)
class KeyedCall:
    """A keyed call of one caller.

    Attributes
    ----------
    step : int
        Counts the commands given to the recorder.
    gone : bool
        Whether the caller closed its connection.
    writer : str
        The request whose call's outcome is looked for.
    final : bool
        Whether the outcome becomes unknown if no upstream tells it.
    command : Command or None
        What is being recorded.
    answer : ServiceAnswered or None
        The service's own answer to this call.
    problem : Problem or None
        What the caller is told once its claim is withdrawn.
    """

    event: ServiceRequested
    route: ServiceRoute
    identity: str
    digest: str
    began: float
    phase: Phase = Phase.CLAIMING
    claimed_at: float = 0.0
    step: int = 0
    attempt: int = 0
    upstream: str = ""
    tried: set[str] = field(default_factory=set)
    gone: bool = False
    answered: bool = False
    writer: str = ""
    final: bool = True
    askable: list[ServiceInstance] = field(default_factory=list)
    round: int = 0
    command: Command | None = None
    answer: ServiceAnswered | None = None
    problem: Problem | None = None
    record_by: float = 0.0
    timers: set[str] = field(default_factory=set)

    @property
    def request(self) -> str:
        """The request's name."""
        return self.event.request

    @property
    def ticket(self) -> str:
        """Name of the last command given to the recorder."""
        return f"{self.event.request}/{self.step}"

    @property
    def send_by(self) -> float:
        """The call must not leave later."""
        return self.claimed_at + SEND_VALIDITY

    @property
    def timeout(self) -> float:
        """Seconds until a call without an answer is given up."""
        return min(self.route.timeout, MAX_TIMEOUT)

    @property
    def pending_limit(self) -> float:
        """Seconds after which a pending record will not be finished."""
        return SEND_VALIDITY + self.timeout + PENDING_MARGIN

    def set_timer(self, kind: str, at: float) -> Action:
        """Return the action that sets one of the call's timers."""
        timer = f"{kind}:{self.request}"
        self.timers.add(timer)
        return SetTimer(timer, at)
