"""Tail latency of two queue orders: by arrival at the stage or at the system.

Each job passes through all stages once per token, and each engine serves one
batch at a time. An engine takes either the jobs that reached it first (first in,
first out), or those whose request reached the system first (Jo et al., "Request-aware
Cooperative I/O Scheduling for Scale-out Database Applications"). Runs on a
virtual clock.
"""

import heapq
import random
from dataclasses import dataclass

from benchmarks.outcome import compute_quantile

STAGES = 4
ENGINES_PER_STAGE = 4
STEP_SECONDS = 0.008  # per batch
BATCH = 4  # jobs per batch
ANSWER_LENGTHS = (4, 80)  # tokens, least and most
DURATION = 40.0  # seconds
LOADS = (0.6, 0.8, 0.9, 0.95, 1.1)
SEEDS = (1, 2)
DEADLINE_PER_TOKEN = 0.06  # seconds per token within which an answer is on time


@dataclass(slots=True)
class Job:
    """One answer in progress.

    Attributes
    ----------
    route : list of int
        Index of its engine in each stage.
    """

    number: int
    arrived_at: float
    tokens: int
    route: list[int]
    remaining_tokens: int
    stage: int = 0
    first_token_at: float | None = None
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class OrderFigures:
    """Latencies of one order at one load, in seconds, and the share on time.

    The `token_*` values are an answer's whole time per token.
    """

    load: float
    order: str
    first_token_p95: float
    first_token_p99: float
    token_p50: float
    token_p95: float
    token_p99: float
    answer_p95: float
    answer_p99: float
    on_time: float


def compare_orders() -> list[OrderFigures]:
    """Simulate both orders at all loads with the same requests."""
    found = []
    for load in LOADS:
        for order in ("first in, first out", "arrival order"):
            jobs: list[Job] = []
            for seed in SEEDS:
                jobs.extend(_simulate(load, order, seed))
            found.append(_summarize(load, order, jobs))
    return found


def format_orders(figures: list[OrderFigures]) -> str:
    """Return the figures as a Markdown table."""
    lines = [
        "| load | order at each stage | first token p95 | p99 "
        "| time per token p50 | p95 | p99 | whole answer p95 | p99 | on time |",
        "|---:|---|---:|---:|---:|---:|---:|---:|---:|---:|",
    ]
    for each in figures:
        lines.append(
            f"| {each.load:.2f} | {each.order} | {each.first_token_p95:.2f} s "
            f"| {each.first_token_p99:.2f} s | {each.token_p50 * 1e3:.0f} ms "
            f"| {each.token_p95 * 1e3:.0f} ms | {each.token_p99 * 1e3:.0f} ms "
            f"| {each.answer_p95:.2f} s | {each.answer_p99:.2f} s "
            f"| {each.on_time:.3f} |"
        )
    return "\n".join(lines)


def _summarize(load: float, order: str, jobs: list[Job]) -> OrderFigures:
    first_token_times = [
        job.first_token_at - job.arrived_at
        for job in jobs
        if job.first_token_at is not None
    ]
    times_per_token = [
        (job.ended_at - job.arrived_at) / job.tokens
        for job in jobs
        if job.ended_at is not None
    ]
    answer_times = [
        job.ended_at - job.arrived_at for job in jobs if job.ended_at is not None
    ]
    on_time = sum(seconds <= DEADLINE_PER_TOKEN for seconds in times_per_token) / max(
        1, len(jobs)
    )
    return OrderFigures(
        load,
        order,
        compute_quantile(first_token_times, 0.95),
        compute_quantile(first_token_times, 0.99),
        compute_quantile(times_per_token, 0.5),
        compute_quantile(times_per_token, 0.95),
        compute_quantile(times_per_token, 0.99),
        compute_quantile(answer_times, 0.95),
        compute_quantile(answer_times, 0.99),
        on_time,
    )


class _Engine:
    """Serves batches from a queue ordered by a key."""

    def __init__(self) -> None:
        self.queue: list[tuple[int, int, Job]] = []
        self.busy = False


def _simulate(load: float, order: str, seed: int) -> list[Job]:
    source = random.Random(seed)
    rate = load * ENGINES_PER_STAGE * BATCH / STEP_SECONDS / (sum(ANSWER_LENGTHS) / 2)
    engines = [[_Engine() for _ in range(ENGINES_PER_STAGE)] for _ in range(STAGES)]
    jobs: list[Job] = []
    event_queue: list[tuple[float, int, str, object]] = []
    at = 0.0
    while at < DURATION:
        at += source.expovariate(rate)
        route = [source.randrange(ENGINES_PER_STAGE) for _ in range(STAGES)]
        tokens = source.randint(*ANSWER_LENGTHS)
        job = Job(len(jobs), at, tokens, route, tokens)
        jobs.append(job)
        event_queue.append((at, job.number, "arrive", job))
    heapq.heapify(event_queue)
    sequence = len(jobs)

    def enqueue(job: Job, now: float) -> None:
        nonlocal sequence
        engine = engines[job.stage][job.route[job.stage]]
        sequence += 1
        key = job.number if order == "arrival order" else sequence
        heapq.heappush(engine.queue, (key, sequence, job))
        if not engine.busy:
            start_batch(engine, now)

    def start_batch(engine: _Engine, now: float) -> None:
        nonlocal sequence
        batch = []
        while engine.queue and len(batch) < BATCH:
            batch.append(heapq.heappop(engine.queue)[2])
        engine.busy = bool(batch)
        if batch:
            sequence += 1
            heapq.heappush(
                event_queue, (now + STEP_SECONDS, sequence, "done", (engine, batch))
            )

    while event_queue:
        now, _, kind, payload = heapq.heappop(event_queue)
        if now > DURATION + 10.0:
            break
        if kind == "arrive":
            enqueue(payload, now)
            continue
        engine, batch = payload
        for job in batch:
            _advance(job, now)
            if job.remaining_tokens > 0:
                enqueue(job, now)
        engine.busy = False
        start_batch(engine, now)
    return [job for job in jobs if job.arrived_at >= 5.0]


def _advance(job: Job, now: float) -> None:
    """Move a job to its next stage, or to the first stage for its next token."""
    job.stage += 1
    if job.stage < STAGES:
        return
    job.stage = 0
    job.remaining_tokens -= 1
    if job.first_token_at is None:
        job.first_token_at = now
    if job.remaining_tokens == 0:
        job.ended_at = now
