import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonrudder.core.configuration import configuration_control as control_module
from tarragonrudder.core.configuration.adoption import Adoption
from tarragonrudder.core.configuration.configuration_control import ConfigurationControl
from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    encode_accepted,
)
from tarragonrudder.core.domain.action import (
    LoadConfiguration,
    LogDecision,
    QueryPeerGenerations,
)
from tarragonrudder.core.domain.configuration_event import (
    ConfigurationLoaded,
    ConfigurationLoadFailed,
)
from tarragonrudder.core.domain.event import PeerMessageReceived, TimerFired
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.message import GenerationAnnounced
from tarragonrudder.core.domain.platform_event import KeyRead, PlatformCallFailed
from tarragonrudder.core.node.node import Node, NodeOptions
from tests.matrix import configuration as cells
from tests.standins.control_fleet import ADOPTION_TARGET, ControlFleet, Platform


def list_decisions(actions: list) -> list[str]:
    return [item.decision for item in actions if isinstance(item, LogDecision)]


@pytest.mark.parametrize(
    ("offers", "in_force", "digest", "decisions"),
    [
        ([(1, "a")], 1, "a", ["configuration_adopted"]),
        ([(2, "b"), (1, "a")], 2, "b", ["configuration_adopted"]),
        ([(1, "a"), (1, "a")], 1, "a", ["configuration_adopted"]),
        (
            [(1, "a"), (1, "b")],
            1,
            "a",
            ["configuration_adopted", "configuration_conflict"],
        ),
        ([(1, "a"), (3, "c")], 3, "c", ["configuration_adopted"] * 2),
        ([(0, "a")], 0, "", []),
    ],
)
def test_adopt_if_newer(
    offers: list, in_force: int, digest: str, decisions: list[str]
) -> None:
    adoption = Adoption("node-0", random.Random(0))
    found = []
    for offer in offers:
        found += list_decisions(adoption.adopt_if_newer(Configuration(*offer)))
    assert adoption.configuration.generation == in_force
    assert adoption.configuration.digest == digest
    assert found == decisions


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"\xff",
        b"null",
        b'{"generation": "7", "digest": "x", "folder_revision": 1}',
        b'{"generation": true, "digest": "x", "folder_revision": 1}',
        b'{"generation": -1, "digest": "x", "folder_revision": 1}',
        b'{"generation": 7}',
        b"[" * 100_000,
    ],
)
def test_bad_record_changes_nothing(value: bytes) -> None:
    node = Node(NodeOptions("node-0", "mi-1"), random.Random(0))
    node.handle(ConfigurationLoaded(Configuration(1, "a")), 0.0)
    actions = node.handle(KeyRead("configuration", ACCEPTED_KEY, value, 9), 1.0)
    assert "configuration_record_invalid" in list_decisions(actions)
    assert node.configuration == Configuration(1, "a")


@given(value=st.binary(max_size=200) | st.text().map(lambda text: text.encode()))
def test_any_record_changes_nothing(value: bytes) -> None:
    control = ConfigurationControl("node-0", random.Random(0))
    control.handle(ConfigurationLoaded(Configuration(1, "a")), 0.0)
    for key in ("folder", "accepted", "rejected"):
        event = KeyRead("configuration", ACCEPTED_KEY[:-8] + key, value, 9)
        control.handle(event, 1.0)
    assert control.adoption.configuration == Configuration(1, "a")


@pytest.mark.parametrize(
    "message",
    [
        GenerationAnnounced("7", "x"),  # type: ignore[arg-type]
        GenerationAnnounced(-1, "x"),
        GenerationAnnounced(7, None),  # type: ignore[arg-type]
        GenerationAnnounced(7.5, "x"),  # type: ignore[arg-type]
    ],
)
def test_bad_announcement_is_dropped(message: GenerationAnnounced) -> None:
    node = Node(NodeOptions("node-0", "mi-1"), random.Random(0))
    node.handle(PeerMessageReceived("node-1", message), 0.0)
    actions = node.handle(TimerFired("configuration-load"), 1.0)
    assert not [item for item in actions if isinstance(item, LoadConfiguration)]


def test_node_is_ready_once_a_configuration_is_in_force() -> None:
    node = Node(NodeOptions("node-0", "mi-1"), random.Random(0))
    assert not node.ready
    actions = node.handle(PlatformCallFailed("configuration", ACCEPTED_KEY), 1.0)
    assert QueryPeerGenerations() in actions
    assert not node.ready
    node.handle(ConfigurationLoaded(Configuration(3, "c")), 2.0)
    assert node.ready


