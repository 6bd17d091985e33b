"""Callers of one node on a virtual clock, over engines that hold room for seconds."""

import random
from collections import Counter
from dataclasses import dataclass

import trio

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.job import Job, Sender
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.path_waiters import PathWaiters
from tarragonrudder.edges.streaming import _Stream
from tests.forwarding.fleet import make_request


@dataclass(frozen=True)
class Kind:
    """Requests of one route: how many a second, and until when a burst lasts.

    Attributes
    ----------
    factor : float
        How many times as many come during the burst.
    """

    route: object
    rate: float
    factor: float = 1.0
    account: object = None


class Callers:
    """Sends requests of some kinds through a node's line, and counts what began."""

    def __init__(self, state, hold_time=2.0, seed=1):
        self.state = state
        self.source = random.Random(seed)
        self.hold_time = hold_time
        self.waiters = PathWaiters(state.urgencies)
        self.sender = Sender(state, None, self.note)
        self.arrived, self.begun = Counter(), Counter()
        self.refused, self.waits, self.events = [], [], Counter()

    def note(self, event, request=None, **fields):
        self.events[event] += 1

    async def play(self, kinds, length, burst=(0.0, 0.0), fault=None):
        """Send requests for some seconds; `fault` is a time and what happens then."""
        async with trio.open_nursery() as nursery:
            self.waiters.start(BackgroundTasks(nursery, fail))
            for kind in kinds:
                nursery.start_soon(self.send_all, nursery, kind, length, burst)
            if fault is not None:
                await trio.sleep(fault[0])
                fault[1]()

    async def send_all(self, nursery, kind, length, burst):
        begin = trio.current_time()
        while (now := trio.current_time() - begin) < length:
            factor = kind.factor if burst[0] <= now < burst[1] else 1.0
            nursery.start_soon(self.ask, kind)
            await trio.sleep(self.source.expovariate(kind.rate * factor))

    async def ask(self, kind):
        """Send one request; count whether it found a path."""
        arrived = trio.current_time()
        request = make_request(
            request_id=f"r{self.source.random()}",
            fingerprint=f"f{self.source.random()}",
            arrived=arrived,
        )
        name = kind.account.name if kind.account else kind.route.name
        job = Job(request, kind.route, kind.account, "engines", arrived + 20.0)
        job.urgency = self.state.urgencies.find_level(
            kind.route, kind.account, "engines"
        )
        self.state.urgencies.note_arrival("engines", job.urgency, arrived)
        self.arrived[name] += 1
        stream = _Stream(job, None, self.sender, None, self.waiters)
        found = await stream._find_path()
        waited = trio.current_time() - arrived
        if not isinstance(found, Path):
            self.refused.append((name, waited, found))
            return
        self.begun[name] += 1
        self.waits.append((name, waited))
        load = PathLoad(self.state.usage_tracker, 976)
        load.switch_to(found)
        await trio.sleep(self.source.uniform(0.5, 1.5) * self.hold_time)
        load.release()

    def measure_share(self, name):
        """Return how often the requests of a kind began."""
        return self.begun[name] / self.arrived[name]


def fail(failure):
    raise AssertionError(failure.trace)
