"""Factory of HTTP clients for the platform's store, upstreams and peers."""

import typing as t
from dataclasses import dataclass

import httpx
import trio

SocketOption: t.TypeAlias = tuple[int, int, int]

# Timeouts of one phase that a whole call may take: to connect, and for the answer.
TIMEOUTS_PER_CALL = 2


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """A response that was read to its end."""

    status_code: int
    content: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


def make_client(
    timeout: float,
    connections: int,
    idle_connections: int,
    base_url: str = "",
    socket_options: t.Sequence[SocketOption] = (),
) -> httpx.AsyncClient:
    """Return a client for plain HTTP, without TLS or proxies.

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
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout,
        transport=transport,
        trust_env=False,
        headers={"Accept-Encoding": "identity"},  # sizes are bounded as received
    )


async def fetch_whole(
    client: httpx.AsyncClient,
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
        If there is no response, or it is too long or takes too long.
    """
    try:
        request = client.build_request(method, url, timeout=timeout, **options)
    except httpx.InvalidURL as error:  # not an HTTPError
        raise httpx.UnsupportedProtocol(f"{url}: {error}") from error
    content = bytearray()
    with trio.move_on_after(TIMEOUTS_PER_CALL * timeout):
        response = await client.send(request, stream=True)
        try:
            async for data in response.aiter_raw():
                content += data
                if len(content) > max_bytes:
                    raise httpx.ReadError(f"a body of over {max_bytes} bytes")
                # Bytes at hand are returned without one.
                await trio.lowlevel.checkpoint()
            headers = tuple(response.headers.raw)
            return WholeResponse(response.status_code, bytes(content), headers)
        finally:
            await response.aclose()
    raise httpx.ReadTimeout(f"not complete in {TIMEOUTS_PER_CALL * timeout} s")
