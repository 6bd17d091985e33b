"""Crowds of clients outside the limits: what each sends, and how it reads."""

import random
import socket
import struct
import typing as t
from dataclasses import dataclass

import trio

BODY_BYTES = 4 << 20  # the longest body that the limits allow
HEAD_BYTES = 16 << 10  # the longest head
CLIENTS_AT_ONCE = 100  # that connect and send at one moment
CLIENT_TIME = 8.0  # seconds after which a client gives up sending
TRICKLE_PAUSE = 0.25  # seconds between two bytes
TRICKLE_BYTES = 12
RESET = struct.pack("ii", 1, 0)
SMALL_BUFFER = 4096  # bytes of a slow reader's receive buffer
SHORT_FIELD = b"a:\r\n"

Pieces: t.TypeAlias = t.Iterator[bytes]


@dataclass(frozen=True, slots=True)
class Target:
    """Where a client sends to, and with which headers besides the common ones."""

    address: str
    method: str
    path: str
    headers: tuple[bytes, ...] = ()

    def make_head(self, *headers: bytes) -> bytes:
        """Return a head without its end."""
        line = f"{self.method} {self.path} HTTP/1.1\r\n".encode()
        fields = (b"Host: host.example", *self.headers, *headers)
        return line + b"".join(field + b"\r\n" for field in fields)


@dataclass(frozen=True)
class Crowd:
    """Clients that all do the same.

    Attributes
    ----------
    script : callable
        Returns the pieces that a client sends.
    pause : float
        Seconds between two pieces.
    reads : bool
        Whether it reads a byte after each piece, with a small buffer; others never
        read.
    resets : bool
        Whether it resets its connection in the end; others stay open.
    """

    name: str
    count: int
    script: t.Callable[[Target, random.Random], Pieces]
    pause: float = 0.0
    reads: bool = False
    resets: bool = False

    async def play(
        self, targets: t.Sequence[Target], streams: list[trio.SocketStream]
    ) -> None:
        """Have all clients send; their connections are put into `streams`."""
        limiter = trio.CapacityLimiter(CLIENTS_AT_ONCE)
        if self.pause:
            limiter = trio.CapacityLimiter(self.count)
        async with trio.open_nursery() as nursery:
            for number in range(self.count):
                source = random.Random(f"{self.name} {number}")
                target = targets[number % len(targets)]
                nursery.start_soon(self._play_one, target, source, streams, limiter)

    async def _play_one(
        self,
        target: Target,
        source: random.Random,
        streams: list[trio.SocketStream],
        limiter: trio.CapacityLimiter,
    ) -> None:
        host, _, port = target.address.rpartition(":")
        async with limiter:
            with trio.move_on_after(CLIENT_TIME):
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    return
                streams.append(stream)
                if self.reads:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
                try:
                    await self._send(stream, self.script(target, source))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if self.resets:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    stream.socket.close()

    async def _send(self, stream: trio.SocketStream, pieces: Pieces) -> None:
        for piece in pieces:
            await stream.send_all(piece)
            if self.reads:
                with trio.move_on_after(self.pause):
                    await stream.receive_some(1)
            if self.pause:
                await trio.sleep(self.pause)


def _end_short(target: Target, piece: int) -> Pieces:
    """Send a body of legal size, in pieces, without its last byte."""
    yield target.make_head(b"Content-Length: %d" % BODY_BYTES) + b"\r\n"
    rest = BODY_BYTES - 1
    while rest:
        size = min(rest, piece)
        yield b"x" * size
        rest -= size


def _send_one_piece(target: Target, _: random.Random) -> Pieces:
    return _end_short(target, BODY_BYTES)


def _send_whole(target: Target, _: random.Random) -> Pieces:
    yield target.make_head(b"Content-Length: %d" % BODY_BYTES) + b"\r\n"
    yield b"x" * BODY_BYTES


def _send_small_pieces(target: Target, source: random.Random) -> Pieces:
    return _end_short(target, source.randrange(4 << 10, 16 << 10))


