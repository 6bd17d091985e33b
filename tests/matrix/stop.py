"""Cells of a graceful stop: announce, drain, leave.

The load balancer keeps sending work to a stopping node until its lag has passed.
"""

import typing as t
import zlib

from tarragonrudder.core.domain.event import StopRequested
from tests import invariants
from tests.matrix.table import (
    Cell,
    Impossible,
    ProvedByProcesses,
    Verdict,
    cross,
    prove,
)
from tests.standins.fleet_configuration import LAYER_COUNT, make_configuration
from tests.standins.virtual_fleet import VirtualFleet

AREA = "stop"
LENGTH = 60
LAG = 2.0  # seconds, the default of ``balancer_lag``
DEADLINE = 60.0  # longest time of an answer, in seconds
STEPS = ("announce", "drain", "leave")
FAULTS = (
    "no fault",
    "stage crash",
    "stage freeze",
    "link cut",
    "link slow",
    "upstream leaving",
    "list of VMs stale",
    "caller gone",
    "peers unreachable",
    "platform down",
    "platform slow",
    "node frozen and woken",
    "second node stops",
    "asked twice to stop",
    "node killed",
)
PAIRS = (
    ("stage crash", "second node stops"),
    ("stage crash", "node frozen and woken"),
    ("stage freeze", "platform down"),
    ("link slow", "peers unreachable"),
)
Variant: t.TypeAlias = t.Callable[[VirtualFleet], None]


class Scenario:
    """A node that stops under load, with faults injected at a step."""

    def __init__(self, step: str, faults: tuple[str, ...], seed: int) -> None:
        self.step = step
        self.faults = faults
        self.fleet = VirtualFleet(make_configuration(4), 3, seed)
        self.expected: list[str] = []
        self.refused: list[str] = []
        self.gone = ""

    def execute(self) -> None:
        """Run the scenario to its end."""
        fleet = self.fleet
        for index in range(9):
            self._ask("node-0", f"before {index}")
            fleet.run(0.02)
        self.gone = self.expected[0]
        fleet.run(0.3)
        self._inject("announce")
        fleet.deliver("node-0", StopRequested())
        for index in range(3):
            fleet.run(0.5)
            self._ask("node-0", f"within the lag {index}")
        self._inject("drain")
        fleet.run(LAG - 1.5 + 0.1)
        if fleet.nodes["node-0"].state == "up":
            self.refused.append(fleet.ask("node-0", "after the lag", LENGTH))
        self._ask("node-2", "to another")
        self._await_leave()
        self._inject("leave")
        self._ask("node-2", "after the leave")
        fleet.run(DEADLINE)

    def find_faults(self) -> list[str]:
        """Return the violated invariants of the finished scenario."""
        fleet = self.fleet
        findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
        for name in self.expected:
            ending = fleet.callers[name].receipt.ending
            excused = name == self.gone and "caller gone" in self.faults
            if not isinstance(ending, invariants.Completed) and not excused:
                findings.append(f"{name} ended with {ending}")
        for name in self.refused:
            ending = fleet.callers[name].receipt.ending
            if (
                not isinstance(ending, invariants.Failed)
                or ending.run_state != "not_run"
            ):
                findings.append(f"{name} was not refused but {ending}")
            elif ending.retry_after is None:
                findings.append(f"{name} was not told when to come back")
        if not self._has_left("node-0"):
            findings.append("the node did not leave")
        return findings

    def _ask(self, node: str, text: str) -> None:
        self.expected.append(self.fleet.ask(node, text, LENGTH))

    def _has_left(self, node: str) -> bool:
        return any(
            entry["kind"] == "stopped" and entry["node"] == node
            for entry in self.fleet.journal
        )

    def _await_leave(self) -> None:
        if "drain" in self.step and "node frozen and woken" in self.faults:
            self.fleet.run(5.0)
        self.fleet.run_until(lambda: self._has_left("node-0"), DEADLINE)

    def _inject(self, step: str) -> None:
        if step != self.step:
            return
        for fault in self.faults:
            self._inject_one(fault)

    def _inject_one(self, fault: str) -> None:
        fleet, engines = self.fleet, self.fleet.engines
        head, middle, _ = engines.running[0] if engines.running else DEFAULT_CHAIN
        match fault:
            case "stage crash":
                engines.crash(middle)
            case "stage freeze":
                engines.freeze(middle)
            case "link cut":
                engines.cut_link(head, middle)
            case "link slow":
                engines.slow_link(head, middle, 0.6)
            case "upstream leaving":
                engines.engines[middle].leaving = True
                fleet.list_vms(middle, nodes=["node-0"])
            case "list of VMs stale":
                engines.engines[middle].leaving = True
                fleet.list_vms()
            case "caller gone":
                fleet.disconnect_caller(self.gone)
            case "peers unreachable":
                fleet.partitioned = True
            case "platform down":
                fleet.platform_delay = 0.0
            case "platform slow":
                fleet.platform_delay = 30.0
            case "node frozen and woken":
                fleet.freeze_node("node-0")
                fleet.schedule(3.0, lambda: fleet.wake_node("node-0"))
            case "second node stops":
                fleet.deliver("node-1", StopRequested())
            case "asked twice to stop":
                fleet.deliver("node-0", StopRequested())


DEFAULT_CHAIN = ("engine-0-0", "engine-1-0", "engine-2-0")


def check_cell(step: str, *faults: str) -> None:
    """Run one cell; raise if an invariant is violated."""
    scenario = Scenario(step, faults, zlib.crc32(" ".join([step, *faults]).encode()))
    scenario.execute()
    findings = scenario.find_faults()
    if findings:
        raise AssertionError("; ".join(findings[:3]))


def decide_verdict(step: str, faults: tuple[str, ...]) -> Verdict:
    """Return the verdict of the cell of a step and faults."""
    if "node killed" in faults:
        return Impossible("a killed node does not stop as planned; see the answers")
    if step == "leave" and {"node frozen and woken", "asked twice to stop"} & set(
        faults
    ):
        return Impossible("the process has ended")
    if step == "leave" and "caller gone" in faults:
        return Impossible("the node has no caller any more")
    return prove(check_cell, step, *faults)


def list_cells() -> list[Cell]:
    """Return the cells of a graceful stop."""
    faults = [*((fault,) for fault in FAULTS), *PAIRS]
    cells = cross(AREA, STEPS, faults, decide_verdict)
    for test in ("test_all_nodes_are_replaced_under_load", "test_platform_is_away"):
        name = f"test_stop_processes.py::{test}"
        verdict = ProvedByProcesses(name)
        cells.append(Cell(AREA, "processes", test.removeprefix("test_"), verdict))
    return cells
