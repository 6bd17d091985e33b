"""Tests of requests that ended although a sound attempt was still at hand."""

import socket

import orjson
import pytest
import trio

from tarragonrudder.edges import plain_calls
from tarragonrudder.edges.connection import ConnectFailed, open_connection
from tarragonrudder.platform import ingress, upstream_client
from tests.site.site import make_configuration, make_route, open_site, send_request
from tests.site.test_silence import spend_retries
from tests.site.upstream import Behavior, UpstreamStandIn

PAUSE = 1.1  # seconds of silence of a sound upstream


@pytest.mark.parametrize("silent_after", [0, 2])
@pytest.mark.parametrize(
    "trouble",
    [
        Behavior(cut_after=0),
        Behavior(status=500, silent_after=0),
        Behavior(status=500),
        Behavior(unsigned=True),
    ],
    ids=["cut in its first event", "failure without body", "failure", "unsigned"],
)
async def test_silent_stream_is_not_lost_to_a_faulty_replacement(silent_after, trouble):
    # The sound attempt was left, or no longer read, for one without a whole event.
    async with open_site() as site:
        engine = UpstreamStandIn("e-1", layers=(0, 79))
        engine.behavior = Behavior(silent_after=silent_after, pause=PAUSE)
        other = UpstreamStandIn("e-2", layers=(0, 79), kind="slow")
        other.behavior = trouble
        await site.add(engine, other)
        node = await site.add_node()
        answer = await node.ask("/draft/1")
    assert engine.arrivals, "the silent engine was not chosen first"
    assert (answer.status, answer.whole) == (200, True)
    assert answer.event_ids == [1, 2, 3, 4, 5, 6]


@pytest.mark.parametrize("max_upstreams", [1, 2])
async def test_call_that_is_slow_to_connect_is_not_sent_too_often(
    monkeypatch, max_upstreams
):
    # Attempts that were still connecting did not count towards the limit.
    async def open_late(address):
        await trio.sleep(0.2)
        return await open_connection(address, timeout=5.0)

    monkeypatch.setattr(upstream_client, "open_connection", open_late)
    route = make_route(
        "look",
        "idempotent",
        "plain",
        **{"target-latency-ms": 100, "max-attempts": max_upstreams},
    )
    async with open_site(make_configuration(routes=[route])) as site:
        upstreams = []
        for number in range(4):
            upstream = UpstreamStandIn(f"p-{number}", service="plain")
            upstream.behavior = Behavior(pause=1.0)
            upstreams.append(upstream)
        await site.add(*upstreams)
        node = await site.add_node()
        answer = await node.ask("/look/1")
    assert (answer.status, answer.whole) == (200, True)
    ran = [each.name for each in upstreams if each.arrivals]
    assert len(ran) <= max_upstreams


def count_retries(node, service):
    budget = node.daemon.state.retry_budget
    return budget.measure(service, trio.current_time()).spent


@pytest.mark.parametrize("max_upstreams", [1, 2])
async def test_failed_connection_does_not_count_as_a_send(monkeypatch, max_upstreams):
    # Counted at its start, an attempt that never connected used up the limits.
    tried = []

    async def open_late(address):
        tried.append(address)
        await trio.sleep(0.2)
        if address == tried[0]:
            raise ConnectFailed("no connection")
        return await open_connection(address)

    monkeypatch.setattr(upstream_client, "open_connection", open_late)
    route = make_route(
        "look",
        "idempotent",
        "plain",
        **{"target-latency-ms": 100, "max-attempts": max_upstreams},
    )
    async with open_site(make_configuration(routes=[route])) as site:
        upstreams = [UpstreamStandIn(f"p-{n}", service="plain") for n in range(2)]
        await site.add(*upstreams)
        node = await site.add_node()
        answer = await node.ask("/look/1")
        assert count_retries(node, "plain") == 0
    assert (answer.status, answer.whole) == (200, True)
    assert [len(each.arrivals) for each in upstreams].count(1) == 1
    assert len(tried) == 2


