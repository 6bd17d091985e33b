"""Cells of configuration changes: write, accept, adopt, restart."""

import functools
import typing as t

from tarragonrudder.core.configuration.configuration_control import ConfigurationControl
from tarragonrudder.core.configuration.configuration_record import ACCEPTED_KEY
from tarragonrudder.core.domain import action as actions
from tests.matrix.table import Cell, Impossible, Proved, ProvedByProcesses, Verdict
from tests.standins.control_fleet import ADOPTION_TARGET, ControlFleet, SimulatedNode

AREA = "configuration"
STEPS = ("write", "accept", "adopt", "restart")
FAULT_PERIOD = 20.0  # seconds, longer than the adoption target and a node's lease
SEEDS = range(5)
SLOW = 0.8  # seconds, within the timeout of a call to the platform
Fault: t.TypeAlias = t.Callable[[ControlFleet, SimulatedNode], None]
MakeControl: t.TypeAlias = t.Callable[..., ConfigurationControl]


def kill_node(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Kill the node and start a replacement later."""
    fleet.kill(node.name)
    fleet.at(fleet.now + FAULT_PERIOD, lambda: fleet.start_node(node.name))


def freeze_node(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Freeze the node for longer than its lease, then wake it."""
    fleet.freeze(node.name, FAULT_PERIOD)


def replace_node(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Replace the node at once by one without any state."""
    fleet.start_node(node.name)


def cut_peers(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Make all nodes unreachable for each other."""
    _set_reachable(fleet, False)
    fleet.at(fleet.now + FAULT_PERIOD, lambda: _set_reachable(fleet, True))


def stop_platform(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Take the platform down for a while."""
    fleet.platform.down = True
    fleet.at(fleet.now + FAULT_PERIOD, fleet.end_platform_faults)


def slow_platform(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Slow the platform down, but within the timeout of its calls."""
    fleet.platform.delay = SLOW
    fleet.at(fleet.now + FAULT_PERIOD, fleet.end_platform_faults)


def lose_answers(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Lose the responses of the next writes, which take effect."""
    fleet.platform.lose_writes = 2


def lag_watches(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Delay watch events, so that old records arrive after new ones."""
    fleet.platform.watch_lag = FAULT_PERIOD
    fleet.at(fleet.now + FAULT_PERIOD, fleet.end_platform_faults)


def race_operators(fleet: ControlFleet, node: SimulatedNode) -> None:
    """Let two operators write at the same revision; only the first succeeds."""
    base = fleet.platform.find("/tarragonrudder/control/configuration/folder")[1]
    first = fleet.write_folder("race-a", base)
    second = fleet.write_folder("race-b", base)
    assert first is not None and second is None


FAULTS: dict[str, Fault] = {
    "node killed": kill_node,
    "node frozen past its lease and woken": freeze_node,
    "node replaced by an empty one": replace_node,
    "peers unreachable": cut_peers,
    "platform down": stop_platform,
    "platform slow": slow_platform,
    "write lands and its answer is lost": lose_answers,
    "watch lagging": lag_watches,
    "operators racing": race_operators,
}
_FILE = "tests/test_configuration_processes.py::"
PROCESS_TESTS = (
    ("write", "no fault", _FILE + "test_a_change_is_in_force_on_all_nodes"),
    ("write", "operators racing", _FILE + "test_one_of_two_operators_loses"),
    ("write", "answer lost", "tests/test_cli.py::test_a_lost_answer_is_read_back"),
    ("accept", "folder with faults", _FILE + "test_a_bad_folder_is_rejected_whole"),
    ("adopt", "node frozen and woken", _FILE + "test_a_frozen_node_catches_up"),
    (
        "restart",
        "platform down",
        _FILE + "test_an_empty_node_starts_while_the_platform_is_down",
    ),
)
PAIRS = (
    ("node replaced by an empty one", "platform down"),
    ("node killed", "write lands and its answer is lost"),
    ("node frozen past its lease and woken", "operators racing"),
    ("watch lagging", "operators racing"),
    ("watch lagging", "node replaced by an empty one"),
    ("peers unreachable", "platform slow"),
    ("operators racing", "write lands and its answer is lost"),
    ("platform down", "node killed"),
    ("peers unreachable", "watch lagging"),
)


def check_cell(
    step: str, faults: tuple[str, ...], make_control: MakeControl = ConfigurationControl
) -> None:
    """Check that generations never revert and that the change is adopted in time."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.write_folder("first")
        fleet.run(ADOPTION_TARGET)
        fleet.check_converged()
        _run_step(fleet, step, [FAULTS[name] for name in faults])
        fleet.check_monotonic()
        fleet.check_converged()
        assert fleet.accepted[-1][1] != "first" or step == "restart"


def check_in_time(make_control: MakeControl = ConfigurationControl) -> None:
    """Check that without faults each change is adopted within 14 s."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, count=7, make_control=make_control)
        for number in range(3):
            fleet.write_folder(f"change-{number}")
            fleet.run(ADOPTION_TARGET)
            fleet.check_converged()
            assert fleet.accepted[-1][1] == f"change-{number}"
        fleet.check_monotonic()


def check_rejection(make_control: MakeControl = ConfigurationControl) -> None:
    """Check that an invalid folder is rejected whole and the previous one stays."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.write_folder("first")
        fleet.run(ADOPTION_TARGET)
        fleet.write_folder("invalid-folder")
        fleet.run(ADOPTION_TARGET)
        fleet.check_converged()
        assert fleet.accepted[-1][1] == "first"
        for node in fleet.nodes.values():
            rejected = node.control.acceptance.rejected
            assert rejected is not None and rejected.findings
        fleet.write_folder("mended")
        fleet.run(ADOPTION_TARGET)
        fleet.check_converged()
        assert fleet.accepted[-1][1] == "mended"
        fleet.check_monotonic()


def check_start_without_platform(
    make_control: MakeControl = ConfigurationControl,
) -> None:
    """Check that a node without state adopts its peers' greatest generation."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.write_folder("first")
        fleet.run(ADOPTION_TARGET)
        behind = fleet.nodes["node-0"]
        behind.reachable = False
        fleet.freeze("node-0", ADOPTION_TARGET + 1.0)
        fleet.write_folder("second")
        fleet.run(ADOPTION_TARGET)
        fleet.platform.down = True
        fleet.run(2.0)
        behind.reachable = True
        fleet.start_node("node-1")
        fleet.run(ADOPTION_TARGET)
        fleet.check_monotonic()
        started = [item for item in fleet.journal if item.incarnation == 1]
        assert [item.digest for item in started] == ["second"], started
        fleet.check_converged()


def check_broken_watch(make_control: MakeControl = ConfigurationControl) -> None:
    """Check that a change is adopted although its watch event was lost."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.write_folder("first")
        fleet.run(ADOPTION_TARGET)
        fleet.platform.watch_lag = 1.0
        fleet.write_folder("second")
        fleet.platform.down = True
        fleet.run(2.0)
        fleet.end_platform_faults()
        fleet.run(ADOPTION_TARGET)
        fleet.check_monotonic()
        fleet.check_converged()
        assert fleet.accepted[-1][1] == "second"


def check_lagging_watch(make_control: MakeControl = ConfigurationControl) -> None:
    """Check that a delayed watch event with an old record changes nothing."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.platform.watch_lag = 3 * ADOPTION_TARGET
        for number in range(3):
            fleet.write_folder(f"change-{number}")
            fleet.run(ADOPTION_TARGET)
            fleet.check_converged()
        fleet.run(3 * ADOPTION_TARGET)
        fleet.check_monotonic()
        fleet.check_converged()


def check_paused_accepter(make_control: MakeControl = ConfigurationControl) -> None:
    """Check that a node frozen before its write can't accept an old folder."""
    for seed in SEEDS:
        fleet = ControlFleet(seed, make_control=make_control)
        fleet.write_folder("first")
        fleet.run(ADOPTION_TARGET)
        _inject(fleet, _is_acceptance, freeze_node)
        fleet.write_folder("second")
        fleet.run(ADOPTION_TARGET)
        fleet.write_folder("third")
        fleet.run(FAULT_PERIOD + ADOPTION_TARGET)
        fleet.check_monotonic()
        fleet.check_converged()
        assert fleet.accepted[-1][1] == "third"


def list_cells() -> list[Cell]:
    """Return the cells of configuration changes."""
    cells = []
    for step in STEPS:
        for fault in FAULTS:
            cells.append(Cell(AREA, step, fault, _decide_verdict(step, (fault,))))
        for pair in PAIRS:
            cells.append(
                Cell(AREA, step, " and ".join(pair), _decide_verdict(step, pair))
            )
    extra = (
        ("write", "no fault", check_in_time),
        ("accept", "folder with faults", check_rejection),
        (
            "accept",
            "node frozen before its write, folder changed",
            check_paused_accepter,
        ),
        ("adopt", "watch brings old records", check_lagging_watch),
        ("adopt", "watch broken during the write", check_broken_watch),
        ("restart", "platform down, a peer behind", check_start_without_platform),
    )
    for step, fault, check in extra:
        cells.append(Cell(AREA, step, fault, Proved(check)))
    for step, fault, test in PROCESS_TESTS:
        cells.append(Cell(AREA, step, f"{fault}, processes", ProvedByProcesses(test)))
    return cells


def _decide_verdict(step: str, faults: tuple[str, ...]) -> Verdict:
    if step == "restart" and faults == ("operators racing",):
        return Impossible("a restart writes no folder; see write: operators racing")
    check = functools.partial(check_cell, step, faults)
    functools.update_wrapper(check, check_cell)
    return Proved(check)


def _run_step(fleet: ControlFleet, step: str, faults: t.Sequence[Fault]) -> None:
    def apply_faults(node: SimulatedNode) -> None:
        for fault in faults:
            fault(fleet, node)

    node = fleet.nodes["node-0"]
    if step == "restart":
        fleet.start_node("node-0")
        apply_faults(fleet.nodes["node-0"])
    elif step == "write":
        apply_faults(node)
        fleet.write_folder("second")
    else:
        predicate = _is_acceptance if step == "accept" else _is_load
        _inject(fleet, predicate, lambda fleet, node: apply_faults(node))
        fleet.write_folder("second")
    fleet.run(FAULT_PERIOD + ADOPTION_TARGET)


def _inject(
    fleet: ControlFleet,
    predicate: t.Callable[[actions.Action], bool],
    fault: Fault,
) -> None:
    """Inject a fault at the first node that takes an action of a kind."""

    def apply_faults(node: SimulatedNode, action: actions.Action) -> None:
        if predicate(action):
            fleet.hooks.clear()
            fault(fleet, node)

    fleet.hooks.append(apply_faults)


def _is_acceptance(action: actions.Action) -> bool:
    return isinstance(action, actions.SwapKey) and action.key == ACCEPTED_KEY


def _is_load(action: actions.Action) -> bool:
    return isinstance(action, actions.LoadConfiguration)


def _set_reachable(fleet: ControlFleet, reachable: bool) -> None:
    for node in fleet.nodes.values():
        node.reachable = reachable
