"""Which configuration is in force: only ever a greater generation."""

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

TAG = "configuration"
LOAD_TIMER = "configuration-load"
POLL_TIMER = "configuration-poll"
RETRY_PERIOD = 1.0  # seconds between tries to read a generation
MAX_LOAD_DELAY = 3.0  # seconds over which a large fleet spreads its reads
LOAD_DELAY_PER_NODE = 0.01  # seconds
ADOPTION_FANOUT = 3  # peers told at once of a generation just adopted


@dataclass(frozen=True, slots=True)
class Wanted:
    """A generation greater than the one in force, not read yet."""

    generation: int
    digest: str


class Adoption:
    """Holds the configuration in force and reads greater generations.

    Parameters
    ----------
    name : str
        This node's name.
    source : random.Random
        Spreads reads over time and announcements over peers.
    """

    def __init__(self, name: str, source: random.Random) -> None:
        self._name = name
        self._random = source
        self._configuration = Configuration()
        self._index = ConfigurationIndex(self._configuration)
        self._wanted: Wanted | None = None
        self._unusable: Wanted | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; generation 0 before the first."""
        return self._configuration

    @property
    def index(self) -> ConfigurationIndex:
        """Look-up of the configuration in force."""
        return self._index

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Replace the names of the other live nodes."""
        self._peers = peers

    def offer(self, configuration: Configuration) -> list[Action]:
        """Adopt a configuration if its generation is greater."""
        known = self._configuration
        wanted = self._wanted
        if wanted is not None and configuration.generation >= wanted.generation:
            self._wanted = None
        if configuration.generation == known.generation:
            return self._compare(known.generation, configuration.digest)
        if configuration.generation < known.generation:
            return []
        self._configuration = configuration
        self._index = ConfigurationIndex(configuration)
        fields = {
            "generation": configuration.generation,
            "digest": configuration.digest,
            "previous": known.generation,
        }
        actions: list[Action] = [LogDecision("configuration_adopted", fields)]
        actions.extend(self.announce(ADOPTION_FANOUT))
        return actions

    def announce(self, fanout: int) -> list[Action]:
        """Tell some peers, chosen at random, what is in force."""
        if self._configuration.generation == 0:
            return []
        count = min(fanout, len(self._peers))
        message = self._describe()
        chosen = self._random.sample(self._peers, count)
        return [SendPeerMessage(peer, message) for peer in chosen]

    def want(self, generation: int, digest: str, now: float) -> list[Action]:
        """Read a generation if it is greater than all known here."""
        known = self._configuration
        if generation == known.generation:
            return self._compare(generation, digest)
        if generation < known.generation:
            return []
        wanted = Wanted(generation, digest)
        if wanted == self._unusable:
            return []
        if self._wanted is not None and generation <= self._wanted.generation:
            return []
        self._wanted = wanted
        delay = 0.0
        if known.generation > 0:
            spread = min(MAX_LOAD_DELAY, LOAD_DELAY_PER_NODE * len(self._peers))
            delay = self._random.uniform(0.0, spread)
        return [SetTimer(LOAD_TIMER, now + delay)]

    def load(self) -> list[Action]:
        """Read the wanted generation."""
        if self._wanted is None:
            return []
        return [LoadConfiguration(self._wanted.generation, self._wanted.digest)]

    def merge_unread(self, event: ConfigurationLoadFailed, now: float) -> list[Action]:
        """Take in that a generation could not be read or used."""
        fields = {
            "generation": event.generation,
            "reason": event.reason,
            "in_force": self._configuration.generation,
        }
        actions: list[Action] = [
            LogDecision("configuration_unread", fields),
            CountMetric("configuration.unread"),
        ]
        lost = Wanted(event.generation, event.digest)
        if event.permanent:
            self._unusable = lost
        if self._wanted == lost:
            # Forgotten, so that a wrong announcement can't hide a true one.
            self._wanted = None
        actions.append(SetTimer(POLL_TIMER, now + RETRY_PERIOD))
        return actions

    def merge_announcement(
        self, node: str, message: GenerationAnnounced, now: float
    ) -> list[Action]:
        """Take in a peer's generation; answer if it is older."""
        if message.generation < self._configuration.generation:
            return [SendPeerMessage(node, self._describe())]
        return self.want(message.generation, message.digest, now)

    def merge_peers(
        self, answers: t.Sequence[PeerGeneration], now: float
    ) -> list[Action]:
        """Want the greatest generation of all that peers told."""
        actions: list[Action] = []
        for answer in sorted(answers, key=lambda item: -item.generation):
            actions.extend(self.want(answer.generation, answer.digest, now))
        return actions

    def ask_peers(self) -> list[Action]:
        """Ask all peers while nothing is in force."""
        if self._configuration.generation > 0:
            return []
        return [QueryPeerGenerations()]

    def _describe(self) -> GenerationAnnounced:
        known = self._configuration
        return GenerationAnnounced(known.generation, known.digest)

    def _compare(self, generation: int, digest: str) -> list[Action]:
        """Report another digest under the generation in force."""
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
