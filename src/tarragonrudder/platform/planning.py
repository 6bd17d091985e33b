"""Holds the planner's lease and has empty engines loaded."""

import random
import typing as t

import trio

from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.placement.loading import LoadingScheduler, Order
from tarragonrudder.platform import names
from tarragonrudder.platform.exchange import PlatformUpstreamClient
from tarragonrudder.platform.registry import Registry
from tarragonrudder.platform.store import Store, StoreError

# Seconds that a planner's lease lasts without renewal; the time for which an
# empty engine may stay empty after its planner is lost.
LEASE_PERIOD = 3.0
RENEW_PERIOD = 1.0  # seconds; two renewals may be lost
LOOK_PERIOD = 0.25  # seconds between looks for empty engines
# Seconds of lease that must be left before an order, so that a frozen node's
# orders do not come after those of its successor.
ORDER_MARGIN = 1.0


class Planning:
    """Runs on each node; one of them at a time gives orders."""

    def __init__(
        self,
        name: str,
        address: str,
        store: Store,
        registry: Registry,
        state: ForwardingState,
        upstreams: PlatformUpstreamClient,
        log: t.Callable[..., None],
        source: random.Random,
    ) -> None:
        self._name = name
        self._value = address.encode()
        self._store = store
        self._registry = registry
        self._state = state
        self._upstreams = upstreams
        self._log = log
        self._random = source
        self._plan = LoadingScheduler()
        self._fence = 0
        self._lease = 0
        self._held_until = 0.0

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to seek the lease and to plan."""
        nursery.start_soon(self._hold)
        nursery.start_soon(self._look, nursery)

    async def release(self) -> None:
        """Give the lease to another node."""
        if self._held_until > trio.current_time():
            self._held_until = 0.0
            with trio.move_on_after(RENEW_PERIOD):
                try:
                    await self._store.end(self._lease)
                except StoreError as error:
                    self._log("planner_kept", None, reason=str(error))

    async def _hold(self) -> None:
        while True:
            try:
                await self._hold_once()
            except StoreError as error:
                self._log("planner_store_failed", None, reason=str(error))
            await trio.sleep(RENEW_PERIOD * (0.7 + 0.3 * self._random.random()))

    async def _hold_once(self) -> None:
        begun = trio.current_time()
        if self._held_until > begun:
            if await self._store.keep(self._lease):
                self._held_until = begun + LEASE_PERIOD
            else:
                self._held_until = 0.0
                self._log("planner_lost", None, fence=self._fence)
            return
        if not self._registry.listed or names.PLANNER_KEY in self._registry.nodes:
            return
        lease = await self._store.grant(LEASE_PERIOD)
        fence = await self._store.write(
            names.PLANNER_KEY, self._value, lease=lease, expected=0
        )
        if fence is None:
            await self._store.end(lease)
            return
        self._lease, self._fence = lease, fence
        self._held_until = begun + LEASE_PERIOD
        self._plan = LoadingScheduler()
        self._log("planner_won", None, fence=fence)

    async def _look(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(LOOK_PERIOD)
            now = trio.current_time()
            if self._held_until - now < ORDER_MARGIN or self._state.table is None:
                continue
            for service in self._state.table.services.values():
                if service.engine is None:
                    continue
                orders = self._plan.plan(
                    service.name,
                    service.engine,
                    list(self._state.upstream_table),
                    self._state.list_culprits(now),
                    now,
                )
                for order in orders:
                    nursery.start_soon(self._give, order)

    async def _give(self, order: Order) -> None:
        upstream = self._state.upstream_table.find(order.upstream)
        if upstream is None:
            return
        outcome = await self._upstreams.order_place(upstream, order.layers, self._fence)
        self._plan.record_outcome(order, outcome, trio.current_time())
        if outcome == "fenced":
            # Another node has planned since; its lease is the newer one.
            self._held_until = 0.0
        self._log(
            "order_given",
            None,
            upstream=order.upstream,
            layers=[order.layers.first, order.layers.last],
            fence=self._fence,
            outcome=outcome,
        )
