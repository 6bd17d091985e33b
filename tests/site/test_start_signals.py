"""Signals that reach a node's process while it starts."""

import pathlib
import signal
import subprocess
import sys

import pytest
import trio

from tests.standins.cluster import find_ports

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "127.0.0.1"
START_TIME = 20.0  # seconds, on a busy machine
SETTINGS = """
node = "n"
ip = "{host}"
zone = "a"
[listen]
front = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
control = "{host}:{ports[2]}"
[platform]
address = "{host}:{ports[3]}"
"""


def ignores_reload(pid):
    """Tell whether a process ignores SIGHUP."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name == "SigIgn":
            return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)
    return False


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.3])
async def test_reload_while_a_node_starts_does_not_end_it(delay, tmp_path):
    # The handler was set up after the imports, and the signal's default ends a process.
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(host=HOST, ports=find_ports(4, HOST)))
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "node.py")],
            env={"TARRAGONRUDDER_NODE_FILE": str(path)},
            stdout=output,
            stderr=output,
        )
    try:
        with trio.fail_after(START_TIME):
            while not ignores_reload(process.pid):
                assert process.poll() is None and not log.read_bytes()
                await trio.sleep(0.005)
        await trio.sleep(delay)
        process.send_signal(signal.SIGHUP)
        with trio.fail_after(START_TIME):
            while b'"started"' not in log.read_bytes():
                assert process.poll() is None, log.read_text()
                await trio.sleep(0.05)
        await trio.sleep(0.2)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()
