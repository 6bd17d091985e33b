"""Callers' connections: requests decoded, answers and refusals sent."""

import hashlib
import typing as t

import orjson
import trio

from tarragonrudder.core.domain.forwarded_request import ForwardedRequest
from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.core.node.drain import Drain
from tarragonrudder.edges.connection import (
    CallerDisconnected,
    Headers,
    MalformedRequest,
    ReceivedRequest,
    ServerConnection,
    configure_socket,
)
from tarragonrudder.edges.relay import Relay, ResponseAborted
from tarragonrudder.errors import Problem
from tarragonrudder.platform import names
from tarragonrudder.platform.exchange import filter_headers

# Set anew for the upstream, or not meant for it.
REPLACED = frozenset(
    (
        b"host",
        names.REQUEST_ID,
        names.DEADLINE,
        names.AUTHORIZATION,
        names.TENANT,
        names.EXPECTED_INSTANCE,
        names.PATH,
        names.PRIORITY,
        names.LAST_EVENT,
    )
)
CLOSE = (b"Connection", b"close")
BACKLOG = 512  # connections that wait to be accepted in a burst
# Seconds after a planned stop began in which requests are still taken, and idle
# connections kept: the balancer notices a stop after two questions, a second
# apart. What comes later could be cut by the end of the process.
TAKING_AFTER_STOP = 2.5
# Seconds without a byte after which a connection is closed during a planned stop;
# a request follows its connection, or the answer before it, in less.
IDLE_BEFORE_CLOSE = 0.5
# Seconds in which a caller takes a whole answer, as long as it waits for a connection.
SEND_LIMIT = 1.0


