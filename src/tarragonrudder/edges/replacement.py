"""Opening of another attempt, while silent ones stay open."""

import typing as t

import trio

from tarragonrudder.errors import Problem


class Replacement:
    """An attempt that is being opened beside others.

    Attributes
    ----------
    problem : Problem or None
        Why it couldn't be opened; holds once it is done.
    """

    def __init__(self) -> None:
        self._scope = trio.CancelScope()
        self._done = trio.Event()
        self.problem: Problem | None = None

    async def run(
        self, open_attempt: t.Callable[[], t.Awaitable[Problem | None]]
    ) -> None:
        """Open the attempt, unless `cancel` comes first."""
        with self._scope:
            self.problem = await open_attempt()
        self._done.set()

    async def wait_done(self) -> None:
        """Wait until the attempt is open, or can't be opened."""
        await self._done.wait()

    def cancel(self) -> None:
        """Give up, if it is not open yet."""
        self._scope.cancel()
