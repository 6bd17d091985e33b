"""An opaque request as the router sees it, and what upstreams say to it."""

import typing as t
from dataclasses import dataclass, field

Headers: t.TypeAlias = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request; body and most headers are passed on unread.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    target : str
        Path and query.
    api_key : str or None
        API key; never passed on.
    timeout : float or None
        Seconds that the caller will wait.
    prompt_tokens, max_tokens : int
        Tokens to be read, and at most written; 0 for plain requests.
    hinted_tokens : int or None
        Tokens that the caller expects; right in the middle, often far off.
    last_event : int or None
        Event behind which the caller wants a stream to go on.
    fingerprint : str
        Digest of what makes two requests the same work.
    arrived : float
        Seconds on the node's clock.
    headers : tuple
        What is passed on.
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
    fingerprint: str
    arrived: float
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The upstream's own answer begins.

    Attributes
    ----------
    success : bool
        Whether it is a 2xx with the upstream's signature.
    headers : tuple
        What is passed on to the caller.
    """

    status: int
    success: bool
    headers: Headers


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream did not run the request and never will.

    Attributes
    ----------
    faulty_address : str or None
        Address of the upstream at fault, where it was named.
    misdirected : bool
        Whether that upstream isn't the expected one or lacks the layers;
        otherwise it is full, leaving or out of reach.
    """

    faulty_address: str | None
    misdirected: bool


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """What came is no valid answer to this request; it may have run."""

    detail: str


UpstreamResponse: t.TypeAlias = Accepted | Rejected | InvalidResponse
