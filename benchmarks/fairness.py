"""On-time share of small client accounts, with and without large ones."""

from dataclasses import dataclass

from benchmarks.fleet import Site
from benchmarks.outcome import Outcome
from benchmarks.scenarios import DURATION, FEW_LARGE_ACCOUNT_SHARES, SEED, TAIL, WARM_UP
from benchmarks.simulation import Setup, Simulation

LOADS = (0.8, 1.1, 1.3, 2.0)
LARGE_ACCOUNT_NAMES = {"account-0", "account-1"}


@dataclass(frozen=True, slots=True)
class Fairness:
    """Shares of requests that are on time at one load."""

    load: float
    large: float
    small: float
    small_alone: float


def measure_fairness(site: Site) -> list[Fairness]:
    """Measure the small accounts together with two large ones, and alone."""
    small_only = (0.0, 0.0, *FEW_LARGE_ACCOUNT_SHARES[2:])
    small_share = sum(small_only)
    rows = []
    for load in LOADS:
        all_outcomes = _run(site, load, FEW_LARGE_ACCOUNT_SHARES)
        small_outcomes = _run(site, load * small_share, small_only)
        rows.append(
            Fairness(
                load,
                _compute_on_time_share(all_outcomes, large=True),
                _compute_on_time_share(all_outcomes, large=False),
                _compute_on_time_share(small_outcomes, large=False),
            )
        )
    return rows


def format_fairness(rows: list[Fairness]) -> str:
    """Return the shares as a Markdown table."""
    lines = [
        "| load | two large accounts on time | eight small ones | small ones alone |",
        "|---:|---:|---:|---:|",
    ]
    for each in rows:
        lines.append(
            f"| {each.load:.1f} | {each.large:.3f} | {each.small:.3f} "
            f"| {each.small_alone:.3f} |"
        )
    return "\n".join(lines)


def _run(site: Site, load: float, shares: tuple[float, ...]) -> list[Outcome]:
    setup = Setup(site, SEED, DURATION, lambda now: load, account_shares=shares)
    return Simulation(setup).run()


def _compute_on_time_share(outcomes: list[Outcome], large: bool) -> float:
    selected = [
        each
        for each in outcomes
        if (each.account in LARGE_ACCOUNT_NAMES) is large
        and WARM_UP <= each.arrived_at < DURATION - TAIL
    ]
    return sum(each.on_time for each in selected) / max(1, len(selected))
