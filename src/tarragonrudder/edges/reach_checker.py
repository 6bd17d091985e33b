"""Checks by new connections whether this node reaches the upstreams."""

import random
import typing as t

import trio

from tarragonrudder.core.forwarding.reachability import (
    CHECK_TIMEOUT,
    SAMPLE_SIZE,
    Finding,
)
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.job import LogFunction
from tarragonrudder.edges.relay_interfaces import UpstreamClient


class ReachChecker:
    """Runs the checks that the state asks for.

    Parameters
    ----------
    on_changed : callable
        Called when a cut was found or has ended.
    """

    def __init__(
        self,
        state: ForwardingState,
        upstreams: UpstreamClient,
        log: LogFunction,
        source: random.Random,
        on_changed: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._upstreams = upstreams
        self._log = log
        self._random = source
        self._on_changed = on_changed
        self._failed = trio.Event()
        state.reachability.on_failure = self._handle_failure

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to check when there is a reason."""
        tasks.keep_running(self._run)

    def _handle_failure(self) -> None:
        self._failed.set()

    async def _run(self) -> None:
        while True:
            now = trio.current_time()
            due = self._state.reachability.compute_check_time(now)
            if due is None:
                self._failed = trio.Event()
                await self._failed.wait()
                continue
            await trio.sleep_until(due)
            await self._check()

    async def _check(self) -> None:
        known = list(self._state.upstream_table)
        sample = self._random.sample(known, min(SAMPLE_SIZE, len(known)))
        reached: list[str] = []
        with trio.move_on_after(CHECK_TIMEOUT):
            async with trio.open_nursery() as nursery:
                for upstream in sample:
                    nursery.start_soon(self._connect, upstream, reached, nursery)
        finding = self._state.record_reach_check(
            len(reached), len(sample), trio.current_time()
        )
        if finding is Finding.NOTHING:
            return
        tried = [upstream.name for upstream in sample]
        if finding is Finding.CUT:
            self._log("cut_off", None, tried=tried, reached=reached)
        else:
            self._log("cut_ended", None, tried=tried, reached=reached)
        self._on_changed()

    async def _connect(
        self, upstream: Registration, reached: list[str], nursery: trio.Nursery
    ) -> None:
        if not await self._upstreams.is_reachable(upstream):
            return
        reached.append(upstream.name)
        if not self._state.reachability.is_cut:
            nursery.cancel_scope.cancel()  # one proves that the node isn't cut off
