"""A link on loopback that delays, silences and resets what passes."""

import contextlib
import enum
import socket
import struct

import trio

HOST = "127.0.0.1"
BACKLOG = 512  # connections that wait to be accepted
CHUNK = 65536  # bytes
LOOK_PERIOD = 0.02  # seconds between looks whether a silence has ended


class Mode(enum.Enum):
    """What happens to bytes on a link."""

    PASS = enum.auto()
    SILENT = enum.auto()
    SILENT_ANSWERS = enum.auto()
    REFUSE = enum.auto()


class Cut(enum.Enum):
    """What a cut does to connections.

    New ones are refused, or hang; those that are open are reset, hang or live on.
    """

    RESET = enum.auto()
    HANG = enum.auto()
    NEW_REFUSED = enum.auto()


class Link:
    """Forwards connections to one address.

    Attributes
    ----------
    delay : float
        Seconds that bytes take, each way.
    troubled : list of tuple of float
        Spans in which it did more than to forward.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._streams: set[trio.SocketStream] = set()
        self.mode = Mode.PASS
        self.delay = 0.0
        self.address = ""
        self._cut: Cut | None = None
        self._listening = trio.CancelScope()
        self._restored = trio.Event()
        self.troubled: list[tuple[float, float]] = []

    async def run(self, task_status=None) -> None:
        """Forward until cancelled."""
        sock = _bind(0)
        port = sock.getsockname()[1]
        self.address = f"{HOST}:{port}"
        async with trio.open_nursery() as nursery:
            while True:
                sock.listen(BACKLOG)
                listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
                if task_status is not None:
                    task_status.started()
                    task_status = None
                with trio.CancelScope() as self._listening:
                    await trio.serve_listeners(
                        self._serve, [listener], handler_nursery=nursery
                    )
                # Bound again at once, so that nobody else gets the port meanwhile.
                sock = _bind(port)
                await self._refuse_until_restored(sock)

    def cut(self, how: Cut) -> None:
        """Cut the link; `restore` ends that."""
        if self._cut is None:
            self._restored = trio.Event()
            self._listening.cancel()
        self._cut = how
        if how is Cut.RESET:
            self.reset()
        elif how is Cut.HANG:
            self.mode = Mode.SILENT

    async def _refuse_until_restored(self, sock: socket.socket) -> None:
        with contextlib.ExitStack() as stack:
            if self._cut is Cut.HANG:
                # Once its queue is full, further connections hang.
                sock.listen(0)
                for _ in range(2):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(sock.getsockname())
            await self._restored.wait()

    def restore(self) -> None:
        """Let bytes pass at once again."""
        self.mode, self.delay = Mode.PASS, 0.0
        self._cut = None
        self._restored.set()

    def reset(self) -> None:
        """Reset all connections."""
        for stream in self._streams:
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()
        self._streams.clear()

    async def _serve(self, caller: trio.SocketStream) -> None:
        if self.mode is Mode.REFUSE:
            await trio.aclose_forcefully(caller)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        streams = {caller, target}
        self._streams |= streams
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, caller, target, False, nursery)
            nursery.start_soon(self._pump, target, caller, True, nursery)
        self._streams -= streams
        for stream in streams:
            await trio.aclose_forcefully(stream)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                await trio.sleep(self.delay)
                while self._is_silent(is_answer):
                    await trio.sleep(LOOK_PERIOD)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            nursery.cancel_scope.cancel()

    def _is_silent(self, is_answer: bool) -> bool:
        if self.mode is Mode.SILENT_ANSWERS:
            return is_answer
        return self.mode is Mode.SILENT


def _bind(port: int) -> socket.socket:
    """Return a socket that holds a port; connections are refused until it listens."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    return sock
