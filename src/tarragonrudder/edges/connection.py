"""HTTP/1.1 connections on trio streams, framed by h11.

Hypercorn and httpx, used by the other edges, hide what relayed answers need: a
truncated answer must never be ended as if it were complete, a caller's disconnect
must be noticed at once, and it must be known whether a request may have reached its
upstream.
"""

import select
import socket
import typing as t
from dataclasses import dataclass

import h11
import trio

from tarragonrudder.core.admission.intake_budget import FIELD_BYTES
from tarragonrudder.core.domain.address import split_address
from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.edges.intake_gate import IntakeTicket, make_unlimited_ticket
from tarragonrudder.edges.socket_io import receive, send_now

READ_BYTES = 64 * 1024  # per read; fits a typical request or answer
MAX_HEADER_BYTES = 32 * 1024  # of an upstream's answer
# Bytes of a message that aren't its body: heads, also interim ones, and the framing of
# chunks; `FRAMING_RATIO` more for each byte of the body. Chunks of one byte stay below.
MAX_FRAMING_BYTES = 128 * 1024
FRAMING_RATIO = 5
# A longer body isn't copied to be sent in one piece with its head.
MAX_JOINED_BYTES = 64 * 1024
# Events of a message, each some tens of microseconds, after which others have a turn.
EVENTS_PER_TURN = 64
LINE_END = b"\r\n"  # behind each chunk of a body
MAX_FIELDS = 4096  # of a head; as many as fit into 16 KiB
# Bytes of requests sent ahead that are read while little memory is left.
SCARCE_READ_BYTES = 1024
CONNECT_TIMEOUT = 0.25  # seconds; many round trips within a region
# Seconds without an acknowledgement after which the kernel drops a connection.
USER_TIMEOUT = 3.0
STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

Headers: t.TypeAlias = list[tuple[bytes, bytes]]


class ConnectFailed(Exception):
    """No connection was established, so nothing was sent."""


class IntakeRefused(Exception):
    """There is no room for a caller's unfinished request."""


class CallerDisconnected(Exception):
    """The caller closed its connection before the answer was complete."""


class BrokenConnection(Exception):
    """The connection to an upstream failed, or the upstream sent invalid HTTP."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names keep their case."""

    status: int
    headers: Headers

    def find(self, name: bytes) -> bytes | None:
        """Return a header's value or None; `name` must be in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def configure_socket(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm, so that data is sent at once; set `USER_TIMEOUT`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    timeout = int(USER_TIMEOUT * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)


async def open_connection(
    address: str, timeout: float = CONNECT_TIMEOUT
) -> "ClientConnection":
    """Connect to ``HOST:PORT``.

    Raises
    ------
    ConnectFailed
        If no connection is established within `timeout` seconds.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.move_on_after(timeout) as scope:
            await sock.connect(split_address(address))
        if scope.cancelled_caught:
            raise ConnectFailed(f"{address} did not answer in {timeout} s")
        configure_socket(sock)
    except (OSError, ValueError) as error:
        sock.close()
        raise ConnectFailed(f"{address}: {error}") from error
    except BaseException:
        sock.close()
        raise
    return ClientConnection(trio.SocketStream(sock), address)


