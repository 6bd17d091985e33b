"""HTTP client of upstreams: forwards requests, fetches reports and sends orders."""

import typing as t

import httpx
import orjson
import trio

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.forwarded_request import (
    Accepted,
    Headers,
    InvalidResponse,
    Rejected,
    UpstreamResponse,
)
from tarragonrudder.core.forwarding.peer_table import NAME_PREFIX
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.edges.connection import (
    ClientConnection,
    ConnectFailed,
    ResponseHead,
    open_connection,
)
from tarragonrudder.edges.job import LogFunction
from tarragonrudder.edges.relay_interfaces import (
    DetourOutcome,
    Dispatch,
    Handover,
    StallReport,
)
from tarragonrudder.edges.whole_response import is_defined_status
from tarragonrudder.platform import protocol
from tarragonrudder.platform.backpressure import BackpressureDecoder, decode_number
from tarragonrudder.platform.handover import (
    HandoverError,
    decode_handover,
    encode_handover,
)
from tarragonrudder.platform.http_client import (
    WholeResponse,
    fetch_whole,
    make_client,
)

# Seconds for which an idle connection is kept, unless the upstream states a shorter
# time. Below the shortest idle timeout known of any upstream.
IDLE_TIMEOUT = 4.0
# Fraction of the idle timeout stated by an upstream for which a connection is reused:
# a new request must not race with the upstream closing the connection.
KEEP_ALIVE_FRACTION = 0.6
MAX_IDLE_PER_UPSTREAM = 16  # idle connections kept per upstream
MAX_CONNECTIONS = 64  # for concurrent reports and orders to different engines
MAX_IDLE_CONNECTIONS = 8
MAX_REPORT_BYTES = 1 << 20  # of a report, or of the answer to an order
REPORT_TIMEOUT = 0.15  # seconds; reports don't wait for a slot of the engine
# Seconds; a slower detour would come too late for the caller.
DETOUR_TIMEOUT = 0.25
ORDER_TIMEOUT = 1.0  # seconds; a slower order counts as lost
# Statuses that promise that the request was not run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)

MISDIRECTED = 421
MAX_PRIORITY = 9  # the least urgent one that an upstream knows
# Called with an upstream, the status and headers of its answer, and whether these are
# complete: what they don't name holds no more.
HeadObserver: t.TypeAlias = t.Callable[
    [Registration, int, t.Iterable[tuple[bytes, bytes]], bool], None
]

# Headers that apply to a single connection, and Content-Length, which the router sets.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


def filter_headers(
    headers: t.Iterable[tuple[bytes, bytes]], dropped: t.Container[bytes] = ()
) -> Headers:
    """Return the end-to-end headers, without hop-by-hop and `dropped` ones.

    Parameters
    ----------
    dropped : container of bytes
        Lower-case names of further headers to leave out.
    """
    listed: set[bytes] = set()
    headers = list(headers)
    for name, value in headers:
        if name.lower() == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    kept = []
    for name, value in headers:
        low = name.lower()
        if low in HOP_BY_HOP_HEADERS or low in listed or low in dropped:
            continue
        kept.append((name, value))
    return tuple(kept)


def format_path(hops: t.Iterable[Hop]) -> bytes:
    """Format a path as a header value ``ADDRESS=FIRST-END,...``; ends are exclusive."""
    parts = []
    for hop in hops:
        parts.append(f"{hop.address}={hop.layers.first}-{hop.layers.last + 1}")
    return ",".join(parts).encode()


