"""Simulates configuration control and an unreliable platform on a virtual clock.

The checks use the platform's journal of writes and the journal of generations that
nodes put into force, never the state that a node reports itself.
"""

import heapq
import itertools
import random
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.configuration.configuration_control import ConfigurationControl
from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    CONFIGURATION_PREFIX,
    FOLDER_KEY,
    decode_accepted,
    encode_folder,
)
from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain.configuration_event import (
    ConfigurationLoaded,
    ConfigurationLoadFailed,
    FolderChecked,
    FolderReadFailed,
    PeerGeneration,
    PeerGenerationsRead,
)
from tarragonrudder.core.domain.event import (
    Event,
    NodeAddress,
    NodesListed,
    PeerMessageReceived,
    TimerFired,
)
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)

LATENCY = 0.002  # seconds, one way
CALL_TIMEOUT = 1.0  # seconds
ADOPTION_TARGET = 14.0  # seconds until a change is in force everywhere
INVALID_PREFIX = "invalid"  # prefix of the digests of invalid folders


@dataclass(frozen=True, slots=True)
class Write:
    """A write that took effect."""

    time: float
    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class InForce:
    """A journal entry of a node that put a generation into force."""

    time: float
    node: str
    incarnation: int
    generation: int
    digest: str


@dataclass(slots=True)
class Platform:
    """A key-value store with revisions, whose faults are set by tests.

    Attributes
    ----------
    down : bool
        Calls fail without taking effect.
    delay : float
        Seconds before a call takes effect; calls that exceed ``CALL_TIMEOUT`` fail.
    watch_lag : float
        Seconds by which watch notifications are delayed.
    lose_writes : int
        Number of writes that take effect while their responses are lost.
    checks_revisions : bool
        Whether a write is refused if the revisions differ.
    """

    values: dict[str, Write] = field(default_factory=dict)
    journal: list[Write] = field(default_factory=list)
    revision: int = 1
    down: bool = False
    delay: float = 0.0
    watch_lag: float = 0.0
    lose_writes: int = 0
    checks_revisions: bool = True

    def find(self, key: str) -> tuple[bytes | None, int]:
        """Return a key's value and revision."""
        found = self.values.get(key)
        return (found.value, found.revision) if found is not None else (None, 0)

    def swap(self, now: float, action: actions.SwapKey) -> int | None:
        """Write if the revisions match; return the new revision, else None."""
        guards = [(guard.key, guard.revision) for guard in action.guards]
        for key, revision in [(action.key, action.expected), *guards]:
            if self.checks_revisions and self.find(key)[1] != revision:
                return None
        self.revision += 1
        write = Write(now, action.key, action.value, self.revision)
        self.values[action.key] = write
        self.journal.append(write)
        return self.revision


@dataclass(slots=True)
class SimulatedNode:
    """One node; a dead one gets no events, a frozen one gets them when it wakes."""

    name: str
    control: ConfigurationControl
    incarnation: int = 0
    alive: bool = True
    frozen: bool = False
    reachable: bool = True
    timers: dict[str, int] = field(default_factory=dict)
    deferred: list[t.Callable[[], None]] = field(default_factory=list)
    known_incarnations: dict[str, int] = field(default_factory=dict)


