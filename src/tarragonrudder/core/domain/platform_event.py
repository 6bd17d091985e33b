"""Answers of the platform's key-value service, as events."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRead:
    """A read of one key ended.

    Attributes
    ----------
    tag : str
        The tag of the action that asked.
    value : bytes or None
        None if the key does not exist.
    revision : int
        The key's modification revision, 0 if it does not exist.
    """

    tag: str
    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """A compare-and-swap succeeded; `revision` is the key's new one."""

    tag: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflicted:
    """A compare-and-swap found another revision and wrote nothing."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class SwapOutcomeUnknown:
    """A compare-and-swap's answer was lost: it may have been written."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class PlatformCallFailed:
    """A call did not reach the platform: nothing was read or written."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted or renewed.

    Attributes
    ----------
    lease : int
        The platform's name of the lease.
    requested_at : float
        When the call left: the lease runs `ttl` seconds from then at least.
    """

    tag: str
    lease: int
    ttl: float
    requested_at: float
