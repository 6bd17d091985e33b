"""A model engine that streams tokens at a fixed rate without computing them.

Run it with ``python -m benchmarks.paced_engine PORT INTERVAL BATCH``. The text of a
token is the time at which it was sent, in nanoseconds of the monotonic clock, so
that a reader on the same machine can compute its delay.
"""

import json
import sys
import time

import trio

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
)


async def read_request(stream: trio.SocketStream) -> tuple[str, bytes]:
    """Return a request's path and body."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = await stream.receive_some()
        if not received:
            raise trio.BrokenResourceError
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += await stream.receive_some()
    return head.split(b" ")[1].decode(), body


async def serve_stream(stream: trio.SocketStream, interval: float, batch: int) -> None:
    """Serve one streaming request, `batch` tokens per write.

    Requests for any other path before it are answered with ``ok``.
    """
    async with stream:
        path, body = await read_request(stream)
        while path != "/v1/generate":
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            path, body = await read_request(stream)
        work = json.loads(body)
        head = f'data: {{"request":"{work["request"]}","attempt":{work["attempt"]},'
        await stream.send_all(HEAD)
        count = work["max_tokens"]
        for start in range(0, count, batch):
            await trio.sleep(interval * batch)
            parts = []
            for position in range(start, min(start + batch, count)):
                now = time.monotonic_ns()
                parts.append(f'{head}"position":{position},"text":"{now} "}}\n\n')
            await stream.send_all("".join(parts).encode())
        end = f'{head}"finish_reason":"length","length":{count}}}\n\n'
        await stream.send_all(end.encode())


async def main() -> None:
    """Serve until the process is terminated."""
    port, interval, batch = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await serve_stream(stream, interval, batch)
        except trio.BrokenResourceError:
            return

    await trio.serve_tcp(handle, port, host="127.0.0.1")


if __name__ == "__main__":
    trio.run(main)
