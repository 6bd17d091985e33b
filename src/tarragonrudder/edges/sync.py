"""Synchronises the node with the platform.

Registers the node, and watches the configuration's records and the list of nodes.
The core also polls the records. The list of nodes is large at 400 nodes, so it is
rarely read in full.
"""

import logging
import random

import httpx
import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from tarragonrudder.core.configuration.adoption import CONFIGURATION_TAG
from tarragonrudder.core.configuration.configuration_record import (
    CONFIGURATION_PREFIX,
    CONTROL_PREFIX,
)
from tarragonrudder.core.domain.event import (
    NodeAddress,
    NodesListed,
    VirtualMachine,
    VmsListed,
)
from tarragonrudder.core.domain.platform_event import KeyRead
from tarragonrudder.core.placement.planner import RECORD_KEY, RECORD_TAG
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.driver import Driver
from tarragonrudder.edges.log_setup import make_failure_log
from tarragonrudder.edges.platform_client import (
    KeyValue,
    PlatformClient,
    PlatformError,
    PlatformOutcomeUnknown,
)
from tarragonrudder.edges.settings import Settings, Url
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.whole_response import fetch

NODES_PREFIX = CONTROL_PREFIX + "nodes/"
NODE_TTL = 10.0  # seconds that a node stays registered after its last renewal
RENEWAL_PERIOD = 4.0  # seconds; 100 writes a second at 400 nodes
REGISTRATION_RETRY_PERIOD = 1.0  # seconds after a failed registration
RELIST_PERIOD = 300.0  # seconds between full reads of the list of nodes
WATCH_RETRY_PERIOD = 1.0  # seconds until a failed or ended watch is reopened
MAX_VMS_BYTES = 4 << 20  # of the list of VMs
VMS_POLL_PERIOD = 2.0  # seconds between reads of the list of VMs
GAUGE_PERIOD = 5.0  # seconds between reports of the gauges


class NodeEntry(BaseModel):
    """A node's entry in the platform."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    address: Url
    data_center: str = Field(min_length=1)


class VmEntry(BaseModel):
    """An entry of the platform's list of VMs."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    address: str
    data_center: str
    state: str


