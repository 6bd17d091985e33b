"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import time
import typing as t
from dataclasses import dataclass, field

READ_BYTES = 65536


@dataclass
class Request:
    """A request that was read whole; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass
class Response:
    """A response; it has a length unless it is sent in parts.

    Attributes
    ----------
    parts : asynchronous iterator of bytes or None
        Parts of a chunked body, instead of `body`.
    abort : bool
        Close the connection without a response.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    parts: t.AsyncIterator[bytes] | None = None
    abort: bool = False


Handler: t.TypeAlias = t.Callable[[Request], t.Awaitable[Response]]


@dataclass
class Answer:
    """What a client got.

    Attributes
    ----------
    status : int
        0 without a response.
    whole : bool
        Whether the body was complete.
    error : str
        Why the response is missing or cut off.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""
    took: float = 0.0


async def start_server(
    handler: Handler, host: str, port: int = 0
) -> tuple[asyncio.Server, str]:
    """Serve requests; return the server and its ``HOST:PORT``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                response = await handler(request)
                if response.abort:
                    break
                await _send_response(writer, response)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port, backlog=512)
    found = server.sockets[0].getsockname()
    return server, f"{found[0]}:{found[1]}"


async def ask(
    address: str,
    method: str,
    target: str,
    headers: t.Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Send a request on a new connection and return what came of it."""
    answer = Answer()
    begun = time.monotonic()
    try:
        async with asyncio.timeout(timeout):
            await _exchange(address, method, target, headers, body, answer)
    except TimeoutError:
        answer.error = "no complete response in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = repr(error)
    answer.took = time.monotonic() - begun
    return answer


async def _exchange(
    address: str,
    method: str,
    target: str,
    headers: t.Iterable[tuple[str, str]],
    body: bytes,
    answer: Answer,
) -> None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()
        status_line, answer.headers = await _read_head(reader)
        if not status_line:
            answer.error = "closed without a response"
            return
        answer.status = int(status_line.split()[1])
        async for part in _read_body(reader, answer.headers):
            answer.body += part
        answer.whole = True
    finally:
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line, headers = await _read_head(reader)
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers or "transfer-encoding" in headers:
        async for part in _read_body(reader, headers):
            body += part
    return Request(method, target, headers, body, time.monotonic())


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first = await reader.readline()
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: t.Mapping[str, str]
) -> t.AsyncIterator[bytes]:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        yield await reader.readexactly(int(headers.get("content-length", "0")))
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def _send_response(writer: asyncio.StreamWriter, response: Response) -> None:
    lines = [f"HTTP/1.1 {response.status} -"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.parts is None:
        lines.append(f"Content-Length: {len(response.body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + response.body)
        await writer.drain()
        return
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    async for part in response.parts:
        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
