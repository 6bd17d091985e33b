"""Compression of what nodes send to other data centres."""

import zlib

# Higher levels take longer and hardly shorten what is sent.
LEVEL = 1
# First byte of compressed content; JSON objects don't begin with it.
MARK = b"\x78"


class CompressionError(Exception):
    """Content can't be decompressed within the bound."""


def compress(content: bytes) -> bytes:
    """Compress content."""
    return zlib.compress(content, LEVEL)


def decompress(content: bytes, max_bytes: int) -> bytes:
    """Decompress content.

    Raises
    ------
    CompressionError
        If it is malformed, cut off, or longer than `max_bytes`.
    """
    decoder = zlib.decompressobj()
    try:
        text = decoder.decompress(content, max_bytes)
    except zlib.error:
        raise CompressionError("it can't be decompressed") from None
    if not decoder.eof:
        raise CompressionError("it is cut off, or too long")
    return text
