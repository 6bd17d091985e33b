"""Longest gap between tokens that callers see after a fault, in virtual time.

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
ANSWER_LENGTH = 120
SEEDS = 3
CLIENT_DELAYS = {"courts": 0.001, "league": 0.003}  # seconds, one way


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that `inject` applies to a fleet and one of its chains in use.

    `target` is the longest acceptable gap in seconds.
    """

    name: str
    target: float
    inject: t.Callable[[VirtualFleet, tuple[str, ...]], None]


def crash_stage(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.crash(chain[1])


def crash_head(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.engines.crash(chain[0])


def crash_chain(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
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


def send_crashing_request(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.ask("node-1", "CRASH@0", ANSWER_LENGTH)


def send_late_crashing_request(fleet: VirtualFleet, chain: tuple[str, ...]) -> None:
    fleet.ask("node-1", "CRASH@10", ANSWER_LENGTH)


FAULTS = (
    Fault("middle stage crashes", 1.0, crash_stage),
    Fault("head crashes", 1.0, crash_head),
    Fault("three stages crash at once", 1.0, crash_chain),
    Fault("data centre crashes", 1.0, crash_data_center),
    Fault("link is cut", 1.0, cut_link),
    Fault("middle stage freezes", 3.0, freeze_stage),
    Fault("head freezes", 3.0, freeze_head),
    Fault("link is 0.3 s slower", 3.0, slow_link),
    Fault("link stops silently", 3.0, stop_link),
    Fault("request crashes stages", 1.0, send_crashing_request),
    Fault("request crashes them at token 10", 1.0, send_late_crashing_request),
)


def measure(fault: Fault, seed: int) -> tuple[float, int, int, float]:
    """Return longest gap, affected answers, lost answers and share of extra work."""
    fleet = VirtualFleet(make_configuration(ENGINES_PER_STAGE), NODES, seed)
    for index in range(ANSWERS):
        fleet.ask(f"node-{index % NODES}", f"question {index}", ANSWER_LENGTH)
        fleet.run(0.01)
    fault.inject(fleet, fleet.engines.running[0])
    fleet.run(50)
    findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
    if findings:
        raise AssertionError(findings[0])
    normal_callers = []
    for caller in fleet.callers.values():
        if "CRASH" not in caller.messages[0]["content"]:
            normal_callers.append(caller)
    gap = max(caller.longest_gap for caller in normal_callers)
    affected = sum(caller.longest_gap > 0.06 for caller in normal_callers)
    lost = 0
    for caller in normal_callers:
        lost += not isinstance(caller.receipt.ending, invariants.Completed)
    extra_work, total_work = invariants.measure_extra_work(fleet.journal)
    return gap, affected, lost, extra_work / total_work


def main() -> None:
    """Print the table."""
    # A constant client delay shifts all tokens alike, so the gaps are the same.
    print(f"{3 * ENGINES_PER_STAGE} engines, {NODES} nodes, {ANSWERS} answers,")
    print(f"{SEEDS} seeds; the same for client delays {CLIENT_DELAYS}")
    print(f"{'fault':34}{'target s':>9}{'gap s':>8}{'hit':>6}{'lost':>6}{'extra':>8}")
    for fault in FAULTS:
        rows = [measure(fault, seed) for seed in range(SEEDS)]
        gap = max(row[0] for row in rows)
        affected = max(row[1] for row in rows)
        lost = sum(row[2] for row in rows)
        extra_work = max(row[3] for row in rows)
        line = f"{fault.name:34}{fault.target:9.1f}{gap:8.3f}{affected:6}{lost:6}"
        print(f"{line}{extra_work:8.1%}")


if __name__ == "__main__":
    main()
