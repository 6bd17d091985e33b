"""Learned lengths of answers in the messages of nodes."""

import typing as t

from pydantic import BaseModel, ConfigDict, Field, FiniteFloat, ValidationError

from tarragonrudder.core.forwarding.answer_lengths import (
    MAX_SHARED,
    LengthKey,
    LengthSums,
)

Name: t.TypeAlias = t.Annotated[str, Field(max_length=200)]


class _Row(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: Name
    route: Name
    declared: bool
    sums: t.Annotated[list[FiniteFloat], Field(min_length=7, max_length=7)]


def encode_lengths(rows: t.Mapping[LengthKey, LengthSums]) -> list[t.Any]:
    """Return learned lengths as values of a message."""
    encoded = []
    for key, sums in rows.items():
        encoded.append(
            {
                "service": key.service,
                "route": key.route,
                "declared": key.is_declared,
                "sums": [round(value, 3) for value in sums.values],
            }
        )
    return encoded


def decode_lengths(content: t.Any) -> tuple[dict[LengthKey, LengthSums], int]:
    """Return the learned lengths of a message, and the number of rows left out."""
    if not isinstance(content, list):
        return {}, 0 if content is None else 1
    rows: dict[LengthKey, LengthSums] = {}
    dropped = max(0, len(content) - MAX_SHARED)
    for item in content[:MAX_SHARED]:
        try:
            row = _Row.model_validate(item)
        except ValidationError:
            dropped += 1
            continue
        sums = LengthSums(*row.sums)
        if not sums.is_valid:
            dropped += 1
            continue
        rows[LengthKey(row.service, row.route, row.declared)] = sums
    return rows, dropped
