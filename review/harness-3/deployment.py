"""A small deployment whose nodes are processes, for the cases of this review.

Store, upstreams and links are the project's stand-ins; nodes run as the deploy file
starts them, with the settings of a small deployment.
"""

import json
import os
import pathlib
import sys
import tempfile
import time
import typing as t

import tests.soak.world as soak_world
import trio
from tests.site.site import Answer, send_request
from tests.soak.world import NodeProcess, World

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
STABLE_WINDOW = 3.0  # seconds, stable-window-ms
RUN_LIMIT = 110.0  # seconds for a whole script
# Fields of a small deployment that the soak's own settings leave out.
BOUNDS = """\
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
lost-ms = 200
config-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
fail-closed = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 198
recover-s = 12
pass-ms = 120
again-s = 0
stall_ms = 2000
require-fence = true
grace-s = {grace}

[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""
soak_world.SETTINGS = soak_world.SETTINGS.partition("[bounds]")[0] + BOUNDS


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._begun = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, event: str, **fields: t.Any) -> None:
        """Write a line with the time since the start."""
        at = round(time.monotonic() - self._begun, 3)
        self._file.write(f"{at:8.3f} {event} {json.dumps(fields)}\n")
        self._file.flush()


async def ask(
    record: Record, node: NodeProcess, target: str, name: str, **options: t.Any
) -> Answer:
    """Send one request on a new connection; an answer of status 0 is none."""
    record.write("sent", id=name, node=node.name, target=target)
    host, _, port = node.front.rpartition(":")
    answer = Answer()
    try:
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(host, int(port))
        try:
            answer = await send_request(stream, target, name, **options)
        finally:
            await trio.aclose_forcefully(stream)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError):
        pass
    record.write("answered", id=name, status=answer.status, whole=answer.whole)
    return answer


async def wait_ready(nodes: t.Iterable[NodeProcess], limit: float = 20.0) -> None:
    """Wait until all nodes say that they are ready."""
    with trio.fail_after(limit):
        for node in nodes:
            while not await node.is_ready():
                await trio.sleep(0.05)


def play(
    folder: pathlib.Path,
    script: t.Callable[[World, Record, bool], t.Awaitable[str | None]],
    nodes: int,
) -> t.NoReturn:
    """Run a script against nodes, and exit with its result.

    Parameters
    ----------
    script : callable
        Gets the deployment, the record, and whether to make trouble; returns how the
        rule was broken, None if it held. An assertion error says that it couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> int:
        found: str | None = None
        with tempfile.TemporaryDirectory() as place:
            async with trio.open_nursery() as nursery:
                world = World(pathlib.Path(place), nursery, os.getpid())
                try:
                    with trio.fail_after(RUN_LIMIT):
                        await world.start(nodes)
                        found = await script(world, record, trouble)
                finally:
                    world.close()
                nursery.cancel_scope.cancel()
        record.write("result", broken=found)
        print(f"broken: {found}" if found else "held", flush=True)
        return BROKEN if found else HELD

    try:
        code = trio.run(run)
    except BaseException as error:
        record.write("not run", reason=repr(error))
        print(f"not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
