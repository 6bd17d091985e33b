"""Prints tables of the policy under load, and writes them into the docs."""

import pathlib
import time
import typing as t
from dataclasses import dataclass, replace

from benchmarks import queue_order
from benchmarks.fairness import format_fairness, measure_fairness
from benchmarks.fleet import make_site
from benchmarks.outcome import Figures, Outcome, compute_figures
from benchmarks.plot import draw_recoveries
from benchmarks.recovery_time import Recovery, measure_recoveries
from benchmarks.scenarios import (
    DURATION,
    POLICIES,
    TAIL,
    Scenario,
    list_scenarios,
)
from benchmarks.simulation import Simulation

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PAGE = DOCS / "benchmarks.md"
TABLE_BEGIN = "<!-- table begin -->"
TABLE_END = "<!-- table end -->"


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    scenario: str
    policy: str
    figures: Figures
    recovery: str = "-"


def main() -> None:
    """Run everything, print the tables, and update the page and the plot."""
    started_at = time.monotonic()
    today = make_site("courts", 3, 0.001)
    league = make_site("league", 8, 0.003)
    rows = []
    outcomes_by_run: dict[tuple[int, str], list[Outcome]] = {}
    for scenario in list_scenarios(today, league):
        rows.extend(_run_scenario(scenario, outcomes_by_run))
    recoveries = measure_recoveries(today)
    rows.extend(_list_recoveries(recoveries))
    parts = [
        f"Bound: {today.bound:.0f} tokens/s (courts), {league.bound:.0f} (league).",
        _format_figures(rows),
        _format_queue_ages(recoveries),
        format_fairness(measure_fairness(today)),
        queue_order.format_orders(queue_order.compare_orders()),
    ]
    text = "\n\n".join(parts)
    print(text)
    _write_page(text)
    draw_recoveries(recoveries, DOCS / "recovery.svg")
    print(f"\n{time.monotonic() - started_at:.0f} s")


def _run_scenario(
    scenario: Scenario, outcomes_by_run: dict[tuple[int, str], list[Outcome]]
) -> t.Iterator[Row]:
    """Yield a row for each policy; runs of the same setup are reused."""
    for policy, selector in POLICIES.items():
        key = (id(scenario.setup), policy)
        if key not in outcomes_by_run:
            outcomes_by_run[key] = Simulation(
                replace(scenario.setup, selector=selector)
            ).run()
        bound = scenario.site.bound
        begin = scenario.measured_from
        figures = compute_figures(outcomes_by_run[key], begin, DURATION - TAIL, bound)
        yield Row(scenario.name, policy, figures)


def _list_recoveries(recoveries: list[Recovery]) -> t.Iterator[Row]:
    for each in recoveries:
        seconds = "not reached" if each.seconds is None else f"{each.seconds:.0f} s"
        yield Row(each.name, "flow plan", each.figures, seconds)


def _format_figures(rows: list[Row]) -> str:
    lines = [
        "| scenario | policy | share of bound | on time | not run | late "
        "| first token p50 | p95 | between tokens p95 | recovery |",
        "|---|---|---:|---:|---:|---:|---:|---:|---:|---:|",
    ]
    for row in rows:
        each = row.figures
        cells = [
            row.scenario,
            row.policy,
            f"{each.share_of_bound:.3f}",
            f"{each.on_time:.3f}",
            f"{each.not_run:.3f}",
            f"{each.late:.3f}",
            f"{each.first_p50:.2f} s",
            f"{each.first_p95:.2f} s",
            f"{each.gap_p95 * 1e3:.0f} ms",
            row.recovery,
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_queue_ages(recoveries: list[Recovery]) -> str:
    lines = [
        "| fault | bound left | oldest waiting request, most | 20 s after |",
        "|---|---:|---:|---:|",
    ]
    for each in recoveries:
        most = max(age for _, age in each.queue_ages)
        begin = each.queue_ages[0][0]
        later = [age for at, age in each.queue_ages if at >= begin + 26.0]
        lines.append(
            f"| {each.name} | {each.remaining_bound:.0f} tokens/s | {most:.2f} s "
            f"| {later[0] if later else 0.0:.2f} s |"
        )
    return "\n".join(lines)


def _write_page(text: str) -> None:
    page = PAGE.read_text()
    before, _, rest = page.partition(TABLE_BEGIN)
    _, _, after = rest.partition(TABLE_END)
    PAGE.write_text(f"{before}{TABLE_BEGIN}\n\n{text}\n\n{TABLE_END}{after}")


if __name__ == "__main__":
    main()
