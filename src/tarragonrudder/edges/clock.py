"""The clock of the core."""

import time


class Clock:
    """A monotonic clock, aligned once with the wall clock at the start."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return seconds since the epoch."""
        return time.monotonic() + self._offset
