"""One attempt of a stream, open at the first engine of its path."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.forwarded_request import (
    Accepted,
    InvalidResponse,
    Rejected,
)
from tarragonrudder.core.forwarding.event_sequence import EventBuffer
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.edges.connection import BrokenConnection
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.relay_interfaces import Attempt, Handover
from tarragonrudder.edges.stall_handler import StallHandler


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt's answer is missing, truncated or invalid."""

    reason: str


Received: t.TypeAlias = Accepted | Rejected | Broken | bytes


class StreamAttempt:
    """An attempt that was sent, with what is known of its answer.

    Attributes
    ----------
    response : Accepted or None
        Head of the answer, once it was received.
    connection : Attempt
        The connection that carries it.
    upstream : Registration
        The first engine of the path.
    buffer : EventBuffer
        Splits the answer's body into events.
    failure : bytearray
        Body of the upstream's own failure, as far as it was received.
    events : int
        Number of events that were forwarded from it.
    begun_at : float
        Time of its first event.
    """

    def __init__(
        self,
        connection: Attempt,
        upstream: Registration,
        path_load: PathLoad,
        stall_handler: StallHandler,
    ) -> None:
        self.connection = connection
        self.upstream = upstream
        self.path_load = path_load
        self.stall_handler = stall_handler
        self.response: Accepted | None = None
        self.buffer = EventBuffer()
        self.failure = bytearray()
        self.events = 0
        self.begun_at = 0.0

    @property
    def report(self) -> Handover | None:
        """What another node tells of it, None if it isn't at another node."""
        return self.connection.report if self.upstream.is_peer else None

    @property
    def path(self) -> Path:
        """The path that it takes now; a detour changes it."""
        return self.path_load.path

    async def receive(self) -> Received:
        """Return the head of the answer, then its body in parts; empty at the end.

        Nothing is lost if it is cancelled and called again.
        """
        try:
            if self.response is not None:
                return await self.connection.read_body() or b""
            response = await self.connection.read_response()
        except BrokenConnection as error:
            return Broken(str(error))
        if isinstance(response, InvalidResponse):
            return Broken(response.detail)
        return response

    def close(self) -> None:
        """Close the connection, unless it was kept for reuse, and end the load."""
        self.connection.abort()
        self.path_load.release()
