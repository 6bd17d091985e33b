"""The clock that the core sees."""

import time


class Clock:
    """Seconds since the epoch, anchored once, so that they never go back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic() + self._offset
