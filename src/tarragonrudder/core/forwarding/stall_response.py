"""What to do about a stream that has fallen silent."""

import typing as t
from dataclasses import dataclass

# Part of a path that is replaced on suspicion alone. Replacing stages costs the
# reading of all tokens through their layers; for most of a path that is as much
# as starting anew, and then it is worth asking first which stage is at fault.
MAX_SUSPECT_SHARE = 0.34
# Patiences after which a silent path is left, if nobody could name a culprit:
# an engine's report is behind by about one, and callers leave after some ten.
RETRY_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class KeepWaiting:
    """Wait on; the path is slow, or who is at fault isn't known yet.

    Attributes
    ----------
    ask : bool
        Whether to ask the first stage for the one it waits for.
    """

    ask: bool


@dataclass(frozen=True, slots=True)
class Detour:
    """Replace stages of the running attempt; the others keep their memory."""

    around: frozenset[str]


@dataclass(frozen=True, slots=True)
class Retry:
    """Give the attempt up and begin another one without these stages."""

    excluded: frozenset[str]


StallResponse: t.TypeAlias = KeepWaiting | Detour | Retry


def choose_stall_response(
    names: t.Sequence[str],
    silent: t.Collection[str],
    culprits: t.Collection[str],
    timeouts: float,
    may_retry: bool,
) -> StallResponse:
    """Return what to do about a silent stream.

    Load pattern: a stage dies under tens of streams; those with few stages in
    doubt go round them before their callers' on-time limit, and no stream that
    is merely slow under load uses up its further attempts.

    Parameters
    ----------
    names : sequence of str
        Stages of its path, in order.
    silent : collection of str
        Those that no stream's events passed for one patience.
    culprits : collection of str
        Those that were found to be at fault.
    timeouts : float
        Length of the silence, in patiences of this stream.
    may_retry : bool
        Whether the request may be sent to one more upstream.
    """
    first = names[0]
    if culprits:
        if first not in culprits:
            return Detour(frozenset(culprits))
        return Retry(frozenset(culprits)) if may_retry else KeepWaiting(ask=False)
    if not silent:
        # Others pass all stages: the connection is silent, or the request waits.
        lost = timeouts >= RETRY_FACTOR and may_retry
        return Retry(frozenset()) if lost else KeepWaiting(ask=False)
    if first not in silent and len(silent) <= max(1, MAX_SUSPECT_SHARE * len(names)):
        return Detour(frozenset(silent))
    if timeouts >= RETRY_FACTOR and may_retry:
        return Retry(frozenset(silent))
    return KeepWaiting(ask=True)
