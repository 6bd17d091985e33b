"""Factory of HTTP clients for the platform's store, upstreams and peers."""

import typing as t

import httpx

SocketOption: t.TypeAlias = tuple[int, int, int]


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
        base_url=base_url, timeout=timeout, transport=transport, trust_env=False
    )