def decode_request(received: ReceivedRequest, now: float) -> ForwardedRequest | None:
    """Return a caller's request, None without an id or a host."""
    found: dict[bytes, bytes] = {}
    for name, value in received.headers:
        found.setdefault(name.lower(), value)
    request_id = found.get(names.REQUEST_ID)
    if not request_id or b"host" not in found:
        return None
    patience = _read_number(found.get(names.DEADLINE))
    prompt, _, answer = found.get(names.TOKENS, b"").partition(b",")
    key = found.get(names.AUTHORIZATION, b"").decode("latin-1")
    scheme, _, secret = key.partition(" ")
    digest = hashlib.blake2b(digest_size=16)
    parts = (received.target.encode("latin-1"), found.get(names.AUTHORIZATION, b""))
    for part in (*parts, found.get(names.PREFIX, b""), received.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return ForwardedRequest(
        request_id=request_id.decode("latin-1"),
        method=received.method,
        host=found[b"host"].decode("latin-1"),
        target=received.target,
        api_key=secret.strip() if scheme.lower() == "bearer" else None,
        timeout=patience / 1000.0 if patience is not None else None,
        prompt_tokens=_read_number(prompt) or 0,
        max_tokens=_read_number(answer) or 0,
        hinted_tokens=_read_number(found.get(names.LENGTH_HINT)),
        last_event=_read_number(found.get(names.LAST_EVENT)),
        fingerprint=digest.hexdigest(),
        arrived=now,
        headers=filter_headers(received.headers, REPLACED),
        body=received.body,
    )


class CallerReply:
    """The answer to one request on a caller's connection."""

    def __init__(
        self, connection: ServerConnection, is_closing: t.Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self.begun = False

    async def start(self, status: int, headers: t.Iterable[t.Any]) -> None:
        """Send the head of an answer that follows in parts."""
        self.begun = True
        await self._connection.send_head(status, self._frame(headers))

    async def send(self, data: bytes) -> None:
        """Send a part."""
        await self._connection.send_body(data)

    async def end(self) -> None:
        """End the answer as whole."""
        await self._connection.send_end()

    async def send_whole(
        self, status: int, headers: t.Iterable[t.Any], body: bytes
    ) -> None:
        """Send a whole answer.

        It goes out even if its time limit comes meanwhile: upstreams answer 504
        at that very moment, and it would be cut for nothing.

        Raises
        ------
        BrokenOff
            If the caller does not take it.
        """
        self.begun = True
        framed = self._frame(headers)
        framed.append((b"Content-Length", str(len(body)).encode()))
        with trio.move_on_after(SEND_LIMIT, shield=True) as scope:
            await self._connection.send_whole(status, framed, body)
        if scope.cancelled_caught:
            raise ResponseAborted("the caller does not take its answer")

    async def refuse(self, request_id: str, problem: Problem) -> None:
        """Send an error of the router's own."""
        headers: Headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Attempt-Id", request_id.encode("latin-1")))
        if problem.retry_after is not None:
            headers.append((b"Retry-After", f"{problem.retry_after:g}".encode()))
        error = {
            "type": problem.kind,
            "message": problem.message,
            "run": problem.run_state.value,
        }
        body = orjson.dumps({"error": error})
        await self.send_whole(problem.status, headers, body)

    def _frame(self, headers: t.Iterable[t.Any]) -> Headers:
        framed = list(headers)
        if self._is_closing():
            framed.append(CLOSE)
        return framed


class Ingress:
    """Accepts callers' connections and serves their requests."""

    def __init__(
        self,
        relay: Relay,
        find_limits: t.Callable[[], CallerLimits],
        log: t.Callable[..., None],
    ) -> None:
        self._relay = relay
        self._find_limits = find_limits
        self._log = log
        self._drain = Drain(TAKING_AFTER_STOP)
        self._idle: dict[trio.CancelScope, tuple[ServerConnection, float]] = {}
        self.active = 0

    async def run(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def stop(self) -> None:
        """Begin a planned stop: connections close after their next answer."""
        self._drain.begin(trio.current_time())

    def close_idle(self) -> None:
        """Close the connections on which nothing has come for a while."""
        now = trio.current_time()
        for scope, (connection, since) in list(self._idle.items()):
            if not connection.has_begun and now - since >= IDLE_BEFORE_CLOSE:
                scope.cancel()

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._drain.begun

    async def _serve(self, stream: trio.SocketStream) -> None:
        limits = self._find_limits()
        try:
            configure_socket(stream.socket)
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        connection = ServerConnection(stream, limits.header_bytes)
        try:
            while await self._serve_next(connection, limits):
                pass
        except (ResponseAborted, CallerDisconnected):
            pass  # the caller sees the connection close; the relay logged why
        except Exception as error:  # one connection must not end the node
            self._log("connection_failed", None, reason=repr(error))
        finally:
            await connection.close()

    async def _serve_next(
        self, connection: ServerConnection, limits: CallerLimits
    ) -> bool:
        received: ReceivedRequest | MalformedRequest | None = None
        with trio.CancelScope() as scope:
            self._idle[scope] = (connection, trio.current_time())
            try:
                received = await connection.read_request(
                    limits.idle_timeout, limits.header_timeout, limits.body_bytes
                )
            finally:
                del self._idle[scope]
        if received is None:
            return False
        reply = CallerReply(connection, lambda: self.is_stopping)
        if isinstance(received, MalformedRequest):
            self._log(
                "unacceptable", None, status=received.status, reason=received.detail
            )
            body = orjson.dumps({"error": {"message": received.detail}})
            await reply.send_whole(received.status, [CLOSE], body)
            return False
        self.active += 1
        try:
            await self._answer(connection, reply, received)
        finally:
            self.active -= 1
        return connection.start_next()

    async def _answer(
        self,
        connection: ServerConnection,
        reply: CallerReply,
        received: ReceivedRequest,
    ) -> None:
        request = decode_request(received, trio.current_time())
        if request is None:
            body = orjson.dumps({"error": {"message": "the request has no id"}})
            await reply.send_whole(400, [], body)
            return
        if self._drain.is_closed(request.arrived):
            stopping = self._relay.refuse(request, self._drain.refuse())
            await reply.refuse(request.request_id, stopping)
            return
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, connection, request, nursery.cancel_scope)
            # Raised inside, it would come out of the nursery in a group.
            try:
                problem = await self._relay.serve(request, reply)
                if problem is not None:
                    await reply.refuse(request.request_id, problem)
            except (ResponseAborted, CallerDisconnected) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _watch(
        self,
        connection: ServerConnection,
        request: ForwardedRequest,
        scope: trio.CancelScope,
    ) -> None:
        """Give a request up once its caller is gone."""
        await connection.wait_disconnected()
        held = round(trio.current_time() - request.arrived, 3)
        self._log("caller_gone", request.request_id, held=held)
        scope.cancel()


def _read_number(value: bytes | None) -> int | None:
    if value is None:
        return None
    text = value.strip()
    return int(text) if text.isdigit() else None
