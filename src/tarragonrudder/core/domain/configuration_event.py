"""What the edges tell of configurations, as events."""

from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationLoaded:
    """A validated configuration was read from the platform or a peer."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationLoadFailed:
    """The contents of a generation could not be read or used.

    Attributes
    ----------
    permanent : bool
        Whether the contents were read whole, but this node can't use them.
    """

    generation: int
    digest: str
    reason: str
    permanent: bool = False


@dataclass(frozen=True, slots=True)
class FolderChecked:
    """The operators' folder was read and checked as a whole.

    Attributes
    ----------
    findings : tuple of str
        All faults; empty if it is valid.
    """

    digest: str
    findings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FolderReadFailed:
    """The operators' folder could not be read."""

    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class PeerGeneration:
    """The generation that another node says it has in force."""

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class PeerGenerationsRead:
    """All known nodes were asked for their generation; some answered."""

    answers: tuple[PeerGeneration, ...]
