"""Tasks beside the requests, whose unexpected errors don't end the process."""

import traceback
import typing as t
from dataclasses import dataclass

import trio

RESTART_PERIOD = 1.0  # seconds before a task that has failed is started again
MAX_TRACE = 2000  # characters of a traceback that are logged, its last ones


@dataclass(frozen=True, slots=True)
class TaskFailure:
    """An unexpected error of a task.

    Attributes
    ----------
    trace : str
        The end of the traceback, at most `MAX_TRACE` characters.
    """

    task: str
    reason: str
    trace: str


class TaskFunction(t.Protocol):
    """A task that can be started."""

    __name__: str

    def __call__(self, *args: t.Any) -> t.Awaitable[None]:
        """Run until it has ended, or is cancelled."""


class BackgroundTasks:
    """Starts tasks in a nursery, and reports their unexpected errors.

    An error in one task would otherwise cancel the nursery, and with it all requests.
    """

    def __init__(
        self, nursery: trio.Nursery, report: t.Callable[[TaskFailure], None]
    ) -> None:
        self._nursery = nursery
        self._report = report

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
            task = function.__name__.strip("_")
            self._report(TaskFailure(task, repr(error), trace[-MAX_TRACE:]))
            return False
        return True

    async def _run_again(self, function: TaskFunction, *args: t.Any) -> None:
        while not await self.run_guarded(function, *args):
            await trio.sleep(RESTART_PERIOD)
