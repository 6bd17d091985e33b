"""Election of the loading planner by a store lease, and its orders to engines."""

import random
import typing as t

import trio

from tarragonrudder.core.domain.route import ServiceSpec
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.placement.loading import LoadingScheduler, Order
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.platform import protocol
from tarragonrudder.platform.metadata_store import (
    Lease,
    MetadataStore,
    Position,
    StoreError,
)
from tarragonrudder.platform.registry import Registry
from tarragonrudder.platform.upstream_client import PlatformUpstreamClient

# Seconds that the planner's lease lasts without renewal. If the planner crashes, empty
# engines may stay empty for that long.
LEASE_TTL = 3.0
RENEW_PERIOD = 1.0  # seconds; the lease survives two lost renewals
PLAN_PERIOD = 0.25  # seconds between planning runs
# Seconds that the lease must remain valid for an order to be sent. Otherwise a node
# that was suspended could send orders after those of its successor.
ORDER_MARGIN = 1.0
REVISION_BITS = 32  # of a fencing token; the higher bits are the epoch


class LoadingPlanner:
    """Orders engines to load layers, on the one node that holds the lease."""

    def __init__(
        self,
        name: str,
        address: str,
        store: MetadataStore,
        registry: Registry,
        state: ForwardingState,
        upstreams: PlatformUpstreamClient,
        log: t.Callable[..., None],
        source: random.Random,
    ) -> None:
        self._name = name
        self._lease_value = address.encode()
        self._store = store
        self._registry = registry
        self._state = state
        self._upstreams = upstreams
        self._log = log
        self._random = source
        self._schedulers: dict[str, LoadingScheduler] = {}
        self._fencing_token = 0
        self._lease: Lease | None = None
        self._lease_expires_at = 0.0

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the election and the planning loop."""
        tasks.keep_running(self._run_election)
        tasks.keep_running(self._run_planning, tasks)

    async def release(self) -> None:
        """Revoke the lease, so that another node can acquire it."""
        if self._lease is not None and self._lease_expires_at > trio.current_time():
            self._lease_expires_at = 0.0
            with trio.move_on_after(RENEW_PERIOD):
                try:
                    await self._store.end_lease(self._lease)
                except StoreError as error:
                    self._log("planner_kept", None, reason=str(error))

    async def _run_election(self) -> None:
        while True:
            try:
                if self._state.reachability.is_cut or self._state.route_table is None:
                    await self.release()
                else:
                    await self._acquire_or_renew()
            except StoreError as error:
                self._log("planner_store_failed", None, reason=str(error))
            await trio.sleep(RENEW_PERIOD * (0.7 + 0.3 * self._random.random()))

    async def _acquire_or_renew(self) -> None:
        started_at = trio.current_time()
        if self._lease is not None and self._lease_expires_at > started_at:
            renewed = await self._store.renew_lease(self._lease)
            if not self._lease_expires_at:
                return  # fenced or released meanwhile
            if renewed:
                self._lease_expires_at = started_at + LEASE_TTL
            else:
                self._lease_expires_at = 0.0
                self._log("planner_lost", None, fence=self._fencing_token)
            return
        if not self._registry.has_snapshot or self._registry.has_planner:
            return
        lease = await self._store.grant_lease(LEASE_TTL)
        position = await self._store.write(
            protocol.PLANNER_KEY, self._lease_value, lease=lease, expected=0
        )
        if position is None:
            await self._store.end_lease(lease)
            return
        self._lease = lease
        self._fencing_token = compute_fencing_token(position)
        self._lease_expires_at = started_at + LEASE_TTL
        self._schedulers = {}
        self._log("planner_won", None, fence=self._fencing_token)

    async def _run_planning(self, tasks: BackgroundTasks) -> None:
        while True:
            await trio.sleep(PLAN_PERIOD)
            now = trio.current_time()
            if (
                self._lease_expires_at - now < ORDER_MARGIN
                or self._state.route_table is None
            ):
                continue
            for service in self._state.route_table.services.values():
                self._plan_service(service, tasks, now)

    def _plan_service(
        self, service: ServiceSpec, tasks: BackgroundTasks, now: float
    ) -> None:
        """Give orders to the engines of one service."""
        if service.engine is None:
            return
        scheduler = self._find_scheduler(service.name)
        unusable = {
            *self._state.list_culprits(now),
            *self._state.upstream_table.list_leaving(),
        }
        upstreams = list(self._state.upstream_table)
        try:
            orders = scheduler.plan(service.engine, upstreams, unusable, now)
        except Exception as error:  # the other services must still be planned
            self._log("plan_failed", None, service=service.name, reason=repr(error))
            return
        for order in orders:
            tasks.start_soon(self._send_order, order, scheduler)

    def _find_scheduler(self, service: str) -> LoadingScheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = LoadingScheduler(service)
        return scheduler

    async def _send_order(self, order: Order, scheduler: LoadingScheduler) -> None:
        upstream = self._state.upstream_table.find(order.upstream)
        if upstream is None:
            return
        now = trio.current_time()
        if self._state.upstream_gate.is_resting(order.upstream, now):
            scheduler.record_outcome(order, "refused", now)
            return
        self._state.upstream_gate.take((upstream.name,), now)
        outcome = await self._upstreams.order_placement(
            upstream, order.layers, self._fencing_token
        )
        scheduler.record_outcome(order, outcome, trio.current_time())
        if outcome == "fenced":
            # Another node holds a newer lease and has sent orders since.
            self._lease_expires_at = 0.0
        self._log(
            "order_given",
            None,
            upstream=order.upstream,
            layers=[order.layers.first, order.layers.last],
            fence=self._fencing_token,
            outcome=outcome,
        )


def compute_fencing_token(position: Position) -> int:
    """Return a token that is higher than those of all earlier positions.

    Revisions alone start over at a lower number in each epoch, and engines remember
    the highest token that they have seen.
    """
    return (position.epoch << REVISION_BITS) + position.revision
