"""Cells of model answers: every fault at every step of an answer.

A node accepts, admits and chooses a chain in one call of its core, so faults at
these steps are injected right before the request.
"""

import functools
import zlib

from tarragonrudder.core.domain.event import AttemptEnded, Event, Token, TokensArrived
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

AREA = "answers"
LENGTH = 16
ENGINES_PER_STAGE = 4
SHORT_GAP = 1.0  # longest wait for a token after a crash or cut, in seconds
LONG_GAP = 3.0  # longest wait for a token after a freeze or slow link, in seconds
EXTRA_SHARE = 0.1  # of the load, for replay
EXTRA_RESERVE = 4000.0 * LAYER_COUNT  # accumulated by a node without load

STEPS = (
    "accept",
    "admit",
    "choose a chain",
    "send to the first stage",
    "hop",
    "token",
    "last token and terminator",
    "answer",
)
EARLY = STEPS[:3]
GAPS = {
    "stage crash": SHORT_GAP,
    "link cut": SHORT_GAP,
    "stage freeze": LONG_GAP,
    "link slow": LONG_GAP,
}


def perturb_late(fleet: VirtualFleet, event: Event) -> list[tuple[float, Event]]:
    """Delay all events by the same time."""
    return [(0.2, event)]


def perturb_order(fleet: VirtualFleet, event: Event) -> list[tuple[float, Event]]:
    """Duplicate each event and delay both copies by random times."""
    first, second = fleet.random.random(), fleet.random.random()
    return [(first * 0.15, event), (second * 0.15, event)]


def perturb_attempt(fleet: VirtualFleet, event: Event) -> list[tuple[float, Event]]:
    """Insert tokens and terminators of other attempts."""
    others: list[tuple[float, Event]] = []
    if isinstance(event, TokensArrived):
        for attempt in (event.attempt - 1, event.attempt + 1):
            for position in range(LENGTH):
                token = Token(position, "alien ")
                alien = TokensArrived(event.request, attempt, (token,))
                others.append((0.0, alien))
            end = AttemptEnded(event.request, attempt, 1, "stop")
            others.append((0.0, end))
    return [*others, (0.0, event)]


PERTURBATIONS = {
    "answer late": perturb_late,
    "answer out of order": perturb_order,
    "answer of another attempt": perturb_attempt,
}


