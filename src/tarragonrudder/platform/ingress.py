"""HTTP front end: accepts callers' connections and responds to their requests."""

import contextlib
import functools
import hashlib
import socket
import typing as t

import orjson
import trio

from tarragonrudder.core.domain.forwarded_request import ForwardedRequest
from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.core.node.drain import Drain
from tarragonrudder.edges.connection import (
    MAX_FIELDS,
    CallerDisconnected,
    Headers,
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
    configure_socket,
)
from tarragonrudder.edges.intake_gate import IntakeGate
from tarragonrudder.edges.relay import Relay, ResponseAborted
from tarragonrudder.edges.relay_interfaces import Handover
from tarragonrudder.errors import Overloaded, Problem, RunState
from tarragonrudder.platform import protocol
from tarragonrudder.platform.early_listener import BACKLOG
from tarragonrudder.platform.handover import (
    HandoverError,
    decode_handover,
    encode_handover,
)
from tarragonrudder.platform.upstream_client import filter_headers

# Request headers that the router sets itself, or does not forward to the upstream.
STRIPPED_HEADERS = frozenset(
    (
        b"host",
        protocol.REQUEST_ID,
        protocol.DEADLINE,
        protocol.AUTHORIZATION,
        protocol.TENANT,
        protocol.EXPECTED_INSTANCE,
        protocol.PATH,
        protocol.PRIORITY,
        protocol.LAST_EVENT_ID,
        protocol.HANDOVER,
    )
)
NOT_RUN_HEADER = (b"Not-Executed", b"1")  # only on responses to other nodes
# Requests of other nodes that are run at a time; more are refused at once, so that
# they are passed on to another node.
MAX_ACTIVE_FOR_PEERS = 256
PROCESSING = 102  # status of an interim response
CLOSE_HEADER = (b"Connection", b"close")
RETRY_HEADER = (b"Retry-After", b"1")  # unfinished requests end within seconds
# Seconds after the start of a planned stop during which requests are still accepted
# and idle connections kept open: the load balancer notices the stop only after two
# readiness probes, one second apart. A request accepted later might be cut off when
# the process ends.
BALANCER_LAG = 2.5
# Seconds without a byte after which a connection is closed during a planned stop.
# Callers send a request sooner than that after connecting or after a response.
DRAIN_IDLE_TIMEOUT = 0.5
# Seconds without a byte taken after which a caller is left in the middle of a complete
# response; callers wait as long for a connection.
SEND_TIMEOUT = 1.0
# Seconds before a request's deadline at which sending ends, so that the sender and
# not the relay notices it.
DEADLINE_MARGIN = 0.02
MAX_COUNT = 10**15  # tokens, milliseconds and event numbers; exact as a float

# Bounds of what is kept of a prompt's list of parts.
MAX_PROMPT_PARTS = 128
MAX_PART_ID_LENGTH = 64  # characters


