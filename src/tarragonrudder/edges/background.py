"""Tasks beside the requests, whose unexpected errors don't end the process."""

import traceback
import typing as t

import trio

from tarragonrudder.edges.job import LogFunction

RESTART_PERIOD = 1.0  # seconds before a task that has failed is started again
MAX_TRACE = 2000  # characters of a traceback that are logged, its last ones


class TaskFunction(t.Protocol):
    """A task that can be started."""

    __name__: str

    def __call__(self, *args: t.Any) -> t.Awaitable[None]:
        """Run until it has ended, or is cancelled."""


class BackgroundTasks:
    """Starts tasks in a nursery, and logs their unexpected errors.

    An error in one task would otherwise cancel the nursery, and with it all requests.
    """

    def __init__(self, nursery: trio.Nursery, log: LogFunction) -> None:
        self._nursery = nursery
        self._log = log

    def start_soon(self, function: TaskFunction, *args: t.Any) -> None:
        """Start a task that ends by itself."""
        self._nursery.start_soon(self.run_guarded, function, *args)

    def keep_running(self, function: TaskFunction, *args: t.Any) -> None:
        """Start a task that has no end; it is started again after an error."""
        self._nursery.start_soon(self._run_again, function, *args)

    async def run_guarded(self, function: TaskFunction, *args: t.Any) -> bool:
        """Run a task to its end; return whether it had no unexpected error."""
        try:
            await function(*args)
        except Exception as error:
            trace = "".join(traceback.format_exception(error))
            self._log(
                "task_failed",
                None,
                task=function.__name__.strip("_"),
                reason=repr(error),
                trace=trace[-MAX_TRACE:],
            )
            return False
        return True

    async def _run_again(self, function: TaskFunction, *args: t.Any) -> None:
        while not await self.run_guarded(function, *args):
            await trio.sleep(RESTART_PERIOD)
