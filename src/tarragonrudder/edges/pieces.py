"""Content-addressed pieces of a folder's files.

Files are split before section headers. Whether a header starts a new piece depends
on the header alone, so that a change in one section changes only one piece and the
manifest.
"""

import hashlib
import io
import json
import typing as t
import zlib
from dataclasses import dataclass

from tarragonrudder.errors import PieceError

Files: t.TypeAlias = t.Mapping[str, str]
SECTIONS_PER_PIECE = 64  # average number of sections in a piece
MAX_PIECE_BYTES = 256 * 1024  # bytes of text, far below the limit of 1 MB for a value
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024  # limit for a decompressed piece


@dataclass(frozen=True, slots=True)
class PackedFolder:
    """A folder split into pieces.

    Attributes
    ----------
    digest : str
        Digest of the manifest, which identifies the whole content.
    pieces : dict
        Text of each piece by digest, including the manifest.
    """

    digest: str
    pieces: t.Mapping[str, str]


def digest_text(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def digest_files(files: Files) -> str:
    """Return the digest of a folder's contents."""
    return pack_files(files).digest


def pack_files(files: Files) -> PackedFolder:
    """Return a folder's pieces and its digest."""
    pieces: dict[str, str] = {}
    manifest = []
    for name in sorted(files):
        digests = []
        for text in split_text(files[name]):
            digest = digest_text(text)
            pieces[digest] = text
            digests.append(digest)
        manifest.append([name, digests])
    text = json.dumps({"files": manifest})
    digest = digest_text(text)
    pieces[digest] = text
    return PackedFolder(digest, pieces)


def split_text(text: str) -> list[str]:
    """Return the parts of a file, split before some of its section headers."""
    parts: list[str] = []
    part: list[str] = []
    size = 0
    for line in io.StringIO(text):
        starts_piece = line.startswith("[") and _starts_piece(line)
        # A character has at most 4 bytes in UTF-8.
        if part and (starts_piece or size + len(line) * 4 > MAX_PIECE_BYTES):
            parts.append("".join(part))
            part, size = [], 0
        part.append(line)
        size += len(line.encode())
    parts.append("".join(part))
    return parts


def read_manifest(text: str) -> dict[str, list[str]]:
    """Return the digests of each file's pieces.

    Raises
    ------
    PieceError
        If the text is not a valid manifest.
    """
    try:
        item = json.loads(text)
        files = {str(name): list(map(str, digests)) for name, digests in item["files"]}
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise PieceError("the manifest is damaged; apply the folder again") from error
    return files


def join_files(manifest: str, pieces: t.Mapping[str, str]) -> dict[str, str]:
    """Return the files that a manifest lists, joined from their pieces."""
    files = {}
    for name, digests in read_manifest(manifest).items():
        files[name] = "".join(pieces[digest] for digest in digests)
    return files


def compress_piece(text: str) -> bytes:
    """Return a piece in its stored form."""
    return zlib.compress(text.encode())


def decompress_piece(value: bytes, digest: str) -> str:
    """Return the text of a stored piece.

    Raises
    ------
    PieceError
        If it is damaged or does not match the digest.
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(value, MAX_DECOMPRESSED_BYTES)
        text = data.decode()
    except (zlib.error, ValueError) as error:
        raise PieceError(
            f"piece {digest} is damaged; apply the folder again"
        ) from error
    if digest_text(text) != digest:
        raise PieceError(f"piece {digest} has other contents; apply the folder again")
    return text


def _starts_piece(header: str) -> bool:
    digest = hashlib.sha256(header.strip().encode()).digest()
    return int.from_bytes(digest[:4]) % SECTIONS_PER_PIECE == 0