class Scenario:
    """One answer among others, with faults injected at a step."""

    def __init__(self, step: str, faults: tuple[str, ...], seed: int) -> None:
        self.step = step
        self.faults = faults
        self.fleet = VirtualFleet(make_configuration(ENGINES_PER_STAGE), 4, seed)
        self.text = "May I be excused?"
        self.target = ""
        self.chain: tuple[str, ...] = ()
        self.left: dict[str, float] = {}

    def execute(self) -> None:
        """Run the scenario to its end."""
        fleet = self.fleet
        for index in range(8):
            fleet.ask(f"node-{index % 4}", f"question {index}", 60)
            fleet.run(0.02)
        fleet.run(0.3)
        self.chain = fleet.engines.running[0]
        if self.step in EARLY:
            self.inject()
        self.target = fleet.ask("node-0", self.text, LENGTH)
        if self.step not in EARLY:
            self.reach()
            self.inject()
        fleet.run(0.5)
        fleet.ask("node-1", "asked later", LENGTH)
        fleet.run(50)

    def reach(self) -> None:
        """Advance the virtual clock to the step."""
        receipt = self.fleet.callers[self.target].receipt
        if self.step == "send to the first stage":
            self.fleet.run(0.0002)
        elif self.step == "hop":
            self.fleet.run_until(lambda: self.count_layers() == 4)
        elif self.step == "token":
            self.fleet.run_until(lambda: len(receipt.tokens) == LENGTH // 2)
        elif self.step == "last token and terminator":
            self.fleet.run_until(lambda: self.count_layers() > LAYER_COUNT * 15)
        else:
            self.fleet.run_until(lambda: receipt.ending is not None)
        for run in self.fleet.engines.find_chains(self.target):
            self.chain = run

    def count_layers(self) -> int:
        """Return the number of layers run for the target's tokens."""
        count = 0
        for entry in self.fleet.journal:
            if entry["kind"] == "layers" and entry["request"] == self.target:
                count += entry["last"] - entry["first"] + 1
        return count

    def inject(self) -> None:
        """Inject all faults."""
        for fault in self.faults:
            self.inject_one(fault)

    def inject_one(self, fault: str) -> None:
        """Inject one fault."""
        fleet, engines = self.fleet, self.fleet.engines
        head, middle, tail = self.chain
        match fault:
            case "stage crash":
                at_head = self.step == "send to the first stage"
                engines.crash(head if at_head else middle)
            case "second stage crash":
                engines.crash(tail)
            case "stage freeze":
                engines.freeze(middle)
            case "link cut":
                engines.cut_link(head, middle)
            case "link slow":
                engines.slow_link(head, middle, 0.6)
            case "caller gone":
                if self.target:
                    fleet.disconnect_caller(self.target)
            case "caller sends again":
                fleet.ask("node-2", self.text, LENGTH)
            case "node killed":
                fleet.kill_node("node-0")
            case "node frozen and woken":
                fleet.freeze_node("node-0")
                fleet.schedule(3.0, lambda: fleet.wake_node("node-0"))
            case "peers unreachable":
                fleet.partitioned = True
            case "platform down":
                fleet.platform_delay = 0.0
            case "platform slow":
                fleet.platform_delay = 30.0
            case "list of VMs stale":
                engines.engines[middle].leaving = True
                fleet.list_vms()
            case "upstream leaving":
                fleet.list_vms(middle, nodes=["node-0"])
                # Without peer messages, the other nodes learn it only by its refusal.
                alone = "peers unreachable" in self.faults
                engines.engines[middle].leaving = alone
                self.left[middle] = fleet.now
            case _:
                perturbation = PERTURBATIONS[fault]
                fleet.perturb = functools.partial(perturbation, fleet)


def check_cell(step: str, *faults: str) -> None:
    """Run one cell; raise if an invariant is violated."""
    seed = zlib.crc32(" ".join([step, *faults]).encode())
    scenario = Scenario(step, faults, seed)
    scenario.execute()
    findings = find_faults(scenario)
    if findings:
        raise AssertionError(f"seed {seed}: {'; '.join(findings[:3])}")


def find_faults(scenario: Scenario) -> list[str]:
    """Return the violated invariants of a finished scenario."""
    fleet = scenario.fleet
    findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
    findings += invariants.check_leaving_upstreams(fleet.journal, scenario.left)
    for name, caller in fleet.callers.items():
        ending = caller.receipt.ending
        if isinstance(ending, invariants.Completed):
            continue
        excused = (
            isinstance(ending, invariants.ConnectionLost)
            and "node killed" in scenario.faults
        )
        excused |= (
            isinstance(ending, invariants.CallerClosed) and name == scenario.target
        )
        if not excused:
            findings.append(f"{name} ended with {ending}")
    extra, load = invariants.measure_extra_work(fleet.journal)
    if extra > EXTRA_SHARE * load + EXTRA_RESERVE:
        findings.append(f"extra work {extra:.0f} at a load of {load:.0f}")
    if set(scenario.faults) <= set(GAPS):
        limit = max(GAPS[fault] for fault in scenario.faults)
        longest = max(caller.longest_gap for caller in fleet.callers.values())
        if longest >= limit:
            findings.append(f"a caller waited {longest:.2f} s")
    if fleet.engines.running:
        findings.append("an attempt still runs")
    return findings


FAULTS = (
    "stage crash",
    "stage freeze",
    "link cut",
    "link slow",
    "answer late",
    "answer out of order",
    "answer of another attempt",
    "caller gone",
    "caller sends again",
    "node killed",
    "node frozen and woken",
    "peers unreachable",
    "platform down",
    "platform slow",
    "list of VMs stale",
    "upstream leaving",
)
PAIRS = (
    ("stage crash", "second stage crash"),
    ("stage crash", "peers unreachable"),
    ("stage crash", "node frozen and woken"),
    ("stage crash", "upstream leaving"),
    ("stage freeze", "second stage crash"),
    ("stage freeze", "answer out of order"),
    ("link cut", "platform down"),
    ("link slow", "second stage crash"),
    ("caller sends again", "stage crash"),
    ("node killed", "stage crash"),
    ("upstream leaving", "peers unreachable"),
)
NOT_YET_ACCEPTED = "the request does not exist before it is accepted"


def decide_verdict(step: str, faults: tuple[str, ...]) -> Verdict:
    """Return the verdict of the cell of a step and faults."""
    if "caller gone" in faults and step in EARLY:
        return Impossible(NOT_YET_ACCEPTED)
    return prove(check_cell, step, *faults)


def list_cells() -> list[Cell]:
    """Return the cells of model answers."""
    faults = [*((fault,) for fault in FAULTS), *PAIRS]
    cells = cross(AREA, STEPS, faults, decide_verdict)
    for fault in ("stage killed", "stage stopped", "connection cut"):
        test = f"test_recovery_processes.py::test_recovery[{fault}]"
        cells.append(Cell(AREA, "processes", fault, ProvedByProcesses(test)))
    return cells
