"""Outcomes of the requests of one run, and statistics over them."""

from dataclasses import dataclass

from benchmarks.engines import PREFILL_WORK

SECONDS_PER_BIN = 2.0


@dataclass(slots=True)
class Outcome:
    """Outcome of one request as its caller saw it; times in seconds.

    Attributes
    ----------
    problem : str or None
        Kind of the error that ended the request.
    """

    account: str
    arrived_at: float
    length: int
    deadline: float
    started_at: float | None = None
    first_token_at: float | None = None
    last_token_at: float | None = None
    ended_at: float | None = None
    problem: str | None = None

    @property
    def work(self) -> float:
        """Work in tokens, including the prompt's."""
        return self.length + PREFILL_WORK

    @property
    def on_time(self) -> bool:
        """Whether the whole answer arrived by the deadline."""
        if self.ended_at is None or self.problem is not None:
            return False
        return self.ended_at <= self.deadline


@dataclass(frozen=True, slots=True)
class Figures:
    """Statistics of the requests that arrived in a period.

    Attributes
    ----------
    share_of_bound : float
        Work per second of the answers that ended on time, over the bound.
    on_time, not_run : float
        Shares of requests answered on time and refused before they ran.
    late : float
        Share of the remaining requests.
    first_p50, first_p95, gap_p95 : float
        Seconds to the first token and between tokens of an answer.
    """

    share_of_bound: float
    on_time: float
    late: float
    not_run: float
    first_p50: float
    first_p95: float
    gap_p95: float


def compute_figures(
    outcomes: list[Outcome], begin: float, end: float, bound: float
) -> Figures:
    """Compute the figures of the requests that arrived between two times."""
    chosen = [each for each in outcomes if begin <= each.arrived_at < end]
    done = [each for each in outcomes if each.on_time]
    work = sum(each.work for each in done if begin <= (each.ended_at or 0.0) < end)
    first_token_delays = [
        e.first_token_at - e.arrived_at for e in chosen if e.first_token_at is not None
    ]
    token_gaps = []
    for each in chosen:
        if (
            each.first_token_at is None
            or each.last_token_at is None
            or not each.on_time
        ):
            continue
        token_gaps.append(
            (each.last_token_at - each.first_token_at) / max(1, each.length - 1)
        )
    count = max(1, len(chosen))
    on_time = sum(each.on_time for each in chosen)
    not_run = sum(
        each.problem is not None and each.started_at is None for each in chosen
    )
    return Figures(
        work / (bound * (end - begin)),
        on_time / count,
        (len(chosen) - on_time - not_run) / count,
        not_run / count,
        compute_quantile(first_token_delays, 0.5),
        compute_quantile(first_token_delays, 0.95),
        compute_quantile(token_gaps, 0.95),
    )


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_on_time_series(
    outcomes: list[Outcome], begin: float, end: float, capacity: float
) -> list[tuple[float, float]]:
    """Return (time, on-time work over possible work) by arrival time.

    Parameters
    ----------
    capacity : float
        Tokens per second that the fleet can carry. If less is offered, the
        offered work is the possible work.
    """
    series = []
    at = begin
    while at + SECONDS_PER_BIN <= end:
        chosen = [e for e in outcomes if at <= e.arrived_at < at + SECONDS_PER_BIN]
        offered = sum(each.work for each in chosen)
        done = sum(each.work for each in chosen if each.on_time)
        possible = min(offered, capacity * SECONDS_PER_BIN)
        series.append((at, done / possible if possible > 0.0 else 1.0))
        at += SECONDS_PER_BIN
    return series


def find_recovery_time(
    series: list[tuple[float, float]], fault: float, share: float = 0.95
) -> float | None:
    """Return the seconds from a fault until a share is reached for good.

    Two bins are averaged, because the arrivals in a single one vary. None means
    that the share was not reached and kept to the end of the series.
    """
    recovered: float | None = None
    for before, after in zip(series, series[1:], strict=False):
        if after[0] + SECONDS_PER_BIN <= fault:
            continue
        kept = (before[1] + after[1]) / 2.0 >= share
        if not kept:
            recovered = None
        elif recovered is None:
            recovered = max(0.0, before[0] - fault)
    return recovered
