"""Tests of the client for calls of the store, of peers and of upstreams' reports."""

import contextlib

import h11
import httpx
import pytest
import trio

from tarragonrudder.platform.http_client import fetch_whole, make_client

TIMEOUT = 0.2
MAX_BYTES = 1000


class Server:
    """Answers each request with the same bytes and keeps what it has read."""

    def __init__(self, answer, wait=0.0):
        self._answer = answer
        self._wait = wait
        self.heads = []
        self.connections = 0

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    self.heads.append((event.target, dict(event.headers)))
                elif isinstance(event, h11.EndOfMessage):
                    await trio.sleep(self._wait)
                    await stream.send_all(self._answer)
                    if b"close" in self._answer:
                        await stream.aclose()
                        return
                    connection.send(h11.Response(status_code=200, headers=[]))
                    connection.send(h11.EndOfMessage())
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()
                elif isinstance(event, h11.ConnectionClosed):
                    return


@contextlib.asynccontextmanager
async def open_client(answer, wait=0.0):
    server = Server(answer, wait)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.run)
        client = make_client(TIMEOUT, 4, 4, f"http://{address}")
        yield server, client
        await client.aclose()
        nursery.cancel_scope.cancel()


def make_answer(body, *headers):
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def test_call_sends_what_is_asked_and_no_more():
    answer = make_answer(b"whole", b"Set-Cookie: a=1", b"Location: /other")
    async with open_client(answer) as (server, client):
        for _ in range(2):
            response = await fetch_whole(
                client,
                "POST",
                "/a",
                TIMEOUT,
                MAX_BYTES,
                params={"b": 1},
                json={},
                headers={"Expect-Instance": "e-1"},
            )
            assert (response.status_code, response.content) == (200, b"whole")
    assert [target for target, _ in server.heads] == [b"/a?b=1"] * 2
    for _, headers in server.heads:
        assert headers[b"accept-encoding"] == b"identity"
        assert headers[b"content-type"] == b"application/json"
        assert headers[b"expect-instance"] == b"e-1"
        assert b"cookie" not in headers


async def test_content_is_given_as_it_was_sent():
    body = b"not decompressed"
    async with open_client(make_answer(body, b"Content-Encoding: gzip")) as opened:
        response = await fetch_whole(opened[1], "GET", "/a", TIMEOUT, MAX_BYTES)
    assert response.content == body


@pytest.mark.parametrize(
    "answer,wait,error",
    [
        (make_answer(b"x" * (MAX_BYTES + 1)), 0.0, httpx.ReadError),
        (make_answer(b"late"), 3 * TIMEOUT, httpx.ReadTimeout),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nA: close\r\n\r\nx", 0.0, None),
        (b"no answer; close\r\n\r\n", 0.0, httpx.RemoteProtocolError),
    ],
)
async def test_answer_that_is_not_whole_is_an_error(answer, wait, error):
    async with open_client(answer, wait) as (_, client):
        with pytest.raises(error or httpx.HTTPError):
            await fetch_whole(client, "GET", "/a", TIMEOUT, MAX_BYTES)


@pytest.mark.parametrize("url", ["http://a:b/", "http://[/", "ftp://a/", "/path"])
async def test_invalid_url_is_an_error_of_the_call(url):
    client = make_client(TIMEOUT, 1, 1)
    with pytest.raises(httpx.HTTPError):
        await fetch_whole(client, "GET", url, TIMEOUT, MAX_BYTES)
    await client.aclose()