class VmList(BaseModel):
    """The platform's list of VMs."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    vms: list[VmEntry]


class PlatformSync:
    """Watches the platform and keeps this node registered.

    While the platform is unavailable, the last known state stays in use.
    """

    def __init__(
        self,
        settings: Settings,
        client: PlatformClient,
        driver: Driver,
        logger: logging.Logger,
        metrics: StatsdMetrics,
        rng: random.Random,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._settings = settings
        self._client = client
        self._driver = driver
        self._logger = logger
        self._metrics = metrics
        self._rng = rng
        self._lease = 0
        self._nodes: dict[str, NodeAddress] = {}
        self._vms_etag: str | None = None
        self._vms_client = httpx.AsyncClient(
            timeout=settings.platform.timeout, transport=transport
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._vms_client.aclose()

    async def register_once(self) -> None:
        """Try once to register, before the node accepts any request.

        Decisions that depend on the list of nodes are then correct from the first
        request on. If the platform is unavailable, the node starts unregistered.
        """
        try:
            await self._register()
        except (PlatformError, PlatformOutcomeUnknown) as error:
            self._warn("registration_failed", error)

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            tasks = BackgroundTasks(nursery, make_failure_log(self._logger))
            tasks.keep_running(self._maintain_registration)
            tasks.keep_running(self._run_watch)
            tasks.keep_running(self._poll_vms)
            tasks.keep_running(self._report_gauges)

    async def _maintain_registration(self) -> None:
        while True:
            period = RENEWAL_PERIOD
            try:
                await self._register()
            except (PlatformError, PlatformOutcomeUnknown) as error:
                self._warn("registration_failed", error)
                period = REGISTRATION_RETRY_PERIOD
            # Jitter, so that nodes started together don't renew together.
            await trio.sleep(period * self._rng.uniform(0.8, 1.2))

    async def _register(self) -> None:
        if self._lease and await self._client.renew(self._lease) is not None:
            return
        node = self._settings.node
        self._lease = 0
        lease = await self._client.grant(NODE_TTL)
        value = NodeEntry(address=node.peer_address, data_center=node.data_center)
        key = NODES_PREFIX + node.name
        existing = await self._client.get(key)
        expected = existing.revision if existing is not None else 0
        body = value.model_dump_json().encode()
        revision = await self._client.swap(key, expected, body, lease.id)
        if revision is None:
            raise PlatformError(f"another node is named {node.name}; rename one")
        self._lease = lease.id

    async def _run_watch(self) -> None:
        while True:
            try:
                revision = await self._list_nodes()
                with trio.move_on_after(RELIST_PERIOD):
                    await self._watch(revision)
            except PlatformError as error:
                self._warn("watch_failed", error)
                await trio.sleep(WATCH_RETRY_PERIOD * self._rng.uniform(0.8, 1.2))

    async def _list_nodes(self) -> int:
        """Read the list of nodes in full; return its revision."""
        listing = await self._client.read_prefix(NODES_PREFIX)
        self._nodes = {}
        for item in listing.items:
            self._apply_node_entry(item)
        self._driver.post(NodesListed(tuple(self._nodes.values())))
        return listing.revision

    async def _watch(self, revision: int) -> None:
        """Apply all changes after a revision; reopen a watch that ends."""
        while True:
            async for change in self._client.watch(CONTROL_PREFIX, revision + 1):
                revision = max(revision, change.revision)
                self._apply_change(change)
            await trio.sleep(WATCH_RETRY_PERIOD)

    def _apply_change(self, change: KeyValue) -> None:
        if change.key.startswith(NODES_PREFIX):
            self._apply_node_entry(change)
            self._driver.post(NodesListed(tuple(self._nodes.values())))
            return
        if change.key == RECORD_KEY:
            value = change.value or None
            event = KeyRead(RECORD_TAG, change.key, value, change.revision)
            self._driver.post(event)
            return
        if change.key.startswith(CONFIGURATION_PREFIX):
            value = change.value or None
            event = KeyRead(CONFIGURATION_TAG, change.key, value, change.revision)
            self._driver.post(event)

    def _apply_node_entry(self, item: KeyValue) -> None:
        name = item.key.removeprefix(NODES_PREFIX)
        if not item.value:
            self._nodes.pop(name, None)
            if name == self._settings.node.name:
                # The lease expired unnoticed: register again at the next renewal.
                self._lease = 0
            return
        try:
            value = NodeEntry.model_validate_json(item.value)
        except ValidationError as error:
            self._warn("node_entry_invalid", error)
            return
        self._nodes[name] = NodeAddress(name, value.address, value.data_center)

    async def _poll_vms(self) -> None:
        address = self._settings.platform.vms
        if address is None:
            return
        while True:
            await self._read_vms(address)
            await trio.sleep(VMS_POLL_PERIOD * self._rng.uniform(0.8, 1.2))

    async def _read_vms(self, address: str) -> None:
        """Read the list of VMs; skip it if its entity tag is unchanged."""
        headers = {}
        if self._vms_etag is not None:
            headers["if-none-match"] = self._vms_etag
        try:
            response = await fetch(
                self._vms_client,
                "GET",
                address,
                self._settings.platform.timeout,
                MAX_VMS_BYTES,
                headers=headers,
            )
            if response.status_code == httpx.codes.NOT_MODIFIED:
                return
            response.raise_for_status()
            vm_list = VmList.model_validate_json(response.content)
        except (httpx.HTTPError, ValidationError) as error:
            self._warn("vm_list_failed", error)
            return
        self._vms_etag = response.headers.get("etag")
        vms = []
        for item in vm_list.vms:
            leaving = item.state == "leaving"
            vms.append(
                VirtualMachine(item.name, item.address, item.data_center, leaving)
            )
        self._driver.post(VmsListed(tuple(vms)))

    async def _report_gauges(self) -> None:
        while True:
            node = self._driver.node
            unavailable = self._client.last_error is not None
            self._metrics.gauge(
                "configuration.generation", node.configuration.generation
            )
            self._metrics.gauge("platform.away", int(unavailable))
            self._metrics.gauge("requests.in_flight", node.in_flight)
            self._metrics.gauge("nodes.listed", len(self._nodes))
            await trio.sleep(GAUGE_PERIOD)

    def _warn(self, event: str, error: Exception) -> None:
        self._logger.warning(event, extra={"reason": str(error)})
        self._metrics.count(f"sync.{event}")
