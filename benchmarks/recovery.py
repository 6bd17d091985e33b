"""Longest gap that callers see in an answer after a fault, in virtual time.

Run it with ``python -m benchmarks.recovery``.
"""

import typing as t
from dataclasses import dataclass

from tests import invariants
from tests.standins.fleet_configuration import LAYER_COUNT, make_configuration
from tests.standins.virtual_fleet import VirtualFleet

ENGINES_PER_STAGE = 13
NODES = 7
ANSWERS = 130
LENGTH = 120
SEEDS = 3
CLIENT_DELAYS = {"courts": 0.001, "league": 0.003}  # seconds, one way


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; `inject` sets it on a fleet and a chain in use."""

    name: str
    target: float
    inject: t.Callable[[VirtualFleet, tuple[str, ...]], None]


def crash_stage(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.crash(chain[1])


def crash_head(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.crash(chain[0])


def crash_three(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    for name in chain:
        fleet.engines.crash(name)


def crash_data_center(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    for name, engine in list(fleet.engines.engines.items()):
        if engine.data_center == "dc-1":
            fleet.engines.crash(name)


def cut_link(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.cut_link(chain[0], chain[1])


def freeze_stage(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.freeze(chain[1])


def freeze_head(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.freeze(chain[0])


def slow_link(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.slow_link(chain[0], chain[1], 0.3)


def stop_link(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.slow_link(chain[0], chain[1], 30.0)


def crash_request(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.ask("node-1", "CRASH@0", LENGTH)


def crash_later(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.ask("node-1", "CRASH@10", LENGTH)


FAULTS = (
    Fault("middle stage crashes", 1.0, crash_stage),
    Fault("head crashes", 1.0, crash_head),
    Fault("three stages crash at once", 1.0, crash_three),
    Fault("data centre crashes", 1.0, crash_data_center),
    Fault("link is cut", 1.0, cut_link),
    Fault("middle stage freezes", 3.0, freeze_stage),
    Fault("head freezes", 3.0, freeze_head),
    Fault("link is 0.3 s slower", 3.0, slow_link),
    Fault("link stops silently", 3.0, stop_link),
    Fault("request crashes stages", 1.0, crash_request),
    Fault("request crashes them at token 10", 1.0, crash_later),
)


def measure(fault: Fault, seed: int) -> tuple[float, int, int, float]:
    """Return longest gap, answers hit, answers lost and extra work's share."""
    fleet = VirtualFleet(make_configuration(ENGINES_PER_STAGE), NODES, seed)
    for index in range(ANSWERS):
        fleet.ask(f"node-{index % NODES}", f"question {index}", LENGTH)
        fleet.run(0.01)
    fault.inject(fleet, fleet.engines.running[0])
    fleet.run(50)
    findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
    if findings:
        raise AssertionError(findings[0])
    innocent = []
    for caller in fleet.callers.values():
        if "CRASH" not in caller.messages[0]["content"]:
            innocent.append(caller)
    gap = max(caller.longest_gap for caller in innocent)
    hit = sum(caller.longest_gap > 0.06 for caller in innocent)
    lost = 0
    for caller in innocent:
        lost += not isinstance(caller.receipt.ending, invariants.Completed)
    extra, load = invariants.measure_extra_work(fleet.journal)
    return gap, hit, lost, extra / load


def main() -> None:
    """Print the table."""
    # A client's delay moves all of its tokens alike and leaves the gaps.
    print(f"{3 * ENGINES_PER_STAGE} engines, {NODES} nodes, {ANSWERS} answers,")
    print(f"{SEEDS} seeds; the same for client delays {CLIENT_DELAYS}")
    print(f"{'fault':34}{'target s':>9}{'gap s':>8}{'hit':>6}{'lost':>6}{'extra':>8}")
    for fault in FAULTS:
        rows = [measure(fault, seed) for seed in range(SEEDS)]
        gap = max(row[0] for row in rows)
        hit = max(row[1] for row in rows)
        lost = sum(row[2] for row in rows)
        extra = max(row[3] for row in rows)
        line = f"{fault.name:34}{fault.target:9.1f}{gap:8.3f}{hit:6}{lost:6}"
        print(f"{line}{extra:8.1%}")


if __name__ == "__main__":
    main()