async def test_replacement_left_while_connecting_does_not_count(monkeypatch, capfd):
    # Counted at its start, a connection given up for the old engine stayed counted.
    tried = []

    async def open_late(address):
        tried.append(address)
        if address != tried[0]:
            await trio.sleep(3.0)
        return await open_connection(address)

    monkeypatch.setattr(upstream_client, "open_connection", open_late)
    async with open_site() as site:
        engine = UpstreamStandIn("e-1", layers=(0, 79))
        engine.behavior = Behavior(silent_after=2, pause=PAUSE)
        await site.add(engine, UpstreamStandIn("e-2", layers=(0, 79), kind="slow"))
        node = await site.add_node()
        answer = await node.ask("/draft/1")
        assert count_retries(node, "engines") == 0
        await trio.sleep(1.1)  # the log is written once a second
    assert (answer.status, answer.event_ids) == (200, [1, 2, 3, 4, 5, 6])
    assert len(tried) == 2
    assert '"sends": 1' in capfd.readouterr().out


@pytest.mark.parametrize(
    "changes",
    [{"gap-aim-ms": 0}, {"service": "missing"}],
    ids=["no gap target", "unknown service"],
)
async def test_stream_on_a_sparse_configuration_gets_an_answer(changes):
    # An error in the code closed the caller's connection instead of a refusal.
    route = {**make_route("draft", "streaming", "engines"), **changes}
    async with open_site(make_configuration(routes=[route])) as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        answer = await node.ask("/draft/1")
    assert answer.whole
    assert answer.status in (200, 503)


@pytest.mark.parametrize("target", ["/draft/1", "/look/1"])
async def test_failed_request_is_answered(monkeypatch, target):
    # An unexpected error closed the connection although no answer had begun.
    async with open_site() as site:
        await site.add(
            UpstreamStandIn("e-1", layers=(0, 79)),
            UpstreamStandIn("p-1", service="plain"),
        )
        node = await site.add_node()

        def fail(*_args):
            raise RuntimeError("unexpected")

        monkeypatch.setattr(node.daemon.state, "admit", fail)
        answer = await node.ask(target)
    assert answer.whole
    assert answer.status >= 500


async def test_connection_is_kept_after_a_failed_decoding(monkeypatch, capfd):
    # An error before the request was handled closed the connection.
    def fail(*_args):
        raise RuntimeError("unexpected")

    async with open_site() as site:
        await site.add(UpstreamStandIn("p-1", service="plain"))
        node = await site.add_node()
        stream = await node.connect()
        with monkeypatch.context() as patch:
            patch.setattr(ingress, "decode_request", fail)
            first = await send_request(stream, "/look/1", name="a-1")
        second = await send_request(stream, "/look/2")
        await trio.sleep(1.1)  # the log is written once a second
    assert (first.status, first.whole) == (500, True)
    assert orjson.loads(first.body)["error"]["run"] == "unknown"
    assert (second.status, second.whole) == (200, True)
    lines = [orjson.loads(line) for line in capfd.readouterr().out.splitlines()]
    events = [line["event"] for line in lines if line.get("request") == "a-1"]
    assert events == ["request_failed", "refused"]


@pytest.mark.parametrize(
    "header",
    [
        ("Length-Hint", "9" * 400),
        ("Length-Hint", "9" * 5000),
        ("Last-Event-Id", "9" * 5000),
    ],
    ids=["hint of 400 digits", "hint of 5000 digits", "event of 5000 digits"],
)
async def test_huge_number_in_a_header_gets_an_answer(header):
    # The error left the decoder and closed the connection.
    async with open_site() as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        answer = await node.ask("/draft/1", headers=(header,))
    assert answer.whole


@pytest.mark.parametrize("name", ["Deadline-Ms", "Token-Usage"])
@pytest.mark.parametrize("digits", [400, 5000])
async def test_huge_number_gets_no_fault_of_the_node(name, digits):
    # The first header of a name counts, so these are sent in place of the usual ones.
    async with open_site() as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        stream = await node.connect()
        text = "9" * digits
        value = f"{text},{text}" if name == "Token-Usage" else text
        await stream.send_all(
            b"GET /draft/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-1\r\n"
            b"Authorization: Bearer key-1\r\n%s: %s\r\n\r\n"
            % (name.encode(), value.encode())
        )
        with trio.fail_after(3.0):
            answer = await stream.receive_some(65536)
    assert answer[9:12] in (b"200", b"503"), answer[:80]