def test_false_announcement_does_not_block_valid_generation() -> None:
    node = Node(NodeOptions("node-0", "mi-1"), random.Random(0))
    node.handle(ConfigurationLoaded(Configuration(1, "a")), 0.0)
    node.handle(PeerMessageReceived("node-1", GenerationAnnounced(10**9, "no")), 1.0)
    node.handle(ConfigurationLoadFailed(10**9, "no", "gone"), 2.0)
    value = encode_accepted(2, "b", 5)
    node.handle(KeyRead("configuration", ACCEPTED_KEY, value, 9), 3.0)
    actions = node.handle(TimerFired("configuration-load"), 4.0)
    assert LoadConfiguration(2, "b") in actions


# Each variant lacks one mechanism; the named check must catch it.


class AnyGeneration(Adoption):
    def adopt_if_newer(self, configuration: Configuration) -> list:
        self._configuration = Configuration()
        return super().adopt_if_newer(configuration)

    def request_generation(self, generation: int, digest: str, now: float) -> list:
        if digest == self._configuration.digest:
            return []
        self._configuration, kept = Configuration(), self._configuration
        actions = super().request_generation(generation, digest, now)
        self._configuration = kept
        return actions


class FirstPeer(Adoption):
    def handle_peer_generations(self, answers: tuple, now: float) -> list:
        return super().handle_peer_generations(answers[:1], now)


class NoPeers(Adoption):
    def ask_peers(self) -> list:
        return []


def make_variant(variant: type[Adoption]) -> cells.MakeControl:
    def make_control(name: str, source: random.Random) -> ConfigurationControl:
        control = ConfigurationControl(name, source)
        control.adoption = variant(name, source)
        return control

    return make_control


@pytest.mark.parametrize(
    ("variant", "check"),
    [
        (AnyGeneration, cells.check_lagging_watch),
        (FirstPeer, cells.check_start_without_platform),
        (NoPeers, cells.check_start_without_platform),
    ],
)
def test_broken_variant_is_caught(variant: type[Adoption], check) -> None:
    check()
    with pytest.raises(AssertionError):
        check(make_variant(variant))


def test_swap_without_compare_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    cells.check_paused_accepter()
    compare = Platform.swap

    def swap_without_compare(
        platform: Platform, now: float, action: object
    ) -> int | None:
        platform.checks_revisions = False
        return compare(platform, now, action)  # type: ignore[arg-type]

    monkeypatch.setattr(Platform, "swap", swap_without_compare)
    with pytest.raises(AssertionError):
        cells.check_paused_accepter()


def test_missing_polling_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    cells.check_broken_watch()
    monkeypatch.setattr(control_module, "POLL_PERIOD", 1e9)
    with pytest.raises(AssertionError):
        cells.check_broken_watch()


NODE = st.sampled_from(["node-0", "node-1", "node-2"])
STEP = st.one_of(
    st.tuples(st.just("write"), st.sampled_from(["a", "b", "c", "invalid"])),
    st.tuples(st.sampled_from(["kill", "replace", "freeze"]), NODE),
    st.tuples(st.just("fault"), st.sampled_from(sorted(cells.FAULTS))),
)
SCHEDULE = st.lists(
    st.tuples(st.floats(0.0, 6.0, allow_nan=False), STEP), min_size=1, max_size=12
)


def take_step(fleet: ControlFleet, kind: str, subject: str) -> None:
    match kind:
        case "write":
            fleet.write_folder(f"{subject}-{fleet.now}")
        case "kill":
            fleet.kill(subject)
        case "replace":
            fleet.start_node(subject)
        case "freeze":
            fleet.freeze(subject, 15.0)
        case "fault":
            cells.FAULTS[subject](fleet, fleet.nodes["node-0"])


@settings(max_examples=150)
@given(schedule=SCHEDULE, seed=st.integers(0, 2**16))
def test_generation_never_reverts_under_random_faults(
    schedule: list, seed: int
) -> None:
    fleet = ControlFleet(seed)
    fleet.write_folder("first")
    fleet.run(ADOPTION_TARGET)
    for delay, (kind, subject) in schedule:
        fleet.run(delay)
        take_step(fleet, kind, subject)
        fleet.check_monotonic()
    fleet.run(cells.FAULT_PERIOD)
    for name, node in list(fleet.nodes.items()):
        if not node.alive:
            fleet.start_node(name)
    fleet.platform.lose_writes = 0
    fleet.write_folder("last")
    fleet.run(ADOPTION_TARGET)
    fleet.check_monotonic()
    fleet.check_converged()
    assert fleet.accepted[-1][1] == "last"
