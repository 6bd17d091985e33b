"""Callers that come while a node starts."""

import os
import socket
import subprocess
import sys

import pytest
import trio

from tarragonrudder.edges.relay import START_PERIOD
from tarragonrudder.platform import protocol
from tarragonrudder.platform.daemon import PlatformDaemon
from tarragonrudder.platform.early_listener import listen, open_early_listener
from tests.site.site import Node, make_configuration, open_site, send_request
from tests.site.upstream import UpstreamStandIn
from tests.standins.cluster import find_ports

HEAVY_MODULES = ("trio", "pydantic", "quart", "httpx", "h11", "hypercorn")


@pytest.mark.parametrize(
    ("deadline", "configured_after", "status"),
    [(4.0, 0.4, 200), (4.0, 0.0, 200), (0.4, 0.8, 503)],
)
async def test_request_waits_for_the_first_configuration(
    deadline, configured_after, status
):
    # A refusal would use up the one retry that many callers have.
    async with open_site({}) as site:
        await site.add(UpstreamStandIn("p1", service="plain"))
        node = await site.add_node(ready=False)
        answers = []

        async def ask():
            answers.append(await node.ask("/look/1", deadline=deadline))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(configured_after)
            site.store.put("op/config", make_configuration())
        (answer,) = answers
        assert answer.status == status
        if status == 503:
            assert float(answer.headers[b"retry-after"]) > 0.0


async def test_node_that_stays_without_a_configuration_refuses_at_once():
    async with open_site({}) as site:
        node = await site.add_node(ready=False)
        await trio.sleep(START_PERIOD)
        before = trio.current_time()
        answer = await node.ask("/look/1")
        assert answer.status == 503
        assert trio.current_time() - before < 0.5


def test_listener_is_open_before_the_program_is_loaded(tmp_path):
    (port,) = find_ports(1)
    path = tmp_path / "settings.toml"
    path.write_text(f'[listen]\nfront = "127.0.0.1:{port}"\n')
    program = (
        "import sys\n"
        "from tarragonrudder.platform.early_listener import open_early_listener\n"
        "listener = open_early_listener()\n"
        f"print([name for name in {HEAVY_MODULES} if name in sys.modules])\n"
        "sys.stdout.flush()\n"
        "sys.stdin.read()\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        env={**os.environ, protocol.SETTINGS_VARIABLE: str(path), "PYTHONPATH": "src"},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout.readline() == b"[]\n"
        socket.create_connection(("127.0.0.1", port), timeout=5.0).close()
    finally:
        process.communicate()
    assert process.returncode == 0


async def test_connection_made_before_the_node_runs_is_served(monkeypatch, tmp_path):
    async with open_site() as site:
        await site.add(UpstreamStandIn("p1", service="plain"))
        node = await site.add_node()  # for its settings and the store
        (port,) = find_ports(1, node.ip)
        path = tmp_path / "settings.toml"
        path.write_text(f'[listen]\nfront = "{node.ip}:{port}"\n')
        monkeypatch.setenv(protocol.SETTINGS_VARIABLE, str(path))
        listener = open_early_listener()
        stream = await trio.open_tcp_stream(node.ip, port)
        ingress = node.daemon._ingress
        site.nursery.start_soon(ingress.run, f"{node.ip}:{port}", False, listener)
        answer = await node.ask("/look/1", stream)
        assert answer.status == 200


async def test_request_that_waits_in_the_queue_of_the_listener_is_served():
    # It was read before the relay had started, and refused at once.
    async with open_site() as site:
        await site.add(UpstreamStandIn("p1", service="plain"))
        settings = Node(site).settings
        host, _, port = settings.listen.front.rpartition(":")
        listener = listen(host, int(port))
        answers = []

        async def ask(stream):
            answers.append(await send_request(stream, "/look/1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, await trio.open_tcp_stream(host, int(port)))
            await trio.sleep(0.05)
            (metrics_port,) = find_ports(1, settings.ip)
            daemon = PlatformDaemon(None, settings, metrics_port, listener)
            site.nursery.start_soon(daemon.run)
        assert [answer.status for answer in answers] == [200]


@pytest.mark.parametrize(
    "text",
    ["", "[listen", "[listen]\n", '[listen]\nfront = "nowhere"\n', "listen = 3\n"]
    + ['[listen]\nfront = "127.0.0.1:99999"\n', "a" + "[" * 4000],
)
def test_settings_that_name_no_address_open_no_listener(monkeypatch, tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    monkeypatch.setenv(protocol.SETTINGS_VARIABLE, str(path))
    assert open_early_listener() is None
    monkeypatch.delenv(protocol.SETTINGS_VARIABLE)
    assert open_early_listener() is None


def test_address_that_is_taken_opens_no_listener(monkeypatch, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        path = tmp_path / "settings.toml"
        path.write_text(f'[listen]\nfront = "127.0.0.1:{port}"\n')
        monkeypatch.setenv(protocol.SETTINGS_VARIABLE, str(path))
        assert open_early_listener() is None