def _send_chunks(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Transfer-Encoding: chunked") + b"\r\n"
    size = source.randrange(8 << 10, 64 << 10)
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    for _ in range((BODY_BYTES - 1) // size):
        yield chunk


def _send_tiny_chunks(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(20):
        yield (b"1\r\nx\r\n" + b"2\r\nxx\r\n") * source.randrange(300, 500)


def _send_extensions(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Transfer-Encoding: chunked") + b"\r\n"
    extension = b";e=" + b"x" * (12 << 10)
    for _ in range(source.randrange(200, 300)):
        yield b"1%s\r\nx\r\n" % extension


def _send_trailers(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Transfer-Encoding: chunked") + b"\r\n"
    body = b"%x\r\n%s\r\n" % (BODY_BYTES - 1, b"x" * (BODY_BYTES - 1))
    yield body + b"0\r\n"
    yield SHORT_FIELD * source.randrange(2000, 4000)


def _send_long_body(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Content-Length: %d" % (16 * BODY_BYTES)) + b"\r\n"
    for _ in range(3):
        yield b"x" * BODY_BYTES


def _send_endless_body(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(48):
        yield b"%x\r\n%s\r\n" % (256 << 10, b"x" * (256 << 10))


def _send_fields(target: Target, source: random.Random) -> Pieces:
    head = target.make_head(b"Content-Length: 10")
    count = (HEAD_BYTES - len(head) - 2) // len(SHORT_FIELD)
    yield head + SHORT_FIELD * count + b"\r\n" + b"x" * 9


def _send_ahead(target: Target, source: random.Random) -> Pieces:
    request = target.make_head(b"Content-Length: 0") + b"\r\n"
    for _ in range(10):
        yield request * source.randrange(50, 100)


def _trickle_head(target: Target, source: random.Random) -> Pieces:
    yield target.make_head()[: source.randrange(1, 40)]
    for _ in range(TRICKLE_BYTES):
        yield b"x"


def _read_slowly(target: Target, source: random.Random) -> Pieces:
    request = target.make_head(b"Content-Length: 0") + b"\r\n"
    yield request * 60
    for _ in range(TRICKLE_BYTES):
        yield b""


def _stop_in_head(target: Target, source: random.Random) -> Pieces:
    head = target.make_head(b"Cookie: " + b"x" * (HEAD_BYTES - 1024))
    yield head[: source.randrange(1, len(head))]


def _stop_in_body(target: Target, source: random.Random) -> Pieces:
    head = target.make_head(b"Content-Length: 65536") + b"\r\n"
    yield head + b"x" * source.randrange(65536)


def _stop_in_answer(target: Target, source: random.Random) -> Pieces:
    yield target.make_head(b"Content-Length: 4") + b"\r\nbody"


def _send_nothing(target: Target, source: random.Random) -> Pieces:
    return iter(())


def _reset_somewhere(target: Target, source: random.Random) -> Pieces:
    whole = target.make_head(b"Content-Length: 4096") + b"\r\n" + b"x" * 4096
    yield whole[: source.randrange(len(whole) + 1)]


CROWDS = (
    Crowd("one piece", 64, _send_one_piece),
    Crowd("whole bodies", 64, _send_whole),
    Crowd("small pieces", 64, _send_small_pieces),
    Crowd("chunks", 64, _send_chunks),
    Crowd("tiny chunks", 16, _send_tiny_chunks),
    Crowd("chunk extensions", 32, _send_extensions),
    Crowd("trailers", 64, _send_trailers),
    Crowd("long body", 64, _send_long_body),
    Crowd("endless body", 64, _send_endless_body),
    Crowd("short fields", 300, _send_fields),
    Crowd("requests ahead", 24, _send_ahead),
    Crowd("slow head", 650, _trickle_head, pause=TRICKLE_PAUSE),
    Crowd("slow reader", 120, _read_slowly, pause=TRICKLE_PAUSE, reads=True),
    Crowd("stops in head", 650, _stop_in_head),
    Crowd("stops in body", 650, _stop_in_body),
    Crowd("stops in answer", 650, _stop_in_answer),
    Crowd("unused", 650, _send_nothing),
    Crowd("resets", 2000, _reset_somewhere, resets=True),
)
