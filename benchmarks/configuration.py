"""Cost of building a large configuration and of keeping nodes up to date.

The configuration has the size that the fleet is expected to reach in two years.

Run it with ``python -m benchmarks.configuration``.
"""

import gc
import hashlib
import time
import tracemalloc
import typing as t

from tests.standins.control_fleet import ControlFleet

from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.message import GenerationAnnounced
from tarragonrudder.edges.folder import ConfigurationBuilder
from tarragonrudder.edges.peer import encode_message
from tarragonrudder.edges.pieces import Files, compress_piece, pack_files

ACCOUNTS = 20_000
MODELS = 10
ENGINES = 600
LAYERS = 80
NODES = 400
SIMULATED_NODES = 50
SIMULATED_SECONDS = 600.0
CHANGES_A_DAY = 1400
DAY = 86_400.0  # seconds
BASE64 = 4.0 / 3.0  # bytes on the wire for each byte of a value


def make_files(changed_account: int = -1) -> dict[str, str]:
    """Return a folder's files at the size expected in two years.

    One account differs from the others if `changed_account` is its index.
    """
    base = []
    for model in range(MODELS):
        base.append(f"[model:m{model}@1]\nlayers = {LAYERS}\n")
        base.append(f"[route:m{model}]\nmodel = m{model}@1\n")
    for engine in range(ENGINES):
        half = engine // MODELS % 2
        base.append(
            f"[engine:e{engine}]\n"
            f"address = http://10.0.{engine // 250}.{engine % 250}\n"
            f"data_center = dc{engine % 7}\naccelerator = kind{engine % 4}\n"
            f"model = m{engine % MODELS}@1\nlayers = {40 * half}-{40 * half + 39}\n"
        )
    accounts = []
    for account in range(ACCOUNTS):
        digest = hashlib.sha256(str(account).encode()).hexdigest()
        burst = 20 if account == changed_account else 10
        accounts.append(
            f"[account:a{account}]\nkey_hashes = {digest}\n"
            f"requests_per_second = 5\nburst = {burst}\nweight = 2\n"
        )
    return {"10-base.ini": "".join(base), "20-accounts.ini": "".join(accounts)}


def build(
    builder: ConfigurationBuilder, files: Files
) -> tuple[Configuration, float, float]:
    """Return the configuration, its processor time and longest step in seconds."""
    gc.collect()
    gc.disable()
    started_at = time.process_time()
    longest_step = 0.0
    steps = builder.build_in_steps(files, 1, "digest")
    while True:
        step_started_at = time.process_time()
        try:
            next(steps)
        except StopIteration as stop:
            gc.enable()
            return stop.value, time.process_time() - started_at, longest_step
        longest_step = max(longest_step, time.process_time() - step_started_at)


def measure_builds() -> t.Iterator[tuple[str, str]]:
    builder = ConfigurationBuilder()
    old_files, new_files = make_files(), make_files(ACCOUNTS // 2)
    _, first_seconds, first_step = build(builder, old_files)
    _, second_seconds, second_step = build(builder, new_files)
    yield (
        "build from nothing",
        f"{first_seconds:.2f} s, longest step {1e3 * first_step:.0f} ms",
    )
    yield (
        "after one change",
        f"{second_seconds:.2f} s, longest step {1e3 * second_step:.0f} ms",
    )
    share = second_seconds * CHANGES_A_DAY / DAY
    yield f"builds, {CHANGES_A_DAY} changes a day", f"{100 * share:.2f}% of a core"
    old, new = pack_files(old_files), pack_files(new_files)
    texts = list(new.pieces.values())
    packed = sum(len(compress_piece(text)) for text in texts)
    yield "text of the folder", f"{sum(map(len, new_files.values()))} bytes"
    yield "pieces", f"{len(texts)}, {packed} bytes compressed"
    largest = max(len(compress_piece(text)) for text in texts)
    yield "largest piece, compressed", f"{largest} bytes"
    new_digests = set(new.pieces) - set(old.pieces)
    new_bytes = sum(len(compress_piece(new.pieces[digest])) for digest in new_digests)
    yield (
        "new pieces of one change",
        f"{len(new_digests)}, {new_bytes} bytes compressed",
    )
    rate = new_bytes * BASE64 * CHANGES_A_DAY / DAY
    yield "reading them, a node", f"{rate:.0f} bytes/s on average"


def measure_memory() -> t.Iterator[tuple[str, str]]:
    files = make_files()
    tracemalloc.start()
    builder = ConfigurationBuilder()
    configuration, _, _ = build(builder, files)
    total_bytes, peak = tracemalloc.get_traced_memory()
    del builder
    gc.collect()
    configuration_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield "memory of the configuration", f"{configuration_bytes / 1e6:.1f} MB"
    yield "with what is kept for the next build", f"{total_bytes / 1e6:.1f} MB"
    yield "peak of a build", f"{peak / 1e6:.1f} MB"
    assert len(configuration.accounts) == ACCOUNTS


def measure_calls() -> t.Iterator[tuple[str, str]]:
    """Count platform reads and peer messages on a virtual clock.

    They are counted in a period without changes, and after one change.
    """
    fleet = ControlFleet(1, SIMULATED_NODES)
    fleet.write_folder("first")
    fleet.run(60.0)
    reads = messages = 0

    def count(node: object, action: actions.Action) -> None:
        nonlocal reads, messages
        reads += isinstance(action, actions.ReadKey)
        messages += isinstance(action, actions.SendPeerMessage)

    fleet.hooks.append(count)
    fleet.run(SIMULATED_SECONDS)
    scale = SIMULATED_NODES * SIMULATED_SECONDS
    yield "reads, a node", f"{reads / scale:.2f}/s"
    yield f"reads, {NODES} nodes", f"{NODES * reads / scale:.0f}/s and {NODES} watches"
    message = GenerationAnnounced(100_000, "0" * 64)
    body = len(encode_message("node-100", "node-200", message, time.time()))
    rate = messages / scale
    yield "announcements, a node", f"{rate:.2f}/s, {rate * body:.0f} bytes/s of bodies"
    reads = 0
    fleet.write_folder("second")
    fleet.run(10.0)
    # Without a change, each node reads two keys every 5 s.
    baseline_reads = 2 * 10.0 / 5.0
    yield (
        "further reads for one change, a node",
        f"{reads / SIMULATED_NODES - baseline_reads:.1f}",
    )
    adopted = [item.time for item in fleet.journal if item.digest == "second"]
    written = fleet.now - 10.0
    yield "in force on all (virtual)", f"{max(adopted) - written:.2f} s"
    assert len(adopted) == SIMULATED_NODES


def main() -> None:
    rows = [*measure_builds(), *measure_memory(), *measure_calls()]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"{name.ljust(width)}  {value}")


if __name__ == "__main__":
    main()
