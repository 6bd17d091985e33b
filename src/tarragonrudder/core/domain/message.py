"""Messages between nodes, encoded as JSON by ``tarragonrudder.edges.peer``.

A new message is a frozen data class of JSON values, added to ``MESSAGES``.
"""

import typing as t
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream is shutting down.

    Attributes
    ----------
    age : float
        Seconds since a node first learned of it.
    """

    upstream: str
    age: float
    kind: t.Literal["leaving"] = "leaving"


@dataclass(frozen=True, slots=True)
class CrashNoted:
    """A request was running on an upstream when it crashed.

    Attributes
    ----------
    strong : bool
        Whether the request is a strong suspect: no token of the attempt had
        arrived from the upstream, or at most one if the attempt was a retry.
    age : float
        Seconds since the crash.
    """

    fingerprint: str
    upstream: str
    strong: bool
    age: float
    kind: t.Literal["crash"] = "crash"


@dataclass(frozen=True, slots=True)
class SuspectPlaced:
    """A request suspected of crashes is running again, on these upstreams.

    Attributes
    ----------
    age : float
        Seconds since it was sent to them.
    """

    fingerprint: str
    upstreams: tuple[str, ...]
    age: float
    kind: t.Literal["placed"] = "placed"


@dataclass(frozen=True, slots=True)
class FingerprintBlocked:
    """A request has crashed upstreams and is refused on all nodes for a period.

    Attributes
    ----------
    upstreams : tuple of str
        Upstreams whose crashes are attributed to the request.
    age : float
        Seconds since the refusal began.
    """

    fingerprint: str
    upstreams: tuple[str, ...]
    age: float
    kind: t.Literal["blocked"] = "blocked"


@dataclass(frozen=True, slots=True)
class CrashDenied:
    """An upstream whose streams broke is alive; only its connections were lost.

    Attributes
    ----------
    age : float
        Seconds since it answered a probe.
    """

    upstream: str
    age: float
    kind: t.Literal["denied"] = "denied"


Fact: t.TypeAlias = (
    UpstreamLeaving | CrashNoted | SuspectPlaced | FingerprintBlocked | CrashDenied
)


@dataclass(frozen=True, slots=True)
class Facts:
    """Facts spread between nodes by gossip."""

    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class GenerationAnnounced:
    """The configuration generation that is active on a node.

    Attributes
    ----------
    digest : str
        Digest of the configuration folder's contents.
    """

    generation: int
    digest: str = ""


@dataclass(frozen=True, slots=True)
class LimitDemand:
    """A node's use of rate limits and its demand; one item per account.

    Attributes
    ----------
    sequence : int
        Increases with each message of a node; a resend keeps its number.
    used : tuple of float
        Requests admitted without a grant, minus granted ones that were
        returned unused.
    wanted : tuple of float
        Requests for which a grant is wanted.
    rates : tuple of float
        Requests per second that arrived at the node.
    """

    sequence: int
    accounts: tuple[str, ...]
    used: tuple[float, ...]
    wanted: tuple[float, ...]
    rates: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitGrant:
    """Grants to a node by the node that owns the accounts; one item per account.

    Attributes
    ----------
    granted : tuple of float
        Number of requests that the node may admit.
    shares : tuple of float
        Requests per second that the node can rely on.
    retries : tuple of float
        Seconds after which the node should ask again.
    """

    accounts: tuple[str, ...]
    granted: tuple[float, ...]
    shares: tuple[float, ...]
    retries: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class LimitProbe:
    """Checks whether a node is reachable; it is answered if `reply` is False."""

    reply: bool


@dataclass(frozen=True, slots=True)
class RecordSubmitted:
    """A command for a shard of the action records, sent to its owner.

    Attributes
    ----------
    ticket : str
        Correlation id, returned with the decision.
    command : str
        Encoded by ``tarragonrudder.core.calls.record.encode_command``.
    """

    ticket: str
    command: str


@dataclass(frozen=True, slots=True)
class RecordDecided:
    """The shard owner's decision on a command.

    Attributes
    ----------
    record : str
        The record now in effect, as one line; empty if it is not known.
    """

    ticket: str
    record: str


MESSAGES: tuple[type, ...] = (
    Facts,
    GenerationAnnounced,
    LimitDemand,
    LimitGrant,
    LimitProbe,
    RecordSubmitted,
    RecordDecided,
)
Message: t.TypeAlias = (
    Facts
    | GenerationAnnounced
    | LimitDemand
    | LimitGrant
    | LimitProbe
    | RecordSubmitted
    | RecordDecided
)
