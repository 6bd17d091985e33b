"""Choice of a response to a stalled stream."""

import typing as t
from dataclasses import dataclass

# Part of a path that is replaced on suspicion alone. New stages must prefill all
# tokens through their layers. For most of a path that costs as much as a new attempt,
# so it is worth asking first which stage is at fault.
MAX_SUSPECT_SHARE = 0.34
# Stall timeouts after which a silent path is given up if no culprit was found: an
# engine's report lags by about one, and callers give up after about ten.
RETRY_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class KeepWaiting:
    """Keep waiting; the path is slow, or the culprit isn't known yet.

    Attributes
    ----------
    ask : bool
        Whether to ask the first stage which stage it waits for.
    """

    ask: bool


@dataclass(frozen=True, slots=True)
class Detour:
    """Replace some stages of the running attempt; the others keep their KV cache."""

    replaced: frozenset[str]


@dataclass(frozen=True, slots=True)
class Retry:
    """Give up the attempt and start another one without these stages."""

    excluded: frozenset[str]


StallResponse: t.TypeAlias = KeepWaiting | Detour | Retry


def choose_stall_response(
    names: t.Sequence[str],
    silent: t.Collection[str],
    culprits: t.Collection[str],
    timeouts: float,
    may_retry: bool,
) -> StallResponse:
    """Return the response to a stalled stream.

    Load pattern: a stage dies under tens of streams. Streams with few suspected
    stages must bypass them within their routes' latency targets, and streams that
    are only slow under load must not use up their retries.

    Parameters
    ----------
    names : sequence of str
        Stages of the stream's path, in order.
    silent : collection of str
        Stages that no stream's events passed for one stall timeout.
    culprits : collection of str
        Stages that were found to be at fault.
    timeouts : float
        Length of the silence, in stall timeouts of this stream.
    may_retry : bool
        Whether the request may be sent to one more upstream.
    """
    first = names[0]
    if culprits:
        if first not in culprits:
            return Detour(frozenset(culprits))
        return Retry(frozenset(culprits)) if may_retry else KeepWaiting(ask=False)
    if not silent:
        # Events of other streams pass all stages: only this stream's connection
        # is silent, or its request is queued.
        lost = timeouts >= RETRY_FACTOR and may_retry
        return Retry(frozenset()) if lost else KeepWaiting(ask=False)
    if first not in silent and len(silent) <= max(1, MAX_SUSPECT_SHARE * len(names)):
        return Detour(frozenset(silent))
    if timeouts >= RETRY_FACTOR and may_retry:
        return Retry(frozenset(silent))
    return KeepWaiting(ask=True)
