"""Errors that end a model answer."""

from tarragonrudder.errors import (
    DeadlineExceeded,
    NoChain,
    Quarantined,
    RunState,
    UpstreamFailed,
)

NO_CHAIN_RETRY_AFTER = 5.0  # seconds
DEADLINE_RETRY_AFTER = 1.0  # seconds


def make_quarantined_error(remaining: float, state: RunState) -> Quarantined:
    """Return the error of a fingerprint that is blocked for `remaining` seconds."""
    return Quarantined(
        "this request crashed upstreams; change it or wait", state, remaining
    )


def make_no_chain_error(state: RunState) -> NoChain:
    """Return the error of a request for which no chain is available."""
    return NoChain(
        "no live upstreams hold all layers; come back later",
        state,
        NO_CHAIN_RETRY_AFTER,
    )


def make_deadline_error(state: RunState) -> DeadlineExceeded:
    """Return the error of an answer that missed its deadline."""
    return DeadlineExceeded(
        "the answer was not whole in time; send it again",
        state,
        DEADLINE_RETRY_AFTER,
    )


def make_rejected_error(state: RunState) -> UpstreamFailed:
    """Return the error of a request that several upstreams reject."""
    return UpstreamFailed("upstreams reject the request; check its options", state)