class ControlFleet:
    """Nodes, a platform and operators on one virtual clock."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        make_control: t.Callable[..., ConfigurationControl] = ConfigurationControl,
    ) -> None:
        self.now = 0.0
        self.platform = Platform()
        self.journal: list[InForce] = []
        self.hooks: list[t.Callable[[SimulatedNode, actions.Action], None]] = []
        self.nodes: dict[str, SimulatedNode] = {}
        self._random = random.Random(seed)
        self._make_control = make_control
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._numbers = itertools.count()
        for index in range(count):
            self.start_node(f"node-{index}")

    # Faults and operators' actions.

    def start_node(self, name: str) -> None:
        """Start a node without any state, in place of any of the same name."""
        old = self.nodes.get(name)
        incarnation = old.incarnation + 1 if old is not None else 0
        if old is not None:
            old.alive = False
        control = self._make_control(name, random.Random(self._random.random()))
        node = SimulatedNode(name, control, incarnation)
        self.nodes[name] = node
        self._carry_out(node, control.start(self.now))
        self._list_nodes()

    def kill(self, name: str) -> None:
        """Kill a node and remove it from the platform's list at once."""
        self.nodes[name].alive = False
        self._list_nodes()

    def freeze(self, name: str, period: float) -> None:
        """Freeze a node for a period; it receives and sends nothing meanwhile."""
        node = self.nodes[name]
        node.frozen = True
        self.at(self.now + period, lambda: self._wake(node))

    def end_platform_faults(self) -> None:
        """End the platform's outage, delay and watch lag."""
        self.platform.down = False
        self.platform.delay = 0.0
        self.platform.watch_lag = 0.0
        self._list_nodes()

    def write_folder(self, digest: str, base: int | None = None) -> int | None:
        """Write the folder as an operator; return None if the revision has changed."""
        if base is None:
            base = self.platform.find(FOLDER_KEY)[1]
        value = encode_folder(digest, f"writer-{next(self._numbers)}")
        swap = actions.SwapKey("operator", FOLDER_KEY, base, value)
        return self._swap(swap)

    def at(self, time: float, work: t.Callable[[], None]) -> None:
        """Schedule a function."""
        heapq.heappush(self._queue, (time, next(self._numbers), work))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end

    def deliver(self, node: SimulatedNode, event: Event) -> None:
        """Deliver an event to a node."""
        if not node.alive:
            return
        if node.frozen:
            node.deferred.append(lambda: self.deliver(node, event))
            return
        before = node.control.adoption.configuration
        decided = node.control.handle(event, self.now)
        after = node.control.adoption.configuration
        if after is not before:
            found = InForce(
                self.now, node.name, node.incarnation, after.generation, after.digest
            )
            self.journal.append(found)
        self._carry_out(node, decided)

    # Checks.

    @property
    def accepted(self) -> list[tuple[int, str]]:
        """Accepted generations and their digests, in order of acceptance."""
        found = []
        for write in self.platform.journal:
            if write.key == ACCEPTED_KEY:
                record = decode_accepted(write.value, write.revision)
                found.append((record.generation, record.digest))
        return found

    def find_in_force(self) -> dict[str, tuple[int, str]]:
        """Return the generation and digest in force on each live node."""
        found = {name: (0, "") for name, node in self.nodes.items() if node.alive}
        for item in self.journal:
            node = self.nodes[item.node]
            if node.alive and item.incarnation == node.incarnation:
                found[item.node] = (item.generation, item.digest)
        return found

    def check_monotonic(self) -> None:
        """Raise if generations were accepted or put into force out of order."""
        accepted = self.accepted
        generations = [generation for generation, _ in accepted]
        assert generations == sorted(set(generations)), f"accepted {accepted}"
        folders = []
        for write in self.platform.journal:
            if write.key == ACCEPTED_KEY:
                folders.append(decode_accepted(write.value, 1).folder_revision)
        assert folders == sorted(set(folders)), f"folders accepted as {folders}"
        digests = dict(accepted)
        last: dict[tuple[str, int], int] = {}
        for item in self.journal:
            key = (item.node, item.incarnation)
            assert item.generation > last.get(key, 0), f"{item.node} reverted"
            assert digests.get(item.generation) == item.digest, f"{item} not accepted"
            assert not item.digest.startswith(INVALID_PREFIX), f"{item} has faults"
            last[key] = item.generation

    def check_converged(self) -> None:
        """Raise unless all live nodes have the last accepted generation in force."""
        expected = self.accepted[-1]
        found = self.find_in_force()
        assert set(found.values()) == {expected}, f"{found}, accepted {expected}"

    # Execution of actions.

    def _carry_out(self, node: SimulatedNode, decided: list[actions.Action]) -> None:
        for action in decided:
            for hook in list(self.hooks):
                hook(node, action)
            if isinstance(action, actions.SetTimer):
                self._set_timer(node, action)
                continue
            # Delayed, so that a fault can strike between the decision and the call.
            self.at(self.now + LATENCY, lambda a=action: self._execute(node, a))

    def _execute(self, node: SimulatedNode, action: actions.Action) -> None:
        if not node.alive:
            return
        if node.frozen:
            node.deferred.append(lambda: self._execute(node, action))
            return
        match action:
            case actions.ReadKey() | actions.SwapKey():
                self._call_platform(node, action)
            case actions.LoadConfiguration():
                self._load(node, action)
            case actions.CheckFolder():
                self._check(node, action)
            case actions.QueryPeerGenerations():
                self._ask_peers(node)
            case actions.SendPeerMessage():
                self._send(node, action)

    def _set_timer(self, node: SimulatedNode, action: actions.SetTimer) -> None:
        number = next(self._numbers)
        node.timers[action.timer] = number

        def fire() -> None:
            if node.timers.get(action.timer) == number:
                self.deliver(node, TimerFired(action.timer))

        self.at(max(action.at, self.now), fire)

    def _call_platform(
        self, node: SimulatedNode, action: actions.ReadKey | actions.SwapKey
    ) -> None:
        platform = self.platform
        if platform.down:
            event: Event = PlatformCallFailed(action.tag, action.key)
            if isinstance(action, actions.SwapKey):
                event = SwapOutcomeUnknown(action.tag, action.key)
            self.at(self.now + LATENCY, lambda: self.deliver(node, event))
            return

        def take_effect() -> None:
            event = self._apply(action)
            late = platform.delay + LATENCY >= CALL_TIMEOUT
            if late and isinstance(event, KeyRead):
                event = PlatformCallFailed(action.tag, action.key)
            if late and isinstance(event, Swapped | SwapConflicted):
                event = SwapOutcomeUnknown(action.tag, action.key)
            self.at(self.now + LATENCY, lambda: self.deliver(node, event))

        self.at(self.now + platform.delay, take_effect)

    def _apply(self, action: actions.ReadKey | actions.SwapKey) -> Event:
        if isinstance(action, actions.ReadKey):
            value, revision = self.platform.find(action.key)
            return KeyRead(action.tag, action.key, value, revision)
        revision_or_none = self._swap(action)
        if self.platform.lose_writes > 0:
            self.platform.lose_writes -= 1
            return SwapOutcomeUnknown(action.tag, action.key)
        if revision_or_none is None:
            return SwapConflicted(action.tag, action.key)
        return Swapped(action.tag, action.key, revision_or_none)

    def _swap(self, action: actions.SwapKey) -> int | None:
        revision = self.platform.swap(self.now, action)
        if revision is None or not action.key.startswith(CONFIGURATION_PREFIX):
            return revision
        event = KeyRead("configuration", action.key, action.value, revision)
        for node in self.nodes.values():
            late = self.now + self.platform.watch_lag + LATENCY
            self.at(late, lambda node=node: self._notify(node, event))
        return revision

    def _notify(self, node: SimulatedNode, event: Event) -> None:
        if not self.platform.down:
            self.deliver(node, event)

    def _load(self, node: SimulatedNode, action: actions.LoadConfiguration) -> None:
        built = Configuration(action.generation, action.digest)
        event: Event = ConfigurationLoaded(built)
        deferred = any(
            peer.control.adoption.configuration.digest == action.digest
            for peer in self._find_peers(node)
        )
        if self.platform.down and not deferred:
            event = ConfigurationLoadFailed(action.generation, action.digest, "away")
        self.at(self.now + LATENCY, lambda: self.deliver(node, event))

    def _check(self, node: SimulatedNode, action: actions.CheckFolder) -> None:
        event: Event = FolderChecked(action.digest)
        if action.digest.startswith(INVALID_PREFIX):
            event = FolderChecked(action.digest, ("10.ini:1: wrong; mend it",))
        if self.platform.down:
            event = FolderReadFailed(action.digest, "away")
        self.at(self.now + LATENCY, lambda: self.deliver(node, event))

    def _ask_peers(self, node: SimulatedNode) -> None:
        answers = []
        for peer in self._find_peers(node):
            found = peer.control.adoption.configuration
            if found.generation > 0:
                answers.append(PeerGeneration(found.generation, found.digest))
        event = PeerGenerationsRead(tuple(answers))
        self.at(self.now + LATENCY, lambda: self.deliver(node, event))

    def _find_peers(self, node: SimulatedNode) -> list[SimulatedNode]:
        found = []
        for peer in self.nodes.values():
            is_other = peer is not node and peer.alive and not peer.frozen
            if is_other and peer.reachable and node.reachable:
                found.append(peer)
        return found

    def _send(self, node: SimulatedNode, action: actions.SendPeerMessage) -> None:
        peer = self.nodes[action.node]
        # A replacement node has another address than its predecessor.
        address_known = node.known_incarnations.get(action.node) == peer.incarnation
        if address_known and peer.reachable and node.reachable:
            event = PeerMessageReceived(node.name, action.message)
            self.at(self.now + LATENCY, lambda: self.deliver(peer, event))

    def _wake(self, node: SimulatedNode) -> None:
        node.frozen = False
        deferred, node.deferred = node.deferred, []
        for work in deferred:
            work()

    def _list_nodes(self) -> None:
        if self.platform.down:
            return
        listed = []
        known_incarnations = {
            name: node.incarnation for name, node in self.nodes.items()
        }
        for name, node in self.nodes.items():
            if node.alive:
                listed.append(NodeAddress(name, f"http://{name}", "mi-1"))
        event = NodesListed(tuple(listed))
        for node in self.nodes.values():
            node.control.set_nodes(event)
            node.known_incarnations = known_incarnations
