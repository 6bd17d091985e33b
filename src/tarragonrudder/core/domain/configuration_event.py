"""Events about configurations, posted by the edges."""

from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationLoaded:
    """A configuration was loaded from the platform or a peer, and validated."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationLoadFailed:
    """The contents of a generation could not be loaded.

    Attributes
    ----------
    permanent : bool
        Whether the contents were read completely but are unusable on this
        node, so that another read can't help.
    """

    generation: int
    digest: str
    reason: str
    permanent: bool = False


@dataclass(frozen=True, slots=True)
class FolderChecked:
    """The operators' configuration folder was read and validated as a whole.

    Attributes
    ----------
    findings : tuple of str
        All faults; empty if the folder is valid.
    """

    digest: str
    findings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FolderReadFailed:
    """The operators' configuration folder could not be read."""

    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class PeerGeneration:
    """The configuration generation that is active on another node."""

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class PeerGenerationsRead:
    """The query of all known nodes ended; `answers` holds those that answered."""

    answers: tuple[PeerGeneration, ...]
