"""Messages between nodes; the peer edge encodes them as JSON.

A new message is a frozen data class of JSON values, added to ``MESSAGES``.
"""

import typing as t
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream said that it is shutting down."""

    upstream: str
    age: float


@dataclass(frozen=True, slots=True)
class FingerprintBlocked:
    """A request crashed upstreams and is refused on all nodes for a period."""

    fingerprint: str
    remaining: float


@dataclass(frozen=True, slots=True)
class GenerationAnnounced:
    """The configuration generation that a node has in force."""

    generation: int


@dataclass(frozen=True, slots=True)
class RecordSubmitted:
    """A command for a shard of the action records, sent to its owner.

    Attributes
    ----------
    ticket : str
        Returned with the decision.
    command : str
        As ``tarragonrudder.core.record.encode_command`` writes it.
    """

    ticket: str
    command: str


@dataclass(frozen=True, slots=True)
class RecordDecided:
    """An owner's decision on a command.

    Attributes
    ----------
    record : str
        The record that stands, one line; empty if that is not known.
    """

    ticket: str
    record: str


MESSAGES: tuple[type, ...] = (
    UpstreamLeaving,
    FingerprintBlocked,
    GenerationAnnounced,
    RecordSubmitted,
    RecordDecided,
)
Message: t.TypeAlias = (
    UpstreamLeaving
    | FingerprintBlocked
    | GenerationAnnounced
    | RecordSubmitted
    | RecordDecided
)
