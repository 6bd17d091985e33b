"""Addresses at which upstreams and nodes listen."""

import re

MAX_HOST_LENGTH = 253  # characters of a DNS name
MAX_PORT = 65535
_PATTERN = re.compile(
    rf"(?P<host>[A-Za-z0-9._-]{{1,{MAX_HOST_LENGTH}}}):(?P<port>[0-9]{{1,5}})"
)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``HOST:PORT``.

    Raises
    ------
    ValueError
        If it is malformed, or no port of a listener.
    """
    match = _PATTERN.fullmatch(address)
    if match is None:
        raise ValueError(f"{address[:MAX_HOST_LENGTH]!r} is not HOST:PORT")
    port = int(match["port"])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not within 1 and {MAX_PORT}")
    return match["host"], port


def check_address(address: str) -> str:
    """Return an address unchanged; raises ValueError like `split_address`."""
    split_address(address)
    return address
