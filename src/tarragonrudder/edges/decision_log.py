"""A rate-limited JSON log that never blocks the event loop."""

import collections
import logging
import os
import time
import typing as t

from pythonjsonlogger.json import JsonFormatter

# Lines per second and event. A node carries some hundred requests a second at
# most; beyond these rates single lines add cost but no insight.
FAILURE_RATE = 60.0
ROUTINE_RATE = 20.0
BURST_SECONDS = 2.0  # a burst may hold the lines of this many seconds
SUMMARY_PERIOD = 5.0  # seconds between summaries of omitted lines
# Bytes buffered for a slow reader. Routine lines are dropped at half of it, so that
# failures can still be logged.
BUFFER_BYTES = 256 * 1024
ROUTINE_EVENTS = frozenset(("placed", "ended", "order_given"))


class DecisionLog:
    """Writes one JSON line for each decision; drops lines beyond its limits.

    Parameters
    ----------
    descriptor : int
        File descriptor, set to non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were not written, since the start.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._formatter = JsonFormatter(
            "%(message)s",
            rename_fields={"message": "event"},
            static_fields={"node": node},
        )
        self._allowances: dict[str, tuple[float, float]] = {}
        self._omitted: collections.Counter[str] = collections.Counter()
        self._summary_written_at = time.monotonic()
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, event: str, request: str | None = None, **fields: t.Any) -> None:
        """Write a line, unless the event is over its rate limit."""
        now = time.monotonic()
        if now - self._summary_written_at > SUMMARY_PERIOD:
            self._write_summary(now)
        if not self._take_allowance(event, now):
            self._omitted[event] += 1
            self.dropped += 1
            return
        if request is not None:
            fields["request"] = request
        self._append(event, fields, event in ROUTINE_EVENTS)

    def flush(self) -> None:
        """Write buffered lines, as far as the reader takes them."""
        self._drain()

    def _write_summary(self, now: float) -> None:
        self._summary_written_at = now
        if self._omitted:
            counts = dict(self._omitted)
            self._omitted.clear()
            self._append("lines_left_out", {"counts": counts}, False)

    def _take_allowance(self, event: str, now: float) -> bool:
        rate = ROUTINE_RATE if event in ROUTINE_EVENTS else FAILURE_RATE
        allowance, updated = self._allowances.get(event, (rate * BURST_SECONDS, now))
        allowance = min(rate * BURST_SECONDS, allowance + rate * (now - updated))
        allowed = allowance >= 1.0
        self._allowances[event] = (allowance - allowed, now)
        return allowed

    def _append(self, event: str, fields: dict[str, t.Any], routine: bool) -> None:
        limit = BUFFER_BYTES // 2 if routine else BUFFER_BYTES
        if len(self._buffer) > limit:
            self._omitted[event] += 1
            self.dropped += 1
            return
        record = logging.LogRecord("", logging.INFO, "", 0, event, None, None)
        record.__dict__.update(fields, time=round(time.time(), 3))
        line = self._formatter.format(record)
        self._buffer += line.encode("utf-8", "replace") + b"\n"
        self._drain()

    def _drain(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is nowhere left to report the error.
                self.dropped += 1
                self._buffer.clear()
                return
            del self._buffer[:written]
