"""A part of prompts that crashes each engine that begins to write an answer on it."""

import collections
import pathlib
import random

import trio

from tests.site.site import Answer, send_request
from tests.site.upstream import UpstreamStandIn
from tests.soak.callers import DEADLINE, Call, connect
from tests.soak.judge import CRASHES_TO_KNOW, judge, judge_crashing_part
from tests.soak.proxy import Mode
from tests.soak.run import NODES, Report, find_exits
from tests.soak.world import World

ENGINES = 6
SOUND_CALLERS = 2  # of each group
CULPRIT_CALLERS = 3
BEFORE = 3.0  # seconds of sound requests alone
CRASH_LIMIT = 12.0  # seconds for the crashes after which the part is to be known
PAUSE = 0.2  # seconds between two calls of one caller, at most
AWAY = (1.5, 4.0)  # seconds, shortest and longest, until a crashed engine is back
PARTS = 4  # of a prompt
TOKENS = 100  # of a part
KEY, OTHER_KEY = "key-1", "key-2"


class CrashingPart:
    """Plays one run.

    Attributes
    ----------
    part : str
        The part of prompts that crashes engines.
    crashes : list of float
        Moments of crashes.
    sound : dict of str to list of Call
        Calls without the part, by what they share with those that have it.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._place = source.randrange(PARTS - 1)
        self._shared = [f"{number:x}" for number in source.sample(range(2**32), PARTS)]
        self._numbers = iter(range(1, 2**32))
        self.part = self._shared[self._place]
        self.crashes: list[float] = []
        self.sound: dict[str, list[Call]] = collections.defaultdict(list)
        self.culprits: list[Call] = []

    async def run(self, length: float) -> float:
        """Play for `length` seconds after the crashes by which the part is known.

        Return when callers began to send the part.
        """
        engines = [each for each in self._world.upstreams if each.service == "engines"]
        async with trio.open_nursery() as nursery:
            for engine in engines:
                nursery.start_soon(self._crash, engine)
            for number in range(len(engines), ENGINES):
                nursery.start_soon(self._add, f"e-{number}")
            for _ in range(SOUND_CALLERS):
                for group in self._make_groups():
                    nursery.start_soon(self._call, *group)
            await trio.sleep(BEFORE)
            begun = trio.current_time()
            for _ in range(CULPRIT_CALLERS):
                nursery.start_soon(self._call, self.culprits, KEY, self._shared)
            with trio.move_on_after(CRASH_LIMIT):
                while len(self.crashes) < CRASHES_TO_KNOW:
                    await trio.sleep(0.02)
            await trio.sleep(length)
            nursery.cancel_scope.cancel()
        return begun

    def _make_groups(self) -> list[tuple[list[Call], str, list[str]]]:
        """Return where sound calls are noted, with their key and parts."""
        sound = list(self._shared)
        sound[self._place] = "a1"
        other = ["b2", *sound[1:]]
        groups = [
            (self.sound["its key and other parts"], KEY, sound),
            (self.sound["its key"], KEY, other),
        ]
        if self._place > 0:
            name = "its other parts, with another key"
            groups.append((self.sound[name], OTHER_KEY, sound))
        return groups

    async def _add(self, name: str) -> None:
        engine = UpstreamStandIn(name, layers=(0, 79))
        await self._world.add_upstream(engine)
        await self._crash(engine)

    async def _crash(self, engine: UpstreamStandIn) -> None:
        """Have an engine crash on the part, and come back under a new name."""
        engine.crash_part = self.part
        engine.crash_after = self._random.randrange(2)
        await engine.crashed.wait()
        now = trio.current_time()
        self.crashes.append(now)
        link = self._world.links[engine.name]
        link.mode = Mode.REFUSE
        link.reset()
        link.troubled.append((now, float("inf")))
        self._world.unregister(engine)
        await trio.sleep(self._random.uniform(*AWAY))
        await self._add(f"x-{next(self._numbers)}")

    async def _call(self, calls: list[Call], key: str, parts: list[str]) -> None:
        while True:
            number = next(self._numbers)
            node = self._random.choice(self._world.nodes)
            target, body = f"/draft/{number}", b"body %d" % number
            # The last part is the request's own.
            ids = [*parts[:-1], f"{number:x}"]
            prefix = ",".join(f"{part}:{TOKENS}" for part in ids)
            now = trio.current_time()
            call = Call(f"call-{number}", target, key, body, node.name, now)
            calls.append(call)
            stream = await connect(node)
            if stream is not None:
                call.connected = True
                call.begun = trio.current_time()
                try:
                    call.answer = await send_request(
                        stream,
                        *(target, call.name, key, body, DEADLINE),
                        headers=(("Prompt-Prefix", prefix),),
                    )
                except (trio.BrokenResourceError, OSError):
                    call.answer = Answer()
                call.ended = trio.current_time()
                await trio.aclose_forcefully(stream)
            await trio.sleep(PAUSE * self._random.random())


async def run_crashes(folder: pathlib.Path, seed: int, length: float) -> Report:
    """Play a run with a crashing part and no other trouble, and judge it.

    Parameters
    ----------
    length : float
        Seconds after the crashes by which the part is known.
    """
    source = random.Random(seed)
    async with trio.open_nursery() as nursery:
        world = World(folder, nursery, seed, sticky=True)
        play = CrashingPart(world, source)
        try:
            await world.start(NODES)
            begun = await play.run(length)
            calls = [*play.culprits]
            for group in play.sound.values():
                calls += group
            findings = [
                *find_exits(world),
                *judge(
                    calls,
                    world.upstreams,
                    {name: link.troubled for name, link in world.links.items()},
                    world.nodes,
                    *((), float("inf"), (), world.find_relays()),
                ),
                *judge_crashing_part(
                    play.part, world.upstreams, play.crashes, play.sound, begun
                ),
            ]
        finally:
            world.close()
        nursery.cancel_scope.cancel()
    answered = sum(call.status == 200 for call in calls)
    return Report(seed, len(calls), answered, tuple(findings))
