"""Factory of HTTP clients for the platform's store, upstreams and peers."""

import typing as t
from dataclasses import dataclass

import httpx
import trio

from tarragonrudder.edges.whole_response import (
    PLAIN_ENCODING,
    TIMEOUTS_PER_CALL,
    read_body,
    require_defined_status,
)

SocketOption: t.TypeAlias = tuple[int, int, int]

HEADERS = {"Accept-Encoding": PLAIN_ENCODING}
NO_HEADERS: t.Mapping[str, str] = {}


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """A response that was read to its end."""

    status_code: int
    content: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class HttpClient:
    """Connections for plain HTTP, without TLS, proxies, cookies or redirects.

    Load pattern: a node calls its peers and the store many times a second, and each
    call of a complete client costs a quarter more than what is needed here.

    Parameters
    ----------
    transport : httpx.AsyncBaseTransport
        Sends the requests.
    timeout : float
        Default timeout in seconds for each phase of a request.
    base_url : str
        Start of the URLs of all requests.
    """

    def __init__(
        self, transport: httpx.AsyncBaseTransport, timeout: float, base_url: str = ""
    ) -> None:
        self._transport = transport
        self._timeout = timeout
        self._base_url = base_url

    async def send(
        self,
        method: str,
        url: str,
        timeout: float | None = None,
        headers: t.Mapping[str, str] = NO_HEADERS,
        **options: t.Any,
    ) -> httpx.Response:
        """Send a request; the response's stream must be read and closed.

        Raises
        ------
        httpx.HTTPError
            If there is no response, or `url` is invalid.
        """
        if timeout is None:
            timeout = self._timeout
        phases = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        try:
            request = httpx.Request(
                method,
                self._base_url + url,
                headers={**HEADERS, **headers},
                extensions={"timeout": phases},
                **options,
            )
        except httpx.InvalidURL as error:  # not an HTTPError
            raise httpx.UnsupportedProtocol(f"{url}: {error}") from error
        return await self._transport.handle_async_request(request)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()


def make_client(
    timeout: float,
    connections: int,
    idle_connections: int,
    base_url: str = "",
    socket_options: t.Sequence[SocketOption] = (),
) -> HttpClient:
    """Return a client.

    Parameters
    ----------
    timeout : float
        Default timeout in seconds for each phase of a request: connect, read,
        write and waiting for a free connection.
    connections, idle_connections : int
        Maximum numbers of open connections and of idle ones kept alive.
    """
    transport = httpx.AsyncHTTPTransport(
        verify=False,  # loading CA certificates would take 40 ms at each start
        trust_env=False,
        limits=httpx.Limits(
            max_connections=connections, max_keepalive_connections=idle_connections
        ),
        socket_options=socket_options,
    )
    return HttpClient(transport, timeout, base_url)


async def fetch_whole(
    client: HttpClient,
    method: str,
    url: str,
    timeout: float,
    max_bytes: int,
    **options: t.Any,
) -> WholeResponse:
    """Send a request and read the whole response, in bounded time and memory.

    Parameters
    ----------
    timeout : float
        Timeout in seconds for each phase; the whole call may take
        `TIMEOUTS_PER_CALL` of them.
    max_bytes : int
        Maximum length of the body.

    Raises
    ------
    httpx.HTTPError
        If there is no response, it is too long or takes too long, or its status isn't
        defined.
    """
    with trio.move_on_after(TIMEOUTS_PER_CALL * timeout):
        response = await client.send(method, url, timeout=timeout, **options)
        try:
            require_defined_status(response.status_code)
            content = await read_body(response.aiter_raw(), max_bytes)
            headers = tuple(response.headers.raw)
            return WholeResponse(response.status_code, content, headers)
        finally:
            await response.aclose()
    raise httpx.ReadTimeout(f"not complete in {TIMEOUTS_PER_CALL * timeout} s")
