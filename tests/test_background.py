"""Tasks beside the requests, and their unexpected errors."""

import trio

from tarragonrudder.edges.background import RESTART_PERIOD, BackgroundTasks


class Log:
    """Keeps what is logged."""

    def __init__(self):
        self.lines = []

    def __call__(self, failure):
        self.lines.append((failure.task, failure.reason))
        assert failure.reason[:8] in failure.trace


async def test_failed_task_is_logged_and_ends_no_other(autojump_clock):
    # An error in one task cancelled the nursery of all.
    log = Log()
    ended = []

    async def fail(name):
        raise ValueError(name)

    async def go_on():
        await trio.sleep(5.0)
        ended.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        tasks = BackgroundTasks(nursery, log)
        tasks.start_soon(go_on)
        tasks.start_soon(fail, "x")
    assert len(ended) == 1
    assert log.lines == [("fail", "ValueError('x')")]


async def test_lasting_task_is_started_again_until_it_ends(autojump_clock):
    log = Log()
    started = []

    async def fail_twice():
        started.append(trio.current_time())
        if len(started) <= 2:
            raise ExceptionGroup("two", [KeyError("a"), OSError("b")])

    async with trio.open_nursery() as nursery:
        BackgroundTasks(nursery, log).keep_running(fail_twice)
    assert [at - started[0] for at in started] == [0.0, RESTART_PERIOD, 2.0]
    assert len(log.lines) == 2


async def test_cancelled_task_is_no_failure(autojump_clock):
    log = Log()
    async with trio.open_nursery() as nursery:
        BackgroundTasks(nursery, log).keep_running(trio.sleep_forever)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert log.lines == []
