"""Last changes of a large document, by which nodes follow it without its whole text."""

import hashlib
import typing as t
from dataclasses import dataclass

DIGEST_BYTES = 8
# Ends most elements of a list of objects, in whatever layout the document is written.
# Any separator is correct; this one lets a changed element leave the others equal.
SEPARATOR = b"},"
MAX_DOCUMENT_BYTES = 16 << 20
MAX_CHANGES = 64
MAX_HISTORY_BYTES = 128 << 10  # of all kept changes in memory
PIECE_BYTES = 100  # of a piece in memory, beside its text

Piece: t.TypeAlias = tuple[int, int] | bytes


class ChangeError(Exception):
    """A change can't be applied to a document."""


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """How one text of a document becomes the next.

    Attributes
    ----------
    before, after : str
        Digests of the two texts.
    pieces : tuple of (int, int) or bytes
        What the new text consists of: the index and the number of elements of the
        text before, or new text.
    """

    before: str
    after: str
    pieces: tuple[Piece, ...]

    @property
    def size(self) -> int:
        """Bytes in memory, roughly."""
        texts = (piece for piece in self.pieces if isinstance(piece, bytes))
        return PIECE_BYTES * len(self.pieces) + sum(map(len, texts))


class DocumentHistory:
    """Chain of the last changes, up to the text in force.

    Load pattern: one of thousands of routes changes, several times a second, and each
    of hundreds of nodes needs each version within the same second. A change is small;
    the document is not.
    """

    def __init__(self) -> None:
        self._changes: list[DocumentChange] = []

    def note(self, before: bytes, after: bytes) -> None:
        """Add the change from the text in force to another one."""
        if not before:
            self._changes.clear()
            return
        self.extend((compare_documents(before, after),))

    def extend(self, changes: t.Iterable[DocumentChange]) -> None:
        """Add changes, the first of which starts at the text in force."""
        for change in changes:
            if self._changes and self._changes[-1].after != change.before:
                self._changes.clear()
            self._changes.append(change)
        size = sum(change.size for change in self._changes)
        while size > MAX_HISTORY_BYTES or len(self._changes) > MAX_CHANGES:
            size -= self._changes.pop(0).size

    def list_since(self, digest: str) -> tuple[DocumentChange, ...] | None:
        """Return the changes since a text, None if they are not all known."""
        for index in reversed(range(len(self._changes))):
            if self._changes[index].before == digest:
                return tuple(self._changes[index:])
        return None


def compute_digest(text: bytes) -> str:
    """Return the digest by which nodes compare texts."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def compare_documents(before: bytes, after: bytes) -> DocumentChange:
    """Return the change from one text to another."""
    known = before.split(SEPARATOR)
    positions: dict[bytes, int] = {}
    for index, element in enumerate(known):
        positions.setdefault(element, index)
    pieces: list[Piece] = []
    added: list[bytes] = []
    start = count = 0
    for element in after.split(SEPARATOR):
        end = start + count
        if count and end < len(known) and known[end] == element:
            count += 1
            continue
        if count:
            pieces.append((start, count))
            count = 0
        position = positions.get(element)
        if position is None:
            added.append(element)
            continue
        if added:
            pieces.append(SEPARATOR.join(added))
            added = []
        start, count = position, 1
    if count:
        pieces.append((start, count))
    if added:
        pieces.append(SEPARATOR.join(added))
    return DocumentChange(compute_digest(before), compute_digest(after), tuple(pieces))


def apply_change(text: bytes, change: DocumentChange) -> bytes:
    """Return the text after a change.

    Raises
    ------
    ChangeError
        If the change is of another text, or doesn't lead to the text it names.
    """
    if compute_digest(text) != change.before:
        raise ChangeError("the change is of another text")
    known = text.split(SEPARATOR)
    parts: list[bytes] = []
    size = 0
    for piece in change.pieces:
        if isinstance(piece, bytes):
            part = piece
        else:
            start, count = piece
            if start < 0 or count < 1 or start + count > len(known):
                raise ChangeError("the change names elements that don't exist")
            part = SEPARATOR.join(known[start : start + count])
        size += len(part) + len(SEPARATOR)
        if size > MAX_DOCUMENT_BYTES:
            raise ChangeError(f"the change leads to over {MAX_DOCUMENT_BYTES} bytes")
        parts.append(part)
    found = SEPARATOR.join(parts)
    if compute_digest(found) != change.after:
        raise ChangeError("the change leads to another text than it names")
    return found