def classify_response(head: ResponseHead, request_id: bytes) -> UpstreamResponse:
    """Classify a response as accepted, rejected before execution, or invalid.

    A rejection may come without the request's id. On a kept connection such a one may
    be an earlier request's, so requests that must not run twice get new connections.
    """
    if not is_defined_status(head.status):
        return InvalidResponse(f"status {head.status} is not defined by HTTP")
    echoed = head.find(protocol.REQUEST_ID)
    if echoed not in (None, request_id):
        return InvalidResponse("the answer belongs to another request")
    not_run = head.find(protocol.NOT_EXECUTED) is not None
    if head.status == 421 or (not_run and head.status in (400, 429, 503)):
        culprit = head.find(protocol.CULPRIT)
        address = culprit.decode("latin-1") if culprit is not None else None
        return Rejected(address, head.status == 421)
    if echoed is None:
        return InvalidResponse("the answer names no request")
    signed = head.find(protocol.SIGNATURE) is not None
    if not signed:
        return InvalidResponse(f"status {head.status} without a signature")
    if head.status in NOT_EXECUTED_STATUSES:
        # Forwarded, this status would promise that the request has not run.
        return InvalidResponse(f"status {head.status} of a request that has run")
    success = 200 <= head.status < 300
    headers = filter_headers(head.headers, (protocol.HANDOVER,))
    return Accepted(head.status, success, headers)


def classify_peer_response(head: ResponseHead, request_id: bytes) -> UpstreamResponse:
    """Classify another node's response, which may be an upstream's or its own."""
    is_own = head.find(protocol.SIGNATURE) is None
    if not is_own or not is_defined_status(head.status):
        return classify_response(head, request_id)
    if head.find(protocol.NOT_EXECUTED) is None:
        return InvalidResponse(f"status {head.status} of another node")
    if head.find(protocol.REQUEST_ID) not in (None, request_id):
        return InvalidResponse("the answer belongs to another request")
    after = decode_number(head.find(protocol.RETRY_AFTER) or b"")
    return Rejected(None, False, after or 0.0)


