"""Decoder of what upstreams ask for in the headers of their answers."""

import re
import typing as t

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.edges.job import LogFunction
from tarragonrudder.platform import protocol

NUMBER_PATTERN = re.compile(rb"[0-9]{1,32}(\.[0-9]{0,32})?([eE][+-]?[0-9]{1,3})?")
MAX_LOGGED_VALUE = 64  # bytes of a header's value
UNAVAILABLE = 503  # the status whose Retry-After asks for a rest
REASON = "not a number of 0 or more; it is ignored"


class BackpressureDecoder:
    """Decodes the headers in which upstreams ask for less load."""

    def __init__(self, log: LogFunction) -> None:
        self._log = log

    def decode(
        self,
        upstream: str,
        status: int,
        headers: t.Iterable[tuple[bytes, bytes]],
        complete: bool,
    ) -> Backpressure:
        """Decode what an answer asks for.

        Of several values of one header, the one that asks for less load holds.

        Parameters
        ----------
        upstream : str
            Name of the upstream, for the log.
        complete : bool
            Whether the answer would name a limit if there were one.
        """
        limits: list[float] = []
        rests: list[float] = []
        names_limit = is_leaving = False
        for name, value in headers:
            text = value[:MAX_LOGGED_VALUE].decode("latin-1")
            match name.lower():
                case protocol.LIMIT:
                    names_limit = True
                    number = decode_number(value)
                    if number is not None:
                        limits.append(number)
                        continue
                    self._log(
                        "limit_invalid",
                        None,
                        upstream=upstream,
                        value=text,
                        reason=REASON,
                    )
                case protocol.LEAVING:
                    is_leaving = is_leaving or value.strip() == b"1"
                case protocol.RETRY_AFTER if status == UNAVAILABLE:
                    number = decode_number(value)
                    if number is not None:
                        rests.append(number)
                        continue
                    self._log(
                        "rest_invalid",
                        None,
                        upstream=upstream,
                        value=text,
                        reason=REASON,
                    )
        return Backpressure(
            limit=min(limits, default=None),
            has_no_limit=complete and not names_limit,
            rest=max(rests, default=None),
            is_leaving=is_leaving,
        )


def decode_number(value: bytes) -> float | None:
    """Return the number in a header's value; None if it is none of 0 or more."""
    text = value.strip()
    if not NUMBER_PATTERN.fullmatch(text):
        return None
    return float(text)