def decode_request(received: ReceivedRequest, now: float) -> ForwardedRequest | None:
    """Decode a caller's request; return None if its id or host is missing."""
    found: dict[bytes, bytes] = {}
    for name, value in received.headers:
        found.setdefault(name.lower(), value)
    request_id = found.get(protocol.REQUEST_ID)
    if not request_id or b"host" not in found:
        return None
    timeout_ms = _parse_count(found.get(protocol.DEADLINE))
    prompt, _, answer = found.get(protocol.TOKEN_USAGE, b"").partition(b",")
    authorization = found.get(protocol.AUTHORIZATION, b"").decode("latin-1")
    scheme, _, secret = authorization.partition(" ")
    digest = hashlib.blake2b(digest_size=16)
    parts = (received.target.encode("latin-1"), found.get(protocol.AUTHORIZATION, b""))
    for part in (*parts, found.get(protocol.PROMPT_PREFIX, b""), received.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return ForwardedRequest(
        request_id=request_id.decode("latin-1"),
        method=received.method,
        host=found[b"host"].decode("latin-1"),
        target=received.target,
        api_key=secret.strip() if scheme.lower() == "bearer" else None,
        timeout=timeout_ms / 1000.0 if timeout_ms is not None else None,
        prompt_tokens=_parse_count(prompt) or 0,
        max_tokens=_parse_count(answer) or 0,
        hinted_tokens=_parse_count(found.get(protocol.LENGTH_HINT)),
        last_event=_parse_count(found.get(protocol.LAST_EVENT_ID)),
        prompt_parts=_parse_shared_parts(found.get(protocol.PROMPT_PREFIX, b"")),
        fingerprint=digest.hexdigest(),
        arrived=now,
        headers=filter_headers(received.headers, STRIPPED_HEADERS),
        body=received.body,
    )


def find_handover(received: ReceivedRequest) -> Handover:
    """Return what another node tells of its request; raises HandoverError."""
    for name, value in received.headers:
        if name.lower() == protocol.HANDOVER:
            return decode_handover(value)
    raise HandoverError("a node's request has no handover")


def find_request_id(received: ReceivedRequest) -> str:
    """Return the id of a caller's request, empty without one."""
    for name, value in received.headers:
        if name.lower() == protocol.REQUEST_ID:
            return value.decode("latin-1")
    return ""


class ResponseNotTaken(ResponseAborted):
    """The caller did not take a complete response in time.

    Attributes
    ----------
    request_id : str or None
        Identifier of the request; None if it has none.
    took : float
        Seconds since the request arrived.
    """

    def __init__(self, request_id: str | None, took: float) -> None:
        super().__init__("the caller did not take the response in time")
        self.request_id = request_id
        self.took = took


class CallerReply:
    """The response to one request on a caller's connection, or on another node's.

    Parameters
    ----------
    node : str
        Name of this node, to tell another one; empty for a caller.
    """

    def __init__(
        self,
        connection: ServerConnection,
        is_closing: t.Callable[[], bool],
        node: str = "",
    ) -> None:
        self._node = node
        self._sent_to: t.Sequence[str] = ()
        self._avoided: t.Collection[str] = ()
        self._connection = connection
        self._is_closing = is_closing
        self._arrived = trio.current_time()
        self.request_id: str | None = None
        self.begun = False

    def report_sends(
        self, sent_to: t.Sequence[str], avoided: t.Collection[str]
    ) -> None:
        """Tell another node what these contain when the response begins."""
        self._sent_to = sent_to
        self._avoided = avoided

    async def announce_sends(self) -> None:
        """Tell another node what they contain before the response begins."""
        if self.begun:
            return
        # A closed connection ends the request by itself.
        with contextlib.suppress(CallerDisconnected):
            await self._connection.send_interim(PROCESSING, [self._make_handover()])

    async def start(self, status: int, headers: t.Iterable[t.Any]) -> None:
        """Send the head of a streamed response."""
        self.begun = True
        await self._connection.send_head(status, self._build_headers(headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self._connection.send_body(data)

    async def end(self) -> None:
        """Mark the response as complete."""
        await self._connection.send_end()

    async def send_whole(
        self, status: int, headers: t.Iterable[t.Any], body: bytes
    ) -> None:
        """Send a complete response.

        Sending lasts until the request's deadline if the caller goes on taking bytes.
        Within `SEND_TIMEOUT` of the deadline or past it, it is shielded and has that
        long: upstreams respond with 504 just when the deadline expires, and that
        response would be lost for no reason.

        Raises
        ------
        ResponseNotTaken
            If the caller takes no byte for `SEND_TIMEOUT` seconds, or not all in time.
        """
        self.begun = True
        framed = self._build_headers(headers)
        framed.append((b"Content-Length", str(len(body)).encode()))
        end = trio.current_effective_deadline() - DEADLINE_MARGIN
        timeout_at = trio.current_time() + SEND_TIMEOUT
        is_late = end <= timeout_at
        scope = trio.CancelScope(deadline=timeout_at, shield=is_late)

        def extend() -> None:
            if not is_late:
                scope.deadline = min(end, trio.current_time() + SEND_TIMEOUT)

        self._connection.on_progress = extend
        with scope:
            await self._connection.send_whole(status, framed, body)
        if scope.cancelled_caught:
            took = trio.current_time() - self._arrived
            raise ResponseNotTaken(self.request_id, round(took, 3))

    async def send_problem(self, request_id: str, problem: Problem) -> None:
        """Send an error response on behalf of the router itself."""
        headers: Headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Attempt-Id", request_id.encode("latin-1")))
        if self._node and problem.run_state is RunState.NOT_RUN:
            headers.append(NOT_RUN_HEADER)
        if problem.retry_after is not None:
            headers.append((b"Retry-After", f"{problem.retry_after:g}".encode()))
        error = {
            "type": problem.kind,
            "message": problem.message,
            "run": problem.run_state.value,
        }
        body = orjson.dumps({"error": error})
        await self.send_whole(problem.status, headers, body)

    def _build_headers(self, headers: t.Iterable[t.Any]) -> Headers:
        framed = list(headers)
        if self._is_closing():
            framed.append(CLOSE_HEADER)
        if self._node:
            framed.append(self._make_handover())
        return framed

    def _make_handover(self) -> tuple[bytes, bytes]:
        avoided = tuple(sorted(self._avoided))
        report = Handover(self._node, tuple(self._sent_to), avoided)
        return (b"Router-Handover", encode_handover(report))


class Ingress:
    """Accepts callers' connections and serves their requests.

    Parameters
    ----------
    node : str
        Name of this node.
    gate : IntakeGate
        Decides which connections are kept.
    max_fields : int
        Most fields of a request's head.

    Attributes
    ----------
    active : int
        Number of requests in progress.
    active_for_peers : int
        Those of them that other nodes passed on.
    """

    def __init__(
        self,
        node: str,
        relay: Relay,
        get_limits: t.Callable[[], CallerLimits],
        log: t.Callable[..., None],
        gate: IntakeGate,
        max_fields: int = MAX_FIELDS,
    ) -> None:
        self._node = node
        self._gate = gate
        self._max_fields = max_fields
        self._relay = relay
        self._get_limits = get_limits
        self._log = log
        self._drain = Drain(BALANCER_LAG)
        self._idle: dict[trio.CancelScope, tuple[ServerConnection, float]] = {}
        self.active = 0
        self.active_for_peers = 0

    async def run(
        self,
        address: str,
        for_peers: bool = False,
        listener: socket.socket | None = None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Parameters
        ----------
        for_peers : bool
            Whether other nodes connect to this address, and not callers.
        listener : socket.socket or None
            Socket that listens at the address already.
        """
        if listener is not None:
            own = trio.socket.from_stdlib_socket(listener)
            listeners = [trio.SocketListener(own)]
        else:
            host, _, port = address.rpartition(":")
            listeners = await trio.open_tcp_listeners(
                int(port), host=host, backlog=BACKLOG
            )
        task_status.started()
        serve = functools.partial(self._serve_connection, for_peer=for_peers)
        await trio.serve_listeners(serve, listeners)

    def stop(self) -> None:
        """Begin a planned stop: connections close after their next response."""
        self._drain.begin(trio.current_time())

    def close_idle(self) -> None:
        """Close connections that have been idle for `DRAIN_IDLE_TIMEOUT` seconds."""
        now = trio.current_time()
        for scope, (connection, since) in list(self._idle.items()):
            if not connection.has_begun and now - since >= DRAIN_IDLE_TIMEOUT:
                scope.cancel()

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._drain.begun

    async def _serve_connection(
        self, stream: trio.SocketStream, for_peer: bool
    ) -> None:
        try:
            configure_socket(stream.socket)
            client = stream.socket.getpeername()[0]
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        ticket = self._gate.open(client, stream.socket.close)
        if ticket is None:
            await trio.aclose_forcefully(stream)
            return
        connection = ServerConnection(
            stream, self._get_limits, ticket, self._max_fields
        )
        try:
            while await self._serve_request(connection, for_peer):
                pass
        except ResponseNotTaken as error:
            self._log(
                "broken_off", error.request_id, reason=str(error), took=error.took
            )
        except (ResponseAborted, CallerDisconnected):
            pass  # logged before; the caller sees the connection close
        except Exception as error:  # a faulty connection must not stop the node
            self._log("connection_failed", None, reason=repr(error))
        finally:
            await connection.close()

    async def _serve_request(
        self, connection: ServerConnection, for_peer: bool
    ) -> bool:
        received: ReceivedRequest | UnreadableRequest | None = None
        with trio.CancelScope() as scope:
            self._idle[scope] = (connection, trio.current_time())
            try:
                received = await connection.read_request()
            finally:
                del self._idle[scope]
        if received is None:
            return False
        node = self._node if for_peer else ""
        reply = CallerReply(connection, lambda: self.is_stopping, node)
        if isinstance(received, UnreadableRequest):
            self._log(
                "unacceptable", None, status=received.status, reason=received.detail
            )
            headers: Headers = [CLOSE_HEADER]
            if received.status == 503:
                headers.append(RETRY_HEADER)
                if for_peer:
                    headers.append(NOT_RUN_HEADER)
            body = orjson.dumps({"error": {"message": received.detail}})
            await reply.send_whole(received.status, headers, body)
            return False
        reply.request_id = find_request_id(received) or None
        self.active += 1
        self.active_for_peers += for_peer
        try:
            await self._handle_request(connection, reply, received, for_peer)
        except (ResponseAborted, CallerDisconnected):
            raise
        except Exception as error:  # a faulty request must not stop the node
            await self._report_fault(reply, error)
        finally:
            self.active -= 1
            self.active_for_peers -= for_peer
        return connection.start_next()

    async def _handle_request(
        self,
        connection: ServerConnection,
        reply: CallerReply,
        received: ReceivedRequest,
        for_peer: bool,
    ) -> None:
        handover = None
        if for_peer:
            try:
                handover = find_handover(received)
            except HandoverError as error:
                self._log("unacceptable", None, status=400, reason=str(error))
                body = orjson.dumps({"error": {"message": str(error)}})
                await reply.send_whole(400, [NOT_RUN_HEADER], body)
                return
        request = decode_request(received, trio.current_time())
        if request is None:
            body = orjson.dumps({"error": {"message": "the request has no id"}})
            await reply.send_whole(400, [], body)
            return
        if self._drain.is_closed(request.arrived):
            stopping = self._relay.refuse(request, self._drain.refuse())
            await reply.send_problem(request.request_id, stopping)
            return
        if self.active_for_peers > MAX_ACTIVE_FOR_PEERS and for_peer:
            full = Overloaded("this node runs too much for others", retry_after=1.0)
            await reply.send_problem(
                request.request_id, self._relay.refuse(request, full)
            )
            return
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, connection, request, nursery.cancel_scope
            )
            # Raised within the nursery, it would be wrapped in an exception group.
            try:
                problem = await self._relay.serve(request, reply, handover)
                if problem is not None:
                    await reply.send_problem(request.request_id, problem)
            except Exception as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _report_fault(self, reply: CallerReply, error: Exception) -> None:
        """Log an unexpected exception and answer without its details."""
        self._log("request_failed", reply.request_id, reason=repr(error))
        if reply.begun:
            raise ResponseAborted(repr(error)) from error
        fault = Problem("the node erred; look up the outcome", RunState.UNKNOWN)
        self._log(
            "refused",
            reply.request_id,
            status=fault.status,
            reason=fault.message,
            run=fault.run_state.value,
        )
        await reply.send_problem(reply.request_id or "", fault)

    async def _cancel_on_disconnect(
        self,
        connection: ServerConnection,
        request: ForwardedRequest,
        scope: trio.CancelScope,
    ) -> None:
        """Cancel a request when its caller disconnects."""
        await connection.wait_disconnected()
        held = round(trio.current_time() - request.arrived, 3)
        self._log("caller_gone", request.request_id, held=held)
        scope.cancel()


def _parse_shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of ``ID:TOKENS,...`` without the last, which is not shared."""
    ids = []
    for entry in value.decode("latin-1").split(",")[:-1][:MAX_PROMPT_PARTS]:
        ids.append(entry.partition(":")[0].strip().lower()[:MAX_PART_ID_LENGTH])
    return tuple(ids)


def _parse_count(value: bytes | None) -> int | None:
    """Return a header's number, at most `MAX_COUNT`; None without a number."""
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    if len(digits) > len(str(MAX_COUNT)):
        return MAX_COUNT  # int() refuses thousands of digits
    return min(MAX_COUNT, int(digits))