async def test_header_limit_of_a_new_version_holds_on_kept_connections():
    # Limits were read once per connection.
    async with open_site(make_configuration(limits={"max-header-bytes": 2000})) as site:
        await site.add(UpstreamStandIn("p-1", service="plain"))
        node = await site.add_node()
        stream = await node.connect()
        first = await send_request(stream, "/look/1")
        site.store.put(
            "op/config", make_configuration(3, limits={"max-header-bytes": 16384})
        )
        with trio.fail_after(5.0):
            while node.daemon.state.version != 3:
                await trio.sleep(0.01)
        await stream.send_all(
            b"GET /look/2 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-2\r\n"
            b"Authorization: Bearer key-1\r\nX-Long: " + b"x" * 4000
        )
        await trio.sleep(0.1)
        await stream.send_all(b"x\r\n\r\n")
        with trio.fail_after(3.0):
            second = await stream.receive_some(65536)
    assert first.status == 200
    assert second.startswith(b"HTTP/1.1 200"), second[:80]


@pytest.mark.parametrize(
    ("before", "after", "pipelined", "status"),
    [
        ({"max-body-bytes": 3}, {}, False, 200),
        ({}, {"max-header-bytes": 1000}, False, 431),
        ({"max-header-bytes": 1000}, {}, True, 200),
        ({}, {"max-header-bytes": 1000}, True, 431),
        ({}, {"max-body-bytes": 3}, True, 413),
        ({}, {"header-timeout-ms": 50}, False, 408),
    ],
)
async def test_limits_of_a_new_version_hold_on_kept_connections(
    before, after, pipelined, status
):
    # Limits were read once per connection.
    head = b"POST /look/2 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-2\r\n"
    head += b"Authorization: Bearer key-1\r\nContent-Length: 4\r\nX-Long: "
    head += b"x" * 1500
    async with open_site(make_configuration(limits=before)) as site:
        upstream = UpstreamStandIn("p-1", service="plain")
        upstream.behavior = Behavior(pause=1.0 if pipelined else 0.0)
        await site.add(upstream)
        node = await site.add_node()
        stream = await node.connect()
        first = b"GET /look/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-1\r\n"
        first += b"Authorization: Bearer key-1\r\n\r\n"
        await stream.send_all(first + (head if pipelined else b""))
        site.store.put("op/config", make_configuration(3, limits=after))
        answer = await stream.receive_some(65536)
        assert answer.startswith(b"HTTP/1.1 200"), answer[:80]
        with trio.fail_after(5.0):
            while node.daemon.state.version != 3:
                await trio.sleep(0.01)
        await stream.send_all(b"" if pipelined else head)
        await trio.sleep(0.2)
        await stream.send_all(b"x\r\n\r\nbody")
        with trio.fail_after(3.0):
            second = await stream.receive_some(65536)
    assert int(second[9:12]) == status, second[:80]


class LargeUpstream(UpstreamStandIn):
    """A plain service with a large answer."""

    async def _send_plain(self, stream, connection, headers, how):
        size = 3_900_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        for name, value in headers:
            value = value if isinstance(value, bytes) else value.encode()
            head += name.encode() + b": " + value + b"\r\n"
        await stream.send_all(head + b"\r\n" + b"x" * size)
        return False


async def test_large_answer_is_not_cut_for_a_slow_caller():
    # A whole answer was given up after one second of sending, with time left.
    async with open_site() as site:
        await site.add(LargeUpstream("p-1", service="plain"))
        node = await site.add_node()
        stream = await node.connect()
        request = (
            b"GET /look/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-1\r\n"
            b"Deadline-Ms: 4500\r\nAuthorization: Bearer key-1\r\n\r\n"
        )
        await stream.send_all(request)
        received = 0
        with trio.move_on_after(4.0):
            while received < 3_900_000:
                data = await stream.receive_some(100_000)
                if not data:
                    break
                received += len(data)
                await trio.sleep(0.05)  # 2 MB/s
    assert received >= 3_900_000


async def read_slowly(stream, seconds):
    """Read 400 kB/s; return the number of bytes."""
    received = 0
    with trio.move_on_after(seconds):
        while True:
            received += len(await stream.receive_some(20_000))
            await trio.sleep(0.05)
    return received


