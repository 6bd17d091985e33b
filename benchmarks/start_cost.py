"""Processor time of a node's start and of what nodes tell each other.

Prints milliseconds of processor time, the least of some runs, and bytes. Needs no
network and no other process but those it starts.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
import typing as t

import orjson

from tarragonrudder.core.domain.forwarded_request import Trait
from tarragonrudder.core.forwarding.crash_tracker import CrashReport
from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.core.membership.document_history import (
    apply_change,
    compare_documents,
)
from tarragonrudder.platform.compression import compress
from tarragonrudder.platform.configuration_exchange import (
    encode_changes,
    encode_whole,
)
from tarragonrudder.platform.decoding import decode_configuration, decode_version
from tarragonrudder.platform.metadata_store import Position
from tarragonrudder.platform.peer_message import (
    PeerState,
    decode_state,
    encode_state,
)

RUNS = 5
CALLS = 200
ROUTES = 2000
UPSTREAMS = 89
IMPORT = """
import time
import tarragonrudder.platform.daemon
print(time.process_time())
"""


def measure(function: t.Callable[[], object], calls: int = 1) -> float:
    """Return milliseconds of processor time of one call, the least of `RUNS`."""
    found = []
    for _ in range(RUNS):
        started_at = time.process_time()
        for _ in range(calls):
            function()
        found.append((time.process_time() - started_at) / calls * 1000.0)
    return min(found)


def measure_import() -> float:
    """Return milliseconds of processor time until the daemon's code is loaded.

    The code is compiled before, as a build does.
    """
    found = []
    with tempfile.TemporaryDirectory() as folder:
        environment = {**os.environ, "PYTHONPYCACHEPREFIX": folder}
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        for _ in range(1 + RUNS):
            command = [sys.executable, "-c", IMPORT]
            result = subprocess.run(
                command, check=True, capture_output=True, text=True, env=environment
            )
            found.append(float(result.stdout) * 1000.0)
    return min(found)


def make_configuration(version: int, source: random.Random) -> dict[str, t.Any]:
    """Return a configuration of many routes."""
    routes = []
    for _ in range(ROUTES):
        name = f"{source.getrandbits(40):010x}"
        routes.append(
            {
                "name": f"r-{name}",
                "host": f"{name[:6]}.example",
                "prefix": f"/{name}/",
                "kind": "idempotent",
                "timeout-ms": 5000,
                "target-latency-ms": 500,
                "priority": 1,
                "service": "plain",
                "max-attempts": 2,
                "allow-anonymous": False,
                "resumable": False,
            }
        )
    services = [{"name": "plain", "max-connections": 100}]
    return {"version": version, "routes": routes, "services": services}


def make_state(source: random.Random) -> PeerState:
    """Return the state of a node that has work on all upstreams."""
    names = [f"i-{source.getrandbits(40):010x}" for _ in range(UPSTREAMS)]
    usage = {name: Usage(source.randrange(1, 9), 800) for name in names}
    crashes = {
        Trait("part", f"{source.getrandbits(32):08x}"): CrashReport(
            9.5, {f"{names[0]}@1774144100000": 0.5}
        )
    }
    return PeerState(
        node="edge-1",
        address="10.0.0.1:7000",
        version=77,
        is_store_away=False,
        usage=usage,
        crash_reports=crashes,
        culprits={names[1]: 1.5},
        report=PeerReport("10.0.0.1:7001", "zone-a", 12, True),
        position=Position(12345, 1),
        reads_compressed=True,
    )


def print_row(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name:48} {value:10.2f} {unit}")


def print_configurations(source: random.Random) -> None:
    """Print what adopting and sending a configuration costs."""
    before = orjson.dumps(make_configuration(1, source))
    document = orjson.loads(before)
    document["version"] = 2
    document["routes"][ROUTES // 2]["service"] = "other"
    after = orjson.dumps(document)
    change = compare_documents(before, after)
    times: dict[str, t.Callable[[], object]] = {
        "decode": lambda: decode_configuration(after),
        "read its version": lambda: decode_version(after),
        "compare": lambda: compare_documents(before, after),
        "apply a change": lambda: apply_change(before, change),
        "compress": lambda: encode_whole(after),
    }
    for name, function in times.items():
        print_row(f"configuration: {name}", measure(function), "ms")
    sizes = {
        "plain": after,
        "compressed": encode_whole(after),
        "change of one route": encode_changes((change,)),
    }
    for name, content in sizes.items():
        print_row(f"configuration: {name}", len(content), "bytes")


def print_states(source: random.Random) -> None:
    """Print what the states that nodes exchange cost."""
    state = make_state(source)
    content = encode_state(state)
    compressed = compress(content)
    times: dict[str, t.Callable[[], object]] = {
        "encode": lambda: encode_state(state),
        "decode": lambda: decode_state(content),
        "compress": lambda: compress(content),
        "decode compressed": lambda: decode_state(compressed),
    }
    for name, function in times.items():
        print_row(f"state: {name}", measure(function, CALLS), "ms")
    print_row("state: plain", len(content), "bytes")
    print_row("state: compressed", len(compressed), "bytes")
    for name, value in json.loads(content).items():
        print_row(f"state: {name}", len(orjson.dumps(value)), "bytes")


def main() -> None:
    """Print all figures."""
    source = random.Random(1)
    print_row("load the daemon's code", measure_import(), "ms")
    print_configurations(source)
    print_states(source)


if __name__ == "__main__":
    main()
