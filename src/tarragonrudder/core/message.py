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
class LimitDemand:
    """What a node used of accounts and wants of them; one item per account.

    Attributes
    ----------
    sequence : int
        Grows with each message of a node; a resend keeps its number.
    used : tuple of float
        Requests admitted without a grant, less granted ones given back.
    wanted : tuple of float
        Requests asked for.
    rates : tuple of float
        Requests a second that came to the node.
    """

    sequence: int
    accounts: tuple[str, ...]
    used: tuple[float, ...]
    wanted: tuple[float, ...]
    rates: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitGrant:
    """What the owner of accounts grants a node; one item per account.

    Attributes
    ----------
    granted : tuple of float
        Requests that the node may admit.
    shares : tuple of float
        Requests a second that the node can count on.
    retries : tuple of float
        Seconds until the node should ask again.
    """

    accounts: tuple[str, ...]
    granted: tuple[float, ...]
    shares: tuple[float, ...]
    retries: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitProbe:
    """Shows whether a node can be reached; one without `reply` asks for one."""

    reply: bool


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
    LimitDemand,
    LimitGrant,
    LimitProbe,
    RecordSubmitted,
    RecordDecided,
)
Message: t.TypeAlias = (
    UpstreamLeaving
    | FingerprintBlocked
    | GenerationAnnounced
    | LimitDemand
    | LimitGrant
    | LimitProbe
    | RecordSubmitted
    | RecordDecided
)
