"""Header by which a node tells another one of a request that it passes on."""

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from tarragonrudder.edges.relay import Handover

MAX_SENT_TO = 16  # upstreams; a request is sent to a few at most
MAX_HEADER_BYTES = 8192


class _Header(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    node: str = Field(min_length=1)
    sent_to: tuple[str, ...] = Field((), max_length=MAX_SENT_TO)


class HandoverError(Exception):
    """The header can't be read."""


def encode_handover(handover: Handover) -> bytes:
    """Encode what a node tells of a request."""
    sent_to = handover.sent_to[:MAX_SENT_TO]
    return orjson.dumps({"node": handover.node, "sent_to": sent_to})


def decode_handover(value: bytes) -> Handover:
    """Decode the header of another node.

    Raises
    ------
    HandoverError
        If it is invalid.
    """
    try:
        found = _Header.model_validate_json(value[:MAX_HEADER_BYTES])
    except ValidationError as error:
        raise HandoverError(f"invalid handover of a node: {error!r}") from error
    return Handover(found.node, found.sent_to)