@pytest.mark.parametrize(
    ("deadline", "slow_for", "took"),
    [
        # 400 kB/s, so that sending takes longer than a second.
        (9.0, 3.0, None),
        # Nothing is taken.
        (9.0, 0.0, 1.0),
        # The caller's deadline comes first.
        (2.0, 2.5, 2.0),
    ],
    ids=["steady caller", "stuck caller", "late caller"],
)
async def test_slow_caller_is_left_only_without_progress(
    capfd, deadline, slow_for, took
):
    # Sending was limited to one second, and its end was not logged.
    route = make_route("look", "idempotent", "plain", **{"timeout-ms": 9000})
    async with open_site(make_configuration(routes=[route])) as site:
        await site.add(LargeUpstream("p-1", service="plain"))
        node = await site.add_node()
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        host, _, port = node.front.rpartition(":")
        await sock.connect((host, int(port)))
        stream = trio.SocketStream(sock)
        await stream.send_all(
            b"GET /look/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-1\r\n"
            b"Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n\r\n"
            % (deadline * 1000)
        )
        received = await read_slowly(stream, slow_for)
        with trio.fail_after(5.0):
            while took is None and received < 3_900_000:
                data = await stream.receive_some(100_000)
                assert data, f"cut off after {received} bytes"
                received += len(data)
        await trio.sleep(2.2)  # the log is written once a second
    lines = [orjson.loads(line) for line in capfd.readouterr().out.splitlines()]
    found = [line for line in lines if line.get("request") == "a-1"]
    (event,) = [line["event"] for line in found]
    assert event == ("ended" if took is None else "broken_off")
    if took is not None:
        assert took - 0.1 < found[0]["took"] < took + 0.3


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304), ("POST", 204)]
)
async def test_answer_without_a_body_is_forwarded(method, status):
    # Framing of answers that may have no body.
    class Bodiless(UpstreamStandIn):
        async def _send_plain(self, stream, connection, headers, how):
            text = b"HTTP/1.1 103 Early Hints\r\n\r\n"
            text += b"HTTP/1.1 %d OK\r\n" % status
            for name, value in headers:
                value = value if isinstance(value, bytes) else value.encode()
                text += name.encode() + b": " + value + b"\r\n"
            await stream.send_all(text + b"\r\n")
            return False

    async with open_site() as site:
        await site.add(Bodiless("p-1", service="plain"))
        node = await site.add_node()
        stream = await node.connect()
        request = (
            f"{method} /look/1 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a-1\r\n"
            "Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n\r\n"
        )
        await stream.send_all(request.encode())
        data = b""
        with trio.move_on_after(3.0):
            data = await stream.receive_some(65536)
    assert data.startswith(b"HTTP/1.1 %d" % status), data[:80]


async def test_slow_call_is_logged_once_per_upstream(capfd):
    # Each further wait logged and suspected the same upstream again.
    route = make_route("look", "idempotent", "plain", **{"target-latency-ms": 50})
    async with open_site(make_configuration(routes=[route])) as site:
        first = UpstreamStandIn("p-1", service="plain")
        first.behavior = Behavior(pause=1.0)
        other = UpstreamStandIn("p-2", service="plain", zone="zone-b")
        await site.add(first, other)
        node = await site.add_node()
        await spend_retries(node, "plain")
        answer = await node.ask("/look/1")
        await trio.sleep(1.1)  # the log is written once a second
    assert (answer.status, answer.whole) == (200, True)
    assert capfd.readouterr().out.count('"event": "slow"') == 1


async def test_failure_just_before_the_deadline_is_not_sent_again(monkeypatch, capfd):
    # One more send was started and cancelled at once.
    monkeypatch.setattr(plain_calls, "FAILURE_MARGIN", 60.0)  # every failure is late
    async with open_site() as site:
        first = UpstreamStandIn("p-1", service="plain")
        first.behavior = Behavior(status=500)
        other = UpstreamStandIn("p-2", service="plain", zone="zone-b")
        await site.add(first, other)
        node = await site.add_node()
        answer = await node.ask("/look/1")
        await trio.sleep(1.1)  # the log is written once a second
    assert (answer.status, answer.whole) == (500, True)
    assert other.connections == 0
    assert "sent_again" not in capfd.readouterr().out
