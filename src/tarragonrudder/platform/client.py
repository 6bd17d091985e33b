"""HTTP clients of the platform's store, upstreams and peers."""

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
    """Return a client that speaks plain HTTP.

    Parameters
    ----------
    timeout : float
        Seconds for each step of a call, unless the call says otherwise.
    connections, idle_connections : int
        Connections at once, and idle ones that are kept.
    """
    transport = httpx.AsyncHTTPTransport(
        verify=False,  # loading authorities takes 40 ms at each start
        trust_env=False,
        limits=httpx.Limits(
            max_connections=connections, max_keepalive_connections=idle_connections
        ),
        socket_options=socket_options,
    )
    return httpx.AsyncClient(
        base_url=base_url, timeout=timeout, transport=transport, trust_env=False
    )
