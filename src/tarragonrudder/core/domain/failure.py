"""Reasons why a call to an upstream got no complete answer."""

import typing as t
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection could be established, so nothing was sent."""


@dataclass(frozen=True, slots=True)
class Crashed:
    """The stream broke, or a stage reported that its next stage is gone."""


@dataclass(frozen=True, slots=True)
class Stalled:
    """The upstream did not answer within its timeout."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The upstream refused the request before running any of it.

    Attributes
    ----------
    leaving : bool
        Whether the upstream is shutting down.
    """

    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Malformed:
    """The upstream's answer violates the protocol."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Expired:
    """The time limit for sending the call had passed, so nothing was sent."""


Failure: t.TypeAlias = Unreachable | Crashed | Stalled | Refused | Malformed | Expired
