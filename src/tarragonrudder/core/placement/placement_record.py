"""The placement record: what each moved engine should hold, for all nodes."""

import json
import typing as t
import zlib
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.placement.placement import Assignment, Placement


@dataclass(frozen=True, slots=True)
class PlacementRecord:
    """The placement that all nodes use.

    Attributes
    ----------
    number : int
        Fencing number of the planner that wrote it.
    revision : int
        The platform's revision, 0 if there is no record.
    """

    number: int
    revision: int
    placed: t.Mapping[str, Assignment]


def encode_record(number: int, placed: Placement) -> bytes:
    """Return a placement record's value."""
    engines = {}
    for name in sorted(placed):
        item = placed[name]
        engines[name] = [
            item.model,
            item.version,
            item.layers.first,
            item.layers.last,
        ]
    content = json.dumps({"number": number, "engines": engines})
    # Each node reads it at each move: 2,400 engines take 125 KB uncompressed.
    return zlib.compress(content.encode())


def decode_record(value: bytes, revision: int) -> PlacementRecord:
    """Return a placement record; ``ValueError`` or the like if it is broken."""
    item = json.loads(zlib.decompress(value))
    placed = {}
    for name, (model, version, first, last) in item["engines"].items():
        layers = LayerRange(int(first), int(last))
        placed[name] = Assignment(str(model), str(version), layers)
    return PlacementRecord(int(item["number"]), revision, placed)
