"""What a node knows of the store's content, told to nodes that read it less often."""

import base64
import binascii
import typing as t
from dataclasses import dataclass

from pydantic import (
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    FiniteFloat,
    TypeAdapter,
)

from tarragonrudder.platform.decoding import Count
from tarragonrudder.platform.metadata_store import Item, Position

MAX_KEPT_CHANGES = 4096
MAX_SENT_CHANGES = 512


_Position: t.TypeAlias = t.Annotated[list[Count], Field(min_length=2, max_length=2)]
_POSITION = TypeAdapter(_Position, config=ConfigDict(strict=True))


class _View(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    position: _Position
    age: FiniteFloat = Field(ge=0.0)
    configuration: tuple[Count, str]
    items: t.Annotated[tuple[tuple[str, Count, str | None], ...], FailFast()]


@dataclass(frozen=True, slots=True)
class StoreView:
    """The changes between two positions of the store.

    Attributes
    ----------
    position : Position
        Position up to which they are complete.
    age : float
        Seconds since when there may be newer ones.
    configuration : tuple of (int, str)
        Revision and digest of the configuration, which is told apart.
    items : tuple of Item
        Changes that matter to a node, in any order.
    """

    position: Position
    age: float
    configuration: tuple[int, str]
    items: tuple[Item, ...]


class ChangeLog:
    """The last change that matters of each key, since some position.

    Load pattern: hundreds of upstreams write their entries each second, and nearly
    all of these changes are heartbeats, which are not kept.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._complete_since = 0

    def reset(self, position: Position) -> None:
        """Forget all changes; those after a position follow."""
        self._items.clear()
        self._complete_since = position.revision

    def note(self, item: Item) -> None:
        """Add a change, which is newer than the others."""
        self._items.pop(item.key, None)
        self._items[item.key] = item
        while len(self._items) > MAX_KEPT_CHANGES:
            dropped = self._items.pop(next(iter(self._items)))
            self._complete_since = max(self._complete_since, dropped.revision)

    def list_since(self, revision: int) -> list[Item] | None:
        """Return the changes after a revision, None if not all are known."""
        if revision < self._complete_since:
            return None
        found = []
        for item in reversed(self._items.values()):
            if item.revision <= revision:
                break
            if len(found) >= MAX_SENT_CHANGES:
                return None
            found.append(item)
        found.reverse()
        return found


def encode_position(position: Position | None) -> list[int] | None:
    """Encode the position up to which a node knows all changes."""
    return None if position is None else [position.epoch, position.revision]


def decode_position(fields: t.Any) -> Position | None:
    """Decode a peer's position; None if it has none, or is of an older build.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if fields is None:
        return None
    epoch, revision = _POSITION.validate_python(fields)
    return Position(revision, epoch)


def encode_view(view: StoreView | None) -> dict[str, t.Any] | None:
    """Encode a view for a peer."""
    if view is None:
        return None
    rows = []
    for item in view.items:
        value = None
        if item.value is not None:
            value = base64.b64encode(item.value).decode()
        rows.append([item.key, item.revision, value])
    return {
        "position": encode_position(view.position),
        "age": round(view.age, 3),
        "configuration": list(view.configuration),
        "items": rows,
    }


def decode_view(fields: t.Any) -> StoreView | None:
    """Decode a peer's view; None if it has none, or is of an older build.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if fields is None:
        return None
    found = _View.model_validate(fields)
    epoch, revision = found.position
    items = []
    for key, item_revision, text in found.items:
        value = None
        if text is not None:
            try:
                value = base64.b64decode(text, validate=True)
            except binascii.Error as error:
                raise ValueError(f"the value of {key!r}: {error}") from error
        items.append(Item(key, value, item_revision))
    position = Position(revision, epoch)
    return StoreView(position, found.age, found.configuration, tuple(items))
