"""When answers of unknown length end on engines of unequal speed."""

import heapq
import math
import random
import typing as t
from dataclasses import dataclass, field, replace

import pytest

from tarragonrudder.core.forwarding.answer_lengths import (
    AnswerLengths,
    Declared,
    LengthKey,
    compute_held,
    compute_mean,
    compute_reserve,
)
from tarragonrudder.core.forwarding.path import (
    PathFinder,
    ResourceDemand,
    measure_capacity,
)
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker
from tests.forwarding.fleet import PROFILE, make_engine

SPREAD = 1.5  # standard deviation of the logarithm of answers' lengths
MISS = 0.7  # standard deviation of the logarithm of declared by real length
MEDIAN_TOKENS = 110.0
EVENT_TOKENS = 5
MAX_TOKENS = 4000
PROMPT_TOKENS = 760
KEY = LengthKey("engines", "draft", True)
SMALL_MODEL = replace(PROFILE, layer_bytes=0.1e9)
ENGINES = [
    *(make_engine(f"fast-{n}", 0, 79, kind="fast") for n in range(2)),
    *(make_engine(f"small-{n}", 0, 79, kind="small") for n in range(8)),
    *(make_engine(f"slow-{n}", 0, 79, kind="slow") for n in range(6)),
]


@dataclass(slots=True)
class Stream:
    arrived: float
    tokens: int
    declared: int
    length: t.Any = None
    held: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """By how much answers ended later than alone on the fastest engine, sorted."""

    late: list[float]
    preemptions: int

    def get_share(self, share: float) -> float:
        return self.late[int(share * (len(self.late) - 1))]


@dataclass(slots=True)
class VirtualEngine:
    """Writes one token for each stream in a step, which is longer with more of them.

    When its memory is full, the newest streams wait until there is room again.
    """

    factor: float
    capacity: float
    clock: float = 0.0
    written: float = 0.0  # by each stream that runs since the start
    streams: list[tuple[float, int, Stream]] = field(default_factory=list)
    preempted: list[tuple[int, float, Stream]] = field(default_factory=list)
    preemptions: int = 0

    def advance(self, now: float) -> None:
        self.written += (now - self.clock) / self.step
        self.clock = now
        used = self.measure_memory()
        while used > self.capacity and len(self.streams) > 1:
            newest = max(self.streams, key=lambda each: each[1])
            self.streams.remove(newest)
            heapq.heapify(self.streams)
            end, number, stream = newest
            used -= PROMPT_TOKENS + stream.tokens - (end - self.written)
            heapq.heappush(self.preempted, (number, end - self.written, stream))
            self.preemptions += 1
        while self.preempted:
            number, left, stream = self.preempted[0]
            used += PROMPT_TOKENS + stream.tokens - left
            if used > self.capacity - PROMPT_TOKENS and self.streams:
                break
            heapq.heappop(self.preempted)
            heapq.heappush(self.streams, (self.written + left, number, stream))

    def measure_memory(self) -> float:
        return sum(
            PROMPT_TOKENS + stream.tokens - (end - self.written)
            for end, _, stream in self.streams
        )

    @property
    def step(self) -> float:
        count = len(self.streams)
        return self.factor * (PROFILE.step_time + count * PROFILE.step_time_per_request)

    @property
    def next_end(self) -> float:
        if not self.streams:
            return math.inf
        return self.clock + (self.streams[0][0] - self.written) * self.step


