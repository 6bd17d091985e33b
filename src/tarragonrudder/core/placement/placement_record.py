"""The placement record: what each moved engine should hold, shared by all nodes."""

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
    fencing_token : int
        Fencing token of the planner that wrote it.
    revision : int
        The platform's revision of the record, 0 if there is none.
    """

    fencing_token: int
    revision: int
    placed: t.Mapping[str, Assignment]


def encode_placement_record(fencing_token: int, placed: Placement) -> bytes:
    """Return the stored value of a placement record: compressed JSON."""
    engines = {}
    for name in sorted(placed):
        item = placed[name]
        engines[name] = [
            item.model,
            item.version,
            item.layers.first,
            item.layers.last,
        ]
    content = json.dumps({"number": fencing_token, "engines": engines})
    # Every node reads it after every move; 2,400 engines take 125 KB uncompressed.
    return zlib.compress(content.encode())


def decode_placement_record(value: bytes, revision: int) -> PlacementRecord:
    """Return a placement record from its stored value.

    Raises
    ------
    ValueError, KeyError, TypeError, zlib.error
        The value is invalid.
    """
    item = json.loads(zlib.decompress(value))
    placed = {}
    for name, (model, version, first, last) in item["engines"].items():
        layers = LayerRange(int(first), int(last))
        placed[name] = Assignment(str(model), str(version), layers)
    return PlacementRecord(int(item["number"]), revision, placed)
