"""What the relay asks of a client of upstreams; adapters provide it."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.forwarded_request import (
    ForwardedRequest,
    UpstreamResponse,
)
from tarragonrudder.core.forwarding.upstream_table import Registration


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One sending of a request.

    Attributes
    ----------
    hops : tuple of Hop
        Stages of a model's path; empty for a plain service.
    account : str
        Client account that the request's key belongs to; empty without one.
    time_left : float
        Seconds after which the upstream may stop.
    last_event : int or None
        Event behind which a stream goes on.
    fresh : bool
        Whether a kept connection must not be used.
    """

    request: ForwardedRequest
    upstream: Registration
    hops: tuple[Hop, ...]
    account: str
    time_left: float
    last_event: int | None = None
    fresh: bool = False


class Attempt(t.Protocol):
    """A request on its way to one upstream."""

    async def send(self) -> None:
        """Send it; raises BrokenConnection."""

    async def read_response(self) -> UpstreamResponse:
        """Return how the upstream answers; raises BrokenConnection."""

    async def read_body(self) -> bytes | None:
        """Return the next part of the answer, None at its end."""

    def finish(self) -> None:
        """Keep the connection, if the answer was read to its end."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(frozen=True, slots=True)
class StallReport:
    """What an engine says of the requests that it is the first stage of.

    Attributes
    ----------
    stalled : tuple of str
        Addresses of the stages that they wait for.
    """

    stalled: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DetourOutcome:
    """What an engine says to a new path of a running request.

    Attributes
    ----------
    done : bool
        Whether the request goes on over the new path.
    absent : str or None
        Address of a stage that isn't there or has no room.
    """

    done: bool
    absent: str | None = None


class UpstreamClient(t.Protocol):
    """Opens attempts and asks engines for their state."""

    async def open(self, dispatch: Dispatch) -> Attempt:
        """Connect; raises ConnectFailed, and then nothing was sent."""

    async def request_detour(
        self, upstream: Registration, request: str, hops: tuple[Hop, ...]
    ) -> DetourOutcome:
        """Have a running request go on over other stages behind the first."""

    async def fetch_report(self, upstream: Registration) -> StallReport | None:
        """Return an engine's report, None if it does not answer."""


class Reply(t.Protocol):
    """The answer to one caller."""

    @property
    def begun(self) -> bool:
        """Whether the head was sent."""

    async def start(self, status: int, headers: t.Any) -> None:
        """Send the head of an answer that follows in parts."""

    async def send(self, data: bytes) -> None:
        """Send a part."""

    async def end(self) -> None:
        """End the answer as whole."""

    async def send_whole(self, status: int, headers: t.Any, body: bytes) -> None:
        """Send a whole answer of an upstream."""