def play_answers(
    mode: str, seed: int, rate: float, seconds: float, is_followed: bool = True
) -> Outcome:
    """Place answers by what is declared, learned or known of their lengths."""
    source = random.Random(seed)
    tracker, lengths = UsageTracker(), AnswerLengths()
    finder = PathFinder(
        "engines",
        SMALL_MODEL,
        tracker,
        SlownessTracker(),
        UpstreamLimits("n1", random.Random(seed)),
        random.Random(seed),
    )
    engines = {
        each.name: VirtualEngine(
            SMALL_MODEL.kinds[each.kind].step_factor,
            measure_capacity(SMALL_MODEL, SMALL_MODEL.kinds[each.kind], 80),
        )
        for each in ENGINES
    }
    late: list[float] = []
    arrival, serial = source.expovariate(rate), 0
    while True:
        name = min(engines, key=lambda each: engines[each].next_end)
        end = engines[name].next_end
        if min(arrival, end) == math.inf:
            return Outcome(
                sorted(late), sum(each.preemptions for each in engines.values())
            )
        now = min(arrival, end)
        if end <= arrival:
            engine = engines[name]
            engine.advance(now)
            stream = heapq.heappop(engine.streams)[2]
            engine.advance(now)
            tracker.finish((name,), stream.held)
            lengths.observe(
                KEY, stream.declared, math.ceil(stream.tokens / EVENT_TOKENS), now
            )
            alone = stream.tokens * 2.4 * PROFILE.step_time
            late.append(now - stream.arrived - alone)
            continue
        stream = draw_stream(source, now)
        arrival = now + source.expovariate(rate)
        if arrival > seconds:
            arrival = math.inf
        match mode:
            case "declared":
                stream.length = Declared(min(MAX_TOKENS, stream.declared))
            case "learned":
                stream.length = lengths.estimate(
                    KEY, stream.declared, MAX_TOKENS, 216.0, now
                )
                if is_followed:
                    update_streams(engines, tracker, now)
            case "known":
                stream.length = Declared(stream.tokens)
        expected = compute_mean(stream.length)
        demand = ResourceDemand(
            PROMPT_TOKENS, expected, "a", reserved_tokens=compute_reserve(stream.length)
        )
        path = finder.find(ENGINES, demand)
        stream.held = PROMPT_TOKENS + expected
        if is_followed:
            stream.held = PROMPT_TOKENS + compute_held(stream.length, 0)
        tracker.start(path.names, stream.held)
        engine = engines[path.names[0]]
        engine.advance(now)
        serial += 1
        heapq.heappush(engine.streams, (engine.written + stream.tokens, serial, stream))


def draw_stream(source: random.Random, now: float) -> Stream:
    tokens = MEDIAN_TOKENS * math.exp(SPREAD * source.gauss(0.0, 1.0))
    declared = tokens * math.exp(MISS * source.gauss(0.0, 1.0))
    return Stream(now, max(1, min(MAX_TOKENS, round(tokens))), max(1, round(declared)))


def update_streams(
    engines: dict[str, VirtualEngine], tracker: UsageTracker, now: float
) -> None:
    for name, engine in engines.items():
        engine.advance(now)
        parts = [(end - engine.written, each) for end, _, each in engine.streams]
        parts += [(left, each) for _, left, each in engine.preempted]
        for left, stream in parts:
            events = max(0, round(stream.tokens - left)) // EVENT_TOKENS
            held = PROMPT_TOKENS + compute_held(stream.length, events)
            tracker.progress((name,), held - stream.held)
            stream.held = held


def test_followed_streams_are_preempted_less():
    # Load pattern: memory binds; a preempted stream pauses in mid-answer.
    counts = []
    for is_followed in (False, True):
        plays = [play_answers("learned", n, 80.0, 40.0, is_followed) for n in (1, 2, 3)]
        counts.append(sum(play.preemptions for play in plays))
    assert counts[1] < counts[0]


@pytest.mark.parametrize("rate", [40.0, 60.0])
def test_learned_lengths_come_near_to_known_ones(rate):
    # Load pattern: answers of very different lengths on engines of unequal speed. The
    # best possible choice knows each length beforehand.
    ends = {}
    for mode in ("declared", "learned", "known"):
        plays = [play_answers(mode, seed, rate, 25.0) for seed in (1, 2, 3)]
        for share in (0.9, 0.99, 1.0):
            ends[mode, share] = sum(play.get_share(share) for play in plays) / 3
        assert len(plays[0].late) > 0.8 * 25.0 * rate
    for share in (0.9, 0.99):
        gap = ends["declared", share] - ends["known", share]
        assert gap > 0.0
        assert ends["declared", share] - ends["learned", share] > 0.5 * gap
    assert ends["learned", 1.0] < ends["declared", 1.0]
