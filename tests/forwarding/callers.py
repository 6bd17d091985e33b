"""Callers of one node on a virtual clock, over engines that hold room for seconds."""

import random
from collections import Counter
from dataclasses import dataclass

import trio

from tarragonrudder.core.forwarding.answer_lengths import Declared
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.job import Job, Sender
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.path_waiters import PathWaiters
from tarragonrudder.edges.streaming import _Stream
from tests.forwarding.fleet import make_request

TIMEOUT = 20.0  # seconds until a caller's deadline
RETRIES = 1  # of a caller whose request was refused


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

    @property
    def name(self):
        return self.account.name if self.account else self.route.name


@dataclass(frozen=True)
class Refusal:
    """A refusal, and whether a search by a new request would have found room."""

    name: str
    waited: float
    problem: object
    has_room: bool


class Callers:
    """Sends requests of some kinds through a node's line, and counts what began."""

    def __init__(self, state, hold_time=2.0, seed=1, retries=RETRIES):
        self.state = state
        self.source = random.Random(seed)
        self.hold_time = hold_time
        self.retries = retries
        self.waiters = PathWaiters(state.urgencies, state.account_shares)
        self.sender = Sender(state, None, self.note)
        self.arrived, self.begun = Counter(), Counter()
        self.refused, self.waits, self.events = [], [], Counter()

    def note(self, event, request=None, **fields):
        self.events[event] += 1

    async def play(self, kinds, length, burst=(0.0, 0.0), fault=None, period=None):
        """Send requests for some seconds.

        Parameters
        ----------
        burst : tuple of float
            When the burst begins and ends.
        fault : tuple or None
            A time, and what happens then.
        period : float or None
            Seconds from one burst to the next.
        """
        async with trio.open_nursery() as nursery:
            self.waiters.start(BackgroundTasks(nursery, fail))
            for kind in kinds:
                nursery.start_soon(self.send_all, nursery, kind, length, burst, period)
            if fault is not None:
                await trio.sleep(fault[0])
                fault[1]()

    async def send_all(self, nursery, kind, length, burst, period):
        begin = trio.current_time()
        while (now := trio.current_time() - begin) < length:
            phase = now % period if period else now
            factor = kind.factor if burst[0] <= phase < burst[1] else 1.0
            nursery.start_soon(self.ask, kind)
            await trio.sleep(self.source.expovariate(kind.rate * factor))

    async def ask(self, kind, deadline=None, retries=0):
        """Send one request, and again as told; count whether it found a path."""
        arrived = trio.current_time()
        if deadline is None:
            deadline = arrived + TIMEOUT
            retries = self.retries
            self.arrived[kind.name] += 1
        request = make_request(
            request_id=f"r{self.source.random()}",
            fingerprint=f"f{self.source.random()}",
            timeout=deadline - arrived,
            arrived=arrived,
        )
        job = Job(request, kind.route, kind.account, "engines", deadline)
        job.urgency = self.state.urgencies.find_level(
            kind.route, kind.account, "engines"
        )
        self.state.urgencies.note_arrival("engines", job.urgency, arrived)
        stream = _Stream(job, None, self.sender, None, self.waiters)
        found = await stream._find_path()
        now = trio.current_time()
        if isinstance(found, Path):
            self.begun[kind.name] += 1
            self.waits.append((kind.name, now - (deadline - TIMEOUT)))
            await self.run(found)
            stream.close()
            return
        again = self.state.find_path(
            request, kind.route, "engines", frozenset(), frozenset(), False, now, now
        )
        has_room = isinstance(again, Path)
        self.refused.append(Refusal(kind.name, now - arrived, found, has_room))
        if retries > 0:
            limit = (deadline - now) / 3.0
            await trio.sleep(min(limit, found.retry_after))
            await self.ask(kind, deadline, retries - 1)

    async def run(self, path):
        """Hold room on a path for the time of a stream."""
        load = PathLoad(self.state.usage_tracker, 760, Declared(216))
        load.switch_to(path)
        await trio.sleep(self.source.uniform(0.5, 1.5) * self.hold_time)
        load.release()
        self.state.room.note_end("engines", trio.current_time())

    def measure_share(self, name):
        """Return how often the requests of a kind began."""
        return self.begun[name] / self.arrived[name]


def fail(failure):
    raise AssertionError(failure.trace)