class PlatformAttempt:
    """One attempt to run a request, over one connection."""

    def __init__(
        self,
        pool: "ConnectionPool",
        connection: ClientConnection,
        dispatch: Dispatch,
        node: str,
        observe_head: HeadObserver,
        log: LogFunction,
    ) -> None:
        self.report: Handover | None = None
        self._log = log
        self._node = node
        self._pool = pool
        self._observe_head = observe_head
        self._connection: ClientConnection | None = connection
        self._dispatch = dispatch
        self._idle_timeout = IDLE_TIMEOUT
        self._request_id = dispatch.request.request_id.encode("latin-1")

    async def send(self) -> None:
        """Send the request."""
        request = self._dispatch.request
        headers = list(request.headers)
        headers.append((b"Host", request.host.encode("latin-1")))
        headers.append((b"Attempt-Id", self._request_id))
        time_left_ms = max(1, int(self._dispatch.time_left * 1000))
        headers.append((b"Deadline-Ms", str(time_left_ms).encode()))
        if self._dispatch.upstream.is_peer:
            headers.extend(self._list_peer_headers())
        else:
            headers.extend(self._list_upstream_headers())
        if self._dispatch.last_event is not None:
            last = str(self._dispatch.last_event).encode()
            headers.append((b"Last-Event-Id", last))
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        await self._require_connection().send(
            request.method, request.target, headers, request.body
        )

    def _list_upstream_headers(self) -> list[tuple[bytes, bytes]]:
        dispatch = self._dispatch
        headers = [(b"Expect-Instance", dispatch.upstream.name.encode("latin-1"))]
        if dispatch.account:
            headers.append((b"Tenant", dispatch.account.encode("latin-1")))
        if dispatch.urgency is not None:
            priority = min(MAX_PRIORITY, max(0, dispatch.urgency))
            headers.append((b"Request-Priority", str(priority).encode()))
        if dispatch.hops:
            headers.append((b"Hop-Count", format_path(dispatch.hops)))
        return headers

    def _list_peer_headers(self) -> list[tuple[bytes, bytes]]:
        dispatch = self._dispatch
        handover = Handover(
            self._node, dispatch.sent_to, dispatch.avoided, dispatch.may_repeat
        )
        headers = [(b"Router-Handover", encode_handover(handover))]
        key = dispatch.request.api_key
        if key is not None:
            headers.append((b"Authorization", f"Bearer {key}".encode("latin-1")))
        return headers

    async def read_response(self) -> UpstreamResponse:
        """Read the response head and classify it."""
        if self._dispatch.upstream.is_peer:
            head = await self._require_connection().read_head(self._record_report)
            self._record_report(head)
        else:
            head = await self._require_connection().read_head()
        self._idle_timeout = _read_idle_timeout(head)
        if self._dispatch.upstream.is_peer:
            return classify_peer_response(head, self._request_id)
        if head.status != MISDIRECTED:  # from whoever has the address now
            self._observe_head(self._dispatch.upstream, head.status, head.headers, True)
        return classify_response(head, self._request_id)

    def _record_report(self, head: ResponseHead) -> None:
        """Keep what the other node tells; a build before this one tells nothing."""
        value = head.find(protocol.HANDOVER)
        if value is None:
            return
        try:
            report = decode_handover(value)
        except HandoverError as error:
            self._log(
                "handover_invalid",
                self._dispatch.request.request_id,
                peer=self._dispatch.upstream.name,
                reason=str(error),
            )
            return
        # Such a build also passes on a header of that name that an upstream has set.
        if NAME_PREFIX + report.node == self._dispatch.upstream.name:
            self.report = report

    async def read_body(self) -> bytes | None:
        """Return the next part of the response body, None at its end."""
        return await self._require_connection().read_body()

    def finish(self) -> None:
        """Return the connection to the pool, if it can be reused."""
        connection = self._connection
        if connection is not None and connection.is_reusable:
            self._connection = None
            self._pool.release(connection, self._idle_timeout)

    def abort(self) -> None:
        """Close the connection, unless it was returned to the pool."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _require_connection(self) -> ClientConnection:
        if self._connection is None:
            raise RuntimeError("the attempt has already ended")
        return self._connection


class ConnectionPool:
    """Pool of idle keep-alive connections to upstreams."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}

    def release(self, connection: ClientConnection, timeout: float) -> None:
        """Add an idle connection, to be kept for at most `timeout` seconds."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.start_next()
        connection.idle_since = trio.current_time()
        connection.idle_timeout = timeout
        idle.append(connection)

    def acquire(self, address: str) -> ClientConnection | None:
        """Remove and return the newest connection that is still open, or None."""
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            unexpired = now - connection.idle_since < connection.idle_timeout
            if unexpired and connection.is_still_idle():
                return connection
            connection.close()
        return None

    def close_expired(self) -> None:
        """Close connections whose idle timeout has expired."""
        now = trio.current_time()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if now - connection.idle_since < connection.idle_timeout:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


class PlatformUpstreamClient:
    """HTTP client for all upstreams.

    Parameters
    ----------
    node : str
        Name of this node, for other nodes to which it passes requests on.
    observe_backpressure : callable
        Called with each upstream that answers, what its answer asks for, and the time.
    """

    def __init__(
        self,
        node: str,
        observe_backpressure: t.Callable[[Registration, Backpressure, float], None],
        log: LogFunction,
    ) -> None:
        self._node = node
        self._observe_backpressure = observe_backpressure
        self._log = log
        self._decoder = BackpressureDecoder(log)
        self._pool = ConnectionPool()
        self._client = make_client(
            REPORT_TIMEOUT, MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS
        )

    async def open(self, dispatch: Dispatch) -> PlatformAttempt:
        """Connect to an upstream, or reuse a pooled connection unless `fresh` is set.

        Raises
        ------
        ConnectFailed
            If no connection can be made; nothing was sent then.
        """
        address = dispatch.upstream.address
        connection = None if dispatch.fresh else self._pool.acquire(address)
        if connection is None:
            connection = await open_connection(address)
        return PlatformAttempt(
            self._pool, connection, dispatch, self._node, self._observe_head, self._log
        )

    async def is_reachable(self, upstream: Registration) -> bool:
        """Tell whether a new connection to an upstream can be made."""
        try:
            connection = await open_connection(upstream.address)
        except ConnectFailed:
            return False
        connection.close()
        return True

    async def fetch_report(self, upstream: Registration) -> StallReport | None:
        """Fetch an engine's report; return None if that fails."""
        url = f"http://{upstream.address}{protocol.REPORT_PATH}"
        try:
            response = await fetch_whole(
                self._client, "GET", url, REPORT_TIMEOUT, MAX_REPORT_BYTES
            )
            self._observe_head(upstream, response.status_code, response.headers, False)
            found = orjson.loads(response.content)
            stalled = found.get("stalled") or ()
            return StallReport(tuple(str(item["address"]) for item in stalled))
        except (httpx.HTTPError, ValueError, KeyError, TypeError, AttributeError):
            return None

    async def order_placement(
        self, upstream: Registration, layers: LayerRange, fencing_token: int
    ) -> str:
        """Order an engine to load layers.

        Parameters
        ----------
        fencing_token : int
            Fencing token; engines reject orders with an older one.

        Returns
        -------
        str
            ``begun``, ``done``, ``conflict``, ``fenced`` (the token is outdated),
            ``refused``, ``unreachable`` (nothing was sent) or ``lost`` (no response, so
            it may have been carried out).
        """
        body = {
            "operation": "place",
            "from": layers.first,
            "target": layers.last + 1,
            "mode": "queue",
            "fence": fencing_token,
        }
        try:
            response = await self._post_order(upstream, body, ORDER_TIMEOUT)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return "unreachable"
        except httpx.HTTPError:
            return "lost"
        outcomes = {202: "begun", 200: "done", 409: "conflict", 412: "fenced"}
        return outcomes.get(response.status_code, "refused")

    async def request_detour(
        self, upstream: Registration, request: str, hops: tuple[Hop, ...]
    ) -> DetourOutcome:
        """Order the first stage of a running request to replace the later stages.

        Returns
        -------
        DetourOutcome
            Names the stage that is missing or full, if the order was refused for it.
        """
        body = {
            "operation": "repath",
            "id": request,
            "path": format_path(hops).decode(),
        }
        try:
            response = await self._post_order(upstream, body, DETOUR_TIMEOUT)
            if response.status_code == 409:
                return DetourOutcome(
                    False, str(orjson.loads(response.content)["address"])
                )
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return DetourOutcome(False)
        return DetourOutcome(response.status_code in (200, 202))

    async def _post_order(
        self, upstream: Registration, body: dict[str, t.Any], timeout: float
    ) -> WholeResponse:
        url = f"http://{upstream.address}{protocol.ORDER_PATH}"
        headers = {"Expect-Instance": upstream.name}
        response = await fetch_whole(
            self._client,
            "POST",
            url,
            timeout,
            MAX_REPORT_BYTES,
            json=body,
            headers=headers,
        )
        if response.status_code != MISDIRECTED:
            self._observe_head(upstream, response.status_code, response.headers, False)
        return response

    def _observe_head(
        self,
        upstream: Registration,
        status: int,
        headers: t.Iterable[tuple[bytes, bytes]],
        complete: bool,
    ) -> None:
        backpressure = self._decoder.decode(upstream.name, status, headers, complete)
        self._observe_backpressure(upstream, backpressure, trio.current_time())

    def close_expired(self) -> None:
        """Close pooled connections whose idle timeout has expired."""
        self._pool.close_expired()

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        await self._client.aclose()


def _read_idle_timeout(head: ResponseHead) -> float:
    value = head.find(b"keep-alive") or b""
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.strip().lower() == b"timeout" and number.strip().isdigit():
            # Unlike int(), float() takes any number of digits.
            return min(IDLE_TIMEOUT, KEEP_ALIVE_FRACTION * float(number))
    return IDLE_TIMEOUT
