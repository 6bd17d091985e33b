"""A forwarded request as the router sees it, and an upstream's response to it."""

import typing as t
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Trait:
    """What requests may have in common.

    Attributes
    ----------
    kind : str
        ``request`` for all of a request, ``part`` for one part of its prompt.
    key : str
        Its fingerprint, or the part's id.
    """

    kind: t.Literal["request", "part"]
    key: str


Headers: t.TypeAlias = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request; its body and most headers are opaque to the router.

    Attributes
    ----------
    request_id : str
        Identifier that the caller gave to this attempt.
    target : str
        Path and query.
    api_key : str or None
        API key; never forwarded.
    timeout : float or None
        Seconds that the caller waits for the answer; None if not stated.
    prompt_tokens, max_tokens : int
        Tokens of the prompt, and the most that the answer may have; 0 for
        plain requests.
    hinted_tokens : int or None
        Answer length that the caller expects, in tokens; correct in the
        median, but often far off for a single request.
    last_event : int or None
        Number of the event after which a stream is to be resumed.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    fingerprint : str
        Digest that is the same for all requests for the same work.
    arrived : float
        Time of arrival, in seconds on the node's clock.
    headers : tuple
        Headers to forward.
    """

    request_id: str
    method: str
    host: str
    target: str
    api_key: str | None
    timeout: float | None
    prompt_tokens: int
    max_tokens: int
    hinted_tokens: int | None
    last_event: int | None
    prompt_parts: tuple[str, ...]
    fingerprint: str
    arrived: float
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)

    @property
    def traits(self) -> tuple[Trait, ...]:
        """What it may have in common with other requests."""
        parts = tuple(Trait("part", part) for part in self.prompt_parts)
        return (Trait("request", self.fingerprint), *parts)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The upstream accepted the request; its answer follows.

    Attributes
    ----------
    success : bool
        Whether the status is 2xx; the answer has the upstream's signature.
    headers : tuple
        Headers to forward to the caller.
    """

    status: int
    success: bool
    headers: Headers


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream did not run the request and will not run it later.

    Attributes
    ----------
    faulty_address : str or None
        Address of the upstream that caused the rejection, if it was named.
    misdirected : bool
        True if that upstream is not the expected instance or does not hold
        the layers; False if it is full, shutting down or unreachable.
    retry_after : float
        Seconds after which another node that rejected it would take it; 0 if unknown.
    """

    faulty_address: str | None
    misdirected: bool
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """The response is not a valid answer to the request, which may have run."""

    detail: str


UpstreamResponse: t.TypeAlias = Accepted | Rejected | InvalidResponse
