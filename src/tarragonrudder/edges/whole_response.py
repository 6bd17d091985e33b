"""Responses that are read whole, in bounded time and memory."""

import typing as t

import httpx
import trio

# Timeouts of one phase that a whole call may take: to connect, and for the answer.
TIMEOUTS_PER_CALL = 2
# Sizes are bounded as received, so a body must not unfold afterwards.
PLAIN_ENCODING = "identity"
PLAIN_HEADERS = {"accept-encoding": PLAIN_ENCODING}

MIN_STATUS, MAX_STATUS = 100, 599  # others are not defined by HTTP


def is_defined_status(status: int) -> bool:
    """Tell whether HTTP defines the class of a status."""
    return MIN_STATUS <= status <= MAX_STATUS


def require_defined_status(status: int) -> None:
    """Raise ``httpx.RemoteProtocolError`` if HTTP doesn't define a status."""
    if not is_defined_status(status):
        raise httpx.RemoteProtocolError(f"status {status} is not defined by HTTP")


def require_plain_encoding(response: httpx.Response) -> None:
    """Raise ``httpx.DecodingError`` if a body has an encoding."""
    if response.headers.get("content-encoding", PLAIN_ENCODING) != PLAIN_ENCODING:
        raise httpx.DecodingError("a body in an encoding")


async def read_body(parts: t.AsyncIterator[bytes], max_bytes: int) -> bytes:
    """Return a response's body.

    Raises
    ------
    httpx.ReadError
        If it is longer than `max_bytes`.
    """
    content = bytearray()
    async for data in parts:
        content += data
        if len(content) > max_bytes:
            raise httpx.ReadError(f"a body of over {max_bytes} bytes")
        # Bytes at hand are returned without one.
        await trio.lowlevel.checkpoint()
    return bytes(content)


async def read_lines(
    parts: t.AsyncIterator[bytes], max_bytes: int
) -> t.AsyncGenerator[bytes, None]:
    """Yield the lines of a response's body, without what ends them.

    Raises
    ------
    httpx.ReadError
        If a line is longer than `max_bytes`.
    """
    pending = bytearray()
    async for data in parts:
        *lines, rest = data.split(b"\n")
        for line in lines:
            yield bytes(pending + line)
            pending.clear()
        pending += rest
        if len(pending) > max_bytes:
            raise httpx.ReadError(f"a line of over {max_bytes} bytes")
        await trio.lowlevel.checkpoint()
    if pending:
        yield bytes(pending)


async def fetch(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    timeout: float,
    max_bytes: int,
    headers: t.Mapping[str, str] | None = None,
    timeouts: httpx.Timeout | None = None,
    **options: t.Any,
) -> httpx.Response:
    """Send a request and read the whole response.

    Parameters
    ----------
    timeout : float
        Timeout in seconds to wait for each part; the whole call may take
        `TIMEOUTS_PER_CALL` of them.
    max_bytes : int
        Maximum length of the body.
    timeouts : httpx.Timeout or None
        Timeouts of the phases, if they differ.

    Raises
    ------
    httpx.HTTPError
        If there is no response, it is too long or takes too long, its body has an
        encoding, or its status isn't defined.
    """
    options["timeout"] = timeouts if timeouts is not None else timeout
    headers = {**PLAIN_HEADERS, **(headers or {})}
    with trio.move_on_after(TIMEOUTS_PER_CALL * timeout):
        async with client.stream(method, url, headers=headers, **options) as response:
            require_defined_status(response.status_code)
            require_plain_encoding(response)
            content = await read_body(response.aiter_bytes(), max_bytes)
            return httpx.Response(
                response.status_code,
                headers=response.headers,
                content=content,
                request=response.request,
            )
    raise httpx.ReadTimeout(f"not complete in {TIMEOUTS_PER_CALL * timeout} s")
