"""Events that report results of the platform's key-value service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRead:
    """A key was read.

    Attributes
    ----------
    tag : str
        Tag of the action that requested the read.
    value : bytes or None
        Value of the key; None if it does not exist.
    revision : int
        Modification revision of the key; 0 if it does not exist.
    """

    tag: str
    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """A compare-and-swap succeeded; `revision` is the key's new revision."""

    tag: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflicted:
    """A compare-and-swap found another revision, so nothing was written."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class SwapOutcomeUnknown:
    """The answer to a compare-and-swap was lost; the value may have been written."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class PlatformCallFailed:
    """A call to the key-value service failed.

    A read or swap did not reach the platform, so nothing was read or written.
    A lease may still have been granted or renewed if the answer was lost.
    """

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted or renewed.

    Attributes
    ----------
    lease : int
        Identifier of the lease in the platform.
    requested_at : float
        Time at which the call was sent; the lease is valid for at least `ttl`
        seconds from then.
    """

    tag: str
    lease: int
    ttl: float
    requested_at: float
