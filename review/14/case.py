"""A request that crashes workers comes again after all nodes were killed, twice."""

import itertools
import pathlib
import signal

import trio
from deployment import STABLE_WINDOW, ask, play, wait_ready
from tests.site.site import make_configuration
from tests.site.upstream import UpstreamStandIn
from tests.soak.proxy import Cut

from tarragonrudder.platform import protocol

NODES = 3
WORKERS = 6
TARGET, BODY = "/record/posting", b"poison"
PERIOD = 0.6  # seconds from one coming of the request to the next
COMINGS = 8  # of the request in each calm span
BACK_AFTER = 2.0  # seconds until a crashed worker has a successor
ENTRY_LEFT = 3.6  # seconds: three heartbeat intervals
MARGIN = 0.7  # seconds beyond the stable window
MOST = 3  # retries that may reach workers
KILLS = 2


class Worker(UpstreamStandIn):
    """A worker of the plain service that crashes when it begins to run the request."""

    async def _answer(self, stream, connection, arrival):
        expected = arrival.headers.get(b"expect-instance", b"").decode()
        if arrival.body != BODY or expected != self.name:
            return await super()._answer(stream, connection, arrival)
        arrival.ran = True
        await self._crash()
        return False


async def run_case(world, record, trouble):
    """Play the case; return how the rule was broken, None if it held."""
    numbers = itertools.count(1)
    crashes = []
    disturbed = [trio.current_time()]
    workers = []

    async def add():
        worker = Worker(f"w-{next(numbers)}", service="plain")
        workers.append(worker)
        await world.add_upstream(worker)
        world._nursery.start_soon(crash, worker)

    async def crash(worker):
        """Wait for a worker's crash; a new one comes some seconds later."""
        await worker.crashed.wait()
        crashes.append(trio.current_time())
        record.write("crashed", worker=worker.name)
        world.links[worker.name].cut(Cut.RESET)
        world._nursery.start_soon(leave, worker)
        await trio.sleep(BACK_AFTER)
        await add()

    async def leave(worker):
        await trio.sleep(ENTRY_LEFT)
        world.unregister(worker)

    # As on the sheets: what may not be repeated is sent to one worker.
    world.store.put(protocol.CONFIGURATION_KEY, make_configuration(7))
    for worker in [each for each in world.upstreams if each.service == "plain"]:
        world.unregister(worker)
    for _ in range(WORKERS):
        await add()
    await wait_ready(world.nodes)

    async def come_again():
        """Wait until all nodes are in touch, then send the request to them in turn."""
        await trio.sleep(STABLE_WINDOW + MARGIN)
        for number in range(COMINGS):
            node = world.nodes[number % NODES]
            for kind, body in (("poison", BODY), ("sound", b"sound")):
                name = f"{kind}-{next(numbers)}"
                world._nursery.start_soon(ask_once, node, name, body)
            await trio.sleep(PERIOD)

    async def ask_once(node, name, body):
        target = TARGET if body == BODY else f"/record/{name}"
        await ask(record, node, target, name, body=body)

    await come_again()
    assert len(crashes) >= 3, "the request did not crash three workers"
    third = crashes[2]
    for _ in range(KILLS):
        if trouble:
            for node in world.nodes:
                node.signal(signal.SIGKILL)
            disturbed.append(trio.current_time())
            record.write("killed", nodes=[node.name for node in world.nodes])
            for node in world.nodes:
                node.process.wait()
                node.start()
            await wait_ready(world.nodes)
            disturbed.append(trio.current_time())
        await come_again()
    await trio.sleep(1.0)
    late = []
    for worker in workers:
        for arrival in worker.arrivals:
            if arrival.body != BODY:
                continue
            name = arrival.headers[b"attempt-id"].decode()
            record.write("ran", worker=worker.name, id=name, ran=arrival.ran)
            calm = all(not at <= arrival.begun < at + STABLE_WINDOW for at in disturbed)
            if calm and arrival.begun > third + STABLE_WINDOW:
                late.append(name)
    record.write("late", ids=late)
    if len(set(late)) <= MOST:
        return None
    return (
        f"{len(set(late))} retries reached workers later than {STABLE_WINDOW} s after "
        f"the third crash; at most {MOST} may"
    )


play(pathlib.Path(__file__).parent, run_case, NODES)