class ClientConnection:
    """One connection to an upstream; carries one request at a time."""

    def __init__(self, stream: trio.SocketStream, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_timeout = 0.0
        self._stream = stream
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._received_bytes = 0  # of the current answer
        self._body_bytes = 0
        self._events_in_turn = 0
        self._ahead: t.Any = None  # event, or error, behind the last part of the body

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def is_still_idle(self) -> bool:
        """Tell whether an idle connection is open and has received no data."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def start_next(self) -> None:
        """Prepare the connection for another request."""
        self._http.start_next_cycle()
        self._ahead = None
        self._received_bytes = 0
        self._body_bytes = 0

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request.

        Raises
        ------
        BrokenConnection
            If sending failed; the upstream may still have received the request.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        try:
            head = self._http.send(request) or b""
            data = self._http.send(h11.Data(data=body)) or b"" if body else b""
            data += self._http.send(h11.EndOfMessage()) or b""
            if len(data) <= MAX_JOINED_BYTES:
                head, data = head + data, b""
            for part in (head, data):
                sent = send_now(self._stream.socket, part) if part else 0
                if sent < len(part):
                    await self._stream.send_all(memoryview(part)[sent:])
        except (OSError, *STREAM_ERRORS, h11.LocalProtocolError) as error:
            raise BrokenConnection(f"{self.address}: {error}") from error

    async def read_head(
        self, on_interim: t.Callable[[ResponseHead], None] = lambda head: None
    ) -> ResponseHead:
        """Return the head of the answer.

        Parameters
        ----------
        on_interim : callable
            Called with each interim head that comes before it.

        Raises
        ------
        BrokenConnection
            If the answer is missing or is invalid HTTP.
        """
        while True:
            event = await self._next_event()
            if not isinstance(event, (h11.Response, h11.InformationalResponse)):
                raise BrokenConnection(f"{self.address}: no response head")
            head = ResponseHead(event.status_code, list(event.headers.raw_items()))
            if isinstance(event, h11.Response):
                return head
            on_interim(head)

    async def read_body(self) -> bytes | None:
        """Return the next part of the answer's body, None at its end.

        What arrived together is one part.

        Raises
        ------
        BrokenConnection
            If the answer was truncated or is invalid HTTP.
        """
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise BrokenConnection(f"{self.address}: the answer was truncated")
        data = bytes(event.data)
        while self._events_in_turn < EVENTS_PER_TURN:
            event = self._look_behind(event)
            if not isinstance(event, h11.Data):
                self._ahead = event
                break
            self._events_in_turn += 1
            data += event.data
        self._body_bytes += len(data)
        return data

    def close(self) -> None:
        """Close at once, even in the middle of a message."""
        self._stream.socket.close()

    async def _next_event(self) -> t.Any:
        if self._events_in_turn >= EVENTS_PER_TURN:
            await trio.lowlevel.checkpoint()
            self._events_in_turn = 0
        try:
            while True:
                event = self._parse_event()
                if event is not h11.NEED_DATA:
                    self._events_in_turn += 1
                    return event
                self._events_in_turn = 0
                self._check_framing()
                data = await receive(self._stream.socket, READ_BYTES)
                self._received_bytes += len(data)
                self._http.receive_data(data)
        except (OSError, *STREAM_ERRORS, h11.RemoteProtocolError) as error:
            raise BrokenConnection(f"{self.address}: {error}") from error

    def _parse_event(self) -> t.Any:
        event, self._ahead = self._ahead, None
        if event is None:
            return self._http.next_event()
        if isinstance(event, Exception):
            raise event
        return event

    def _look_behind(self, part: h11.Data) -> t.Any:
        """Return the event behind a part of the body; an error is returned, too."""
        rest, is_closed = self._http.trailing_data
        if part.chunk_end and LINE_END.startswith(rest) and not is_closed:
            return h11.NEED_DATA
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            return error

    def _check_framing(self) -> None:
        """Raise BrokenConnection if the answer has too little body for its size."""
        limit = MAX_FRAMING_BYTES + FRAMING_RATIO * self._body_bytes
        if self._received_bytes - self._body_bytes > limit:
            raise BrokenConnection(f"{self.address}: the answer is all framing")


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A caller's complete request, unmodified."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class UnreadableRequest:
    """A request that is refused as malformed, too slow or too long.

    Attributes
    ----------
    status : int
        HTTP status of the refusal.
    """

    status: int
    detail: str


class ServerConnection:
    """One caller's connection.

    Parameters
    ----------
    get_limits : callable
        Returns the limits in force.
    ticket : IntakeTicket or None
        Is told the bytes that the connection holds; None if nothing limits them.
    max_fields : int
        Most fields of a request's head.

    Attributes
    ----------
    has_begun : bool
        Whether a part of the next request has arrived.
    on_progress : callable
        Called while `send_whole` is under way, whenever bytes were taken.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        get_limits: t.Callable[[], CallerLimits],
        ticket: IntakeTicket | None = None,
        max_fields: int = MAX_FIELDS,
    ) -> None:
        self._stream = stream
        self._ticket = ticket or make_unlimited_ticket()
        self._max_fields = max_fields
        self._held = 0  # bytes of the current request
        self._received_bytes = 0  # after its head, with framing
        self._events_in_turn = 0
        self._get_limits = get_limits
        self._limits = get_limits()
        self._http = self._make_http()
        self.has_begun = False
        self.on_progress: t.Callable[[], None] = lambda: None

    async def read_request(self) -> ReceivedRequest | UnreadableRequest | None:
        """Return the next request, None once the connection has ended.

        The idle timeout runs until the first byte. The limits in force then hold: the
        header timeout runs to the end of the headers, and the body has to arrive within
        the idle timeout as well.
        """
        self.has_begun = False
        self._renew_limits()
        self._received_bytes = 0
        self._held = len(self._http.trailing_data[0])
        try:
            with trio.move_on_after(self._limits.idle_timeout) as scope:
                head = await self._read_head(scope)
            if scope.cancelled_caught:
                return UnreadableRequest(408, "too slow") if self.has_begun else None
            if not isinstance(head, h11.Request):
                return None
            fault = self._check_head(head)
            if fault is not None:
                return fault
            body = bytearray()
            with trio.move_on_after(self._limits.idle_timeout) as scope:
                fault = await self._read_body(body)
            if scope.cancelled_caught:
                return UnreadableRequest(408, "the body is too slow")
            if fault is not None:
                return fault
        except h11.RemoteProtocolError as error:
            return UnreadableRequest(error.error_status_hint, str(error))
        except IntakeRefused:
            return UnreadableRequest(503, "too many unfinished requests")
        except STREAM_ERRORS:
            return None
        if not self._ticket.serve():
            return None
        return ReceivedRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            list(head.headers.raw_items()),
            bytes(body),
        )

    async def wait_disconnected(self) -> None:
        """Return once the caller has closed; pipelined data is buffered.

        Beyond `READ_BYTES` of it nothing more is read, so a close is no longer noticed;
        nor beyond any of it while all connections hold too much.
        """
        buffered = 0
        try:
            while True:
                has_room = self._ticket.has_room
                limit = READ_BYTES if has_room else SCARCE_READ_BYTES
                data = await self._stream.receive_some(limit)
                self._http.receive_data(data)
                buffered += len(data)
                if not data:
                    return
                self._held += len(data)
                self._ticket.hold(self._held)
                if buffered > READ_BYTES or not has_room:
                    await trio.sleep_forever()
        except STREAM_ERRORS:
            return

    async def send_interim(self, status: int, headers: Headers) -> None:
        """Send an interim head, which the answer follows."""
        await self._send(h11.InformationalResponse(status_code=status, headers=headers))

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body; no other task runs if it is taken at once."""
        framed = self._http.send(h11.Data(data=data)) or b""
        sent = self._write_now(framed)
        if sent < len(framed):
            await self._write(framed[sent:])

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer, a short one in one write if the kernel takes it."""
        response = h11.Response(status_code=status, headers=headers)
        head = self._http.send(response) or b""
        data = self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._ticket.hold(self._held + len(head) + len(data))
        if len(data) <= MAX_JOINED_BYTES:
            head, data = head + data, b""
        for part in (head, data):
            if part:
                await self._write_watched(part)

    async def send_end(self) -> None:
        """End the answer."""
        await self._send(h11.EndOfMessage())

    def start_next(self) -> bool:
        """Prepare for another request; return False if the connection must close."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._ticket.end()
        return True

    async def close(self) -> None:
        """Close at once; the caller can tell if the answer was truncated."""
        self._ticket.close()
        await trio.aclose_forcefully(self._stream)

    def _make_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    def _renew_limits(self) -> None:
        """Apply the limits in force; only before the head is read."""
        before, self._limits = self._limits, self._get_limits()
        if self._limits.header_bytes == before.header_bytes:
            return
        # h11 takes its limit only at the start, so unread data is moved.
        data, is_closed = self._http.trailing_data
        self._http = self._make_http()
        if data:
            self._http.receive_data(data)
        if is_closed:
            self._http.receive_data(b"")

    async def _read_head(self, scope: trio.CancelScope) -> t.Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.receive_some(READ_BYTES)
            if data and not self.has_begun:
                self.has_begun = True
                self._renew_limits()
                scope.deadline = trio.current_time() + self._limits.header_timeout
            self._receive(data)

    async def _read_body(self, body: bytearray) -> UnreadableRequest | None:
        """Read the body of a request; return why it is refused, if it is."""
        head_bytes = self._held
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return None
            if not isinstance(event, h11.Data):
                raise trio.ClosedResourceError("the caller closed within a request")
            body += event.data
            if len(body) > self._limits.body_bytes:
                return UnreadableRequest(413, "the body is too long")
            self._held = head_bytes + len(body)
            framing = self._received_bytes - len(body)
            if framing > MAX_FRAMING_BYTES + FRAMING_RATIO * len(body):
                return UnreadableRequest(400, "the body is all framing")

    def _check_head(self, head: h11.Request) -> UnreadableRequest | None:
        """Return why a head is refused, None if it isn't."""
        if len(head.headers) > self._max_fields:
            return UnreadableRequest(431, "the head has too many fields")
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                return UnreadableRequest(413, "the body is too long")
        self._held += FIELD_BYTES * len(head.headers)
        if not self._ticket.hold(self._held):
            raise IntakeRefused
        return None

    async def _next_event(self) -> t.Any:
        if self._events_in_turn >= EVENTS_PER_TURN:
            await trio.lowlevel.checkpoint()
            self._events_in_turn = 0
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                self._events_in_turn += 1
                return event
            self._events_in_turn = 0
            self._receive(await self._stream.receive_some(READ_BYTES))

    def _receive(self, data: bytes) -> None:
        """Take data of a request; raises IntakeRefused if there is no room for it."""
        self._received_bytes += len(data)
        self._held += len(data)
        if data and not self._ticket.hold(self._held):
            raise IntakeRefused
        self._http.receive_data(data)

    async def _send(self, event: t.Any) -> None:
        data = self._http.send(event)
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except STREAM_ERRORS as error:
            raise CallerDisconnected(str(error)) from error

    def _write_now(self, data: bytes) -> int:
        """Write what is taken at once; return the number of bytes."""
        try:
            return send_now(self._stream.socket, data)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    async def _write_watched(self, data: bytes) -> None:
        """Write data and report each progress to `on_progress`."""
        sent = self._write_now(data)
        try:
            while sent < len(data):
                rest = memoryview(data)[sent:]
                sent += await self._stream.socket.send(rest)
                self.on_progress()
        except (OSError, *STREAM_ERRORS) as error:
            raise CallerDisconnected(str(error)) from error
