"""Header by which nodes tell each other of a request that one passes on.

On the request it tells of the node that has the caller, on the answer of the other.
"""

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from tarragonrudder.edges.relay_interfaces import Handover

MAX_NAMES = 16  # upstreams in each list; a request is sent to a few at most
MAX_HEADER_BYTES = 8192


class _Header(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    node: str = Field(min_length=1)
    sent_to: tuple[str, ...] = Field((), max_length=MAX_NAMES)
    avoided: tuple[str, ...] = Field((), max_length=MAX_NAMES)
    may_repeat: bool = False


class HandoverError(Exception):
    """The header can't be read."""


def encode_handover(handover: Handover) -> bytes:
    """Encode what a node tells of a request."""
    return orjson.dumps(
        {
            "node": handover.node,
            "sent_to": handover.sent_to[:MAX_NAMES],
            "avoided": handover.avoided[:MAX_NAMES],
            "may_repeat": handover.may_repeat,
        }
    )


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
    return Handover(found.node, found.sent_to, found.avoided, found.may_repeat)
