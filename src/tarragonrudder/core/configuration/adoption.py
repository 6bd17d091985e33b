"""Adoption of accepted configurations, in increasing generations only."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.action import (
    Action,
    CountMetric,
    LoadConfiguration,
    LogDecision,
    QueryPeerGenerations,
    SendPeerMessage,
    SetTimer,
)
from tarragonrudder.core.domain.configuration_event import (
    ConfigurationLoadFailed,
    PeerGeneration,
)
from tarragonrudder.core.domain.configuration_index import ConfigurationIndex
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.message import GenerationAnnounced

CONFIGURATION_TAG = "configuration"
LOAD_TIMER = "configuration-load"
POLL_TIMER = "configuration-poll"
RETRY_PERIOD = 1.0  # seconds between attempts to load a generation
MAX_LOAD_DELAY = 3.0  # seconds over which a large fleet spreads its loads
LOAD_DELAY_PER_NODE = 0.01  # seconds by which each live peer widens the spread
ADOPTION_FANOUT = 3  # peers notified of a newly adopted generation


@dataclass(frozen=True, slots=True)
class PendingGeneration:
    """A generation greater than the one in force that is not loaded yet."""

    generation: int
    digest: str


class Adoption:
    """Holds the configuration in force and loads greater generations.

    Parameters
    ----------
    name : str
        This node's name.
    source : random.Random
        Spreads loads over time and announcements over peers.
    """

    def __init__(self, name: str, source: random.Random) -> None:
        self._name = name
        self._random = source
        self._configuration = Configuration()
        self._index = ConfigurationIndex(self._configuration)
        self._pending: PendingGeneration | None = None
        self._unusable: PendingGeneration | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; generation 0 before the first."""
        return self._configuration

    @property
    def index(self) -> ConfigurationIndex:
        """Index of the configuration in force."""
        return self._index

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Replace the names of the other live nodes."""
        self._peers = peers

    def adopt_if_newer(self, configuration: Configuration) -> list[Action]:
        """Adopt a configuration if its generation is greater."""
        current = self._configuration
        pending = self._pending
        if pending is not None and configuration.generation >= pending.generation:
            self._pending = None
        if configuration.generation == current.generation:
            return self._check_conflict(current.generation, configuration.digest)
        if configuration.generation < current.generation:
            return []
        self._configuration = configuration
        self._index = ConfigurationIndex(configuration)
        fields = {
            "generation": configuration.generation,
            "digest": configuration.digest,
            "previous": current.generation,
        }
        actions: list[Action] = [LogDecision("configuration_adopted", fields)]
        actions.extend(self.announce(ADOPTION_FANOUT))
        return actions

    def announce(self, fanout: int) -> list[Action]:
        """Announce the generation in force to randomly chosen peers."""
        if self._configuration.generation == 0:
            return []
        count = min(fanout, len(self._peers))
        message = self._make_announcement()
        chosen = self._random.sample(self._peers, count)
        return [SendPeerMessage(peer, message) for peer in chosen]

    def request_generation(
        self, generation: int, digest: str, now: float
    ) -> list[Action]:
        """Schedule the load of a generation if it is greater than all known ones."""
        current = self._configuration
        if generation == current.generation:
            return self._check_conflict(generation, digest)
        if generation < current.generation:
            return []
        pending = PendingGeneration(generation, digest)
        if pending == self._unusable:
            return []
        if self._pending is not None and generation <= self._pending.generation:
            return []
        self._pending = pending
        delay = 0.0
        if current.generation > 0:
            spread = min(MAX_LOAD_DELAY, LOAD_DELAY_PER_NODE * len(self._peers))
            delay = self._random.uniform(0.0, spread)
        return [SetTimer(LOAD_TIMER, now + delay)]

    def load(self) -> list[Action]:
        """Load the pending generation."""
        if self._pending is None:
            return []
        return [LoadConfiguration(self._pending.generation, self._pending.digest)]

    def handle_load_failure(
        self, event: ConfigurationLoadFailed, now: float
    ) -> list[Action]:
        """Handle a generation that could not be loaded; poll again soon."""
        fields = {
            "generation": event.generation,
            "reason": event.reason,
            "in_force": self._configuration.generation,
        }
        actions: list[Action] = [
            LogDecision("configuration_unread", fields),
            CountMetric("configuration.unread"),
        ]
        failed = PendingGeneration(event.generation, event.digest)
        if event.permanent:
            self._unusable = failed
        if self._pending == failed:
            # A false announcement must not block a valid one.
            self._pending = None
        actions.append(SetTimer(POLL_TIMER, now + RETRY_PERIOD))
        return actions

    def handle_announcement(
        self, node: str, message: GenerationAnnounced, now: float
    ) -> list[Action]:
        """Handle a peer's announcement; reply if its generation is older."""
        if message.generation < self._configuration.generation:
            return [SendPeerMessage(node, self._make_announcement())]
        return self.request_generation(message.generation, message.digest, now)

    def handle_peer_generations(
        self, reported: t.Sequence[PeerGeneration], now: float
    ) -> list[Action]:
        """Request the greatest generation that peers reported."""
        actions: list[Action] = []
        for peer_generation in sorted(reported, key=lambda item: -item.generation):
            actions.extend(
                self.request_generation(
                    peer_generation.generation, peer_generation.digest, now
                )
            )
        return actions

    def ask_peers(self) -> list[Action]:
        """Ask all peers if no configuration is in force yet."""
        if self._configuration.generation > 0:
            return []
        return [QueryPeerGenerations()]

    def _make_announcement(self) -> GenerationAnnounced:
        current = self._configuration
        return GenerationAnnounced(current.generation, current.digest)

    def _check_conflict(self, generation: int, digest: str) -> list[Action]:
        """Report a different digest for the generation in force."""
        if generation == 0 or digest == self._configuration.digest:
            return []
        fields = {
            "generation": generation,
            "in_force": self._configuration.digest,
            "refused": digest,
        }
        return [
            LogDecision("configuration_conflict", fields),
            CountMetric("configuration.conflict"),
        ]
