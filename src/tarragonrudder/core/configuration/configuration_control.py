"""Configuration events of a node: acceptance, adoption and polling."""

import random

from tarragonrudder.core.configuration.acceptance import (
    ACCEPT_TAG,
    ACCEPT_TIMER,
    Acceptance,
)
from tarragonrudder.core.configuration.adoption import (
    CONFIGURATION_TAG,
    LOAD_TIMER,
    POLL_TIMER,
    Adoption,
)
from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    FOLDER_KEY,
    REJECTED_KEY,
    decode_accepted,
    decode_folder,
    decode_rejected,
)
from tarragonrudder.core.domain.action import (
    Action,
    CountMetric,
    LogDecision,
    ReadKey,
    SetTimer,
)
from tarragonrudder.core.domain.configuration_event import (
    ConfigurationLoaded,
    ConfigurationLoadFailed,
    FolderChecked,
    FolderReadFailed,
    PeerGenerationsRead,
)
from tarragonrudder.core.domain.event import (
    Event,
    NodesListed,
    PeerMessageReceived,
    TimerFired,
)
from tarragonrudder.core.domain.message import GenerationAnnounced
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)
from tarragonrudder.errors import RecordError

POLL_PERIOD = 5.0  # seconds; catches changes that a watch missed
START_POLL_PERIOD = 1.0  # seconds, until a configuration is in force
POLL_JITTER = 0.2  # largest deviation, as a share of the period
POLL_FANOUT = 1  # peers notified at each poll

_TAGS = (CONFIGURATION_TAG, ACCEPT_TAG)
_TIMERS = (POLL_TIMER, LOAD_TIMER, ACCEPT_TIMER)


class ConfigurationControl:
    """Routes configuration events to acceptance and adoption."""

    def __init__(self, name: str, source: random.Random) -> None:
        self._name = name
        self._random = source
        self.adoption = Adoption(name, source)
        self.acceptance = Acceptance(name)

    def start(self, now: float) -> list[Action]:
        """Read the accepted configuration and start polling."""
        return self._poll(now)

    def handles(self, event: Event) -> bool:
        """Return whether an event concerns only the configuration."""
        match event:
            case (
                ConfigurationLoaded()
                | ConfigurationLoadFailed()
                | PeerGenerationsRead()
            ):
                return True
            case FolderChecked() | FolderReadFailed():
                return True
            case KeyRead() | PlatformCallFailed():
                return event.tag in _TAGS
            case Swapped() | SwapConflicted() | SwapOutcomeUnknown():
                return event.tag in _TAGS
            case TimerFired():
                return event.timer in _TIMERS
            case PeerMessageReceived():
                return isinstance(event.message, GenerationAnnounced)
        return False

    def set_nodes(self, event: NodesListed) -> None:
        """Replace the list of live nodes."""
        names = tuple(sorted(node.name for node in event.nodes))
        self.acceptance.set_nodes(names)
        self.adoption.set_peers(tuple(name for name in names if name != self._name))

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event for which ``handles`` returns true."""
        match event:
            case ConfigurationLoaded():
                return self.adoption.adopt_if_newer(event.configuration)
            case ConfigurationLoadFailed():
                return self.adoption.handle_load_failure(event, now)
            case PeerGenerationsRead():
                return self.adoption.handle_peer_generations(event.answers, now)
            case FolderChecked():
                in_force = self.adoption.configuration.generation
                return self.acceptance.handle_checked(event, in_force, now)
            case FolderReadFailed():
                return self.acceptance.handle_read_failure(event, now)
            case KeyRead():
                return self._handle_value(event, now)
            case PlatformCallFailed():
                return self._handle_failure(event, now)
            case Swapped():
                return self._read_back(event.key)
            case SwapConflicted() | SwapOutcomeUnknown():
                return [*self._read_back(event.key), *self.acceptance.retry(now)]
            case TimerFired():
                return self._handle_timer(event.timer, now)
            case PeerMessageReceived():
                return self._handle_announcement(event, now)
        return []

    def _handle_value(self, event: KeyRead, now: float) -> list[Action]:
        actions: list[Action] = []
        try:
            match event.key:
                case _ if event.key == ACCEPTED_KEY:
                    accepted = decode_accepted(event.value, event.revision)
                    actions.extend(self.acceptance.merge(accepted, now))
                    actions.extend(
                        self.adoption.request_generation(
                            accepted.generation, accepted.digest, now
                        )
                    )
                case _ if event.key == FOLDER_KEY:
                    folder = decode_folder(event.value, event.revision)
                    actions.extend(self.acceptance.merge(folder, now))
                case _ if event.key == REJECTED_KEY:
                    rejected = decode_rejected(event.value, event.revision)
                    actions.extend(self.acceptance.merge(rejected, now))
        except RecordError as error:
            fields = {"key": event.key, "reason": str(error)}
            actions.append(LogDecision("configuration_record_invalid", fields))
            actions.append(CountMetric("configuration.record_invalid"))
            actions.extend(self.adoption.ask_peers())
        if event.tag == ACCEPT_TAG:
            actions.extend(self.acceptance.handle_read(event.key, now))
        return actions

    def _handle_failure(self, event: PlatformCallFailed, now: float) -> list[Action]:
        if event.tag == ACCEPT_TAG:
            return self.acceptance.retry(now)
        if event.key != ACCEPTED_KEY:
            return []
        return self.adoption.ask_peers()

    def _read_back(self, key: str) -> list[Action]:
        return [ReadKey(CONFIGURATION_TAG, key)]

    def _handle_timer(self, timer: str, now: float) -> list[Action]:
        if timer == LOAD_TIMER:
            return self.adoption.load()
        if timer == ACCEPT_TIMER:
            return self.acceptance.begin(now)
        return self._poll(now)

    def _poll(self, now: float) -> list[Action]:
        ready = self.adoption.configuration.generation > 0
        period = POLL_PERIOD if ready else START_POLL_PERIOD
        period *= 1.0 + self._random.uniform(-POLL_JITTER, POLL_JITTER)
        actions: list[Action] = [
            SetTimer(POLL_TIMER, now + period),
            ReadKey(CONFIGURATION_TAG, ACCEPTED_KEY),
            ReadKey(CONFIGURATION_TAG, FOLDER_KEY),
        ]
        actions.extend(self.adoption.announce(POLL_FANOUT))
        return actions

    def _handle_announcement(
        self, event: PeerMessageReceived, now: float
    ) -> list[Action]:
        message = event.message
        valid = isinstance(message.generation, int) and isinstance(message.digest, str)
        if not valid or message.generation < 0:
            return [CountMetric("configuration.announcement_invalid")]
        return self.adoption.handle_announcement(event.node, message, now)
