"""Keeps the node and the platform informed of each other."""

import json
import logging

import httpx
import trio

from tarragonrudder.core.event import (
    ConfigurationRead,
    NodeAddress,
    NodesListed,
    VirtualMachine,
    VmsListed,
)
from tarragonrudder.edges.driver import Driver
from tarragonrudder.edges.folder import build_configuration
from tarragonrudder.edges.platform import (
    PlatformAnswerLost,
    PlatformClient,
    PlatformError,
)
from tarragonrudder.edges.settings import Settings
from tarragonrudder.edges.store import PREFIX, ConfigurationStore
from tarragonrudder.errors import FolderError

NODES_PREFIX = PREFIX + "nodes/"
NODE_TTL = 10.0  # seconds
POLL_PERIOD = 1.0  # seconds


class PlatformSync:
    """Polls configuration, nodes and VMs; keeps this node listed."""

    def __init__(
        self,
        settings: Settings,
        client: PlatformClient,
        driver: Driver,
        logger: logging.Logger,
    ) -> None:
        self._settings = settings
        self._client = client
        self._store = ConfigurationStore(client)
        self._driver = driver
        self._logger = logger
        self._lease = 0
        self._rejected = 0
        self._vms = httpx.AsyncClient(timeout=settings.platform.timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._vms.aclose()

    async def run(self) -> None:
        """Poll until cancelled; an outage changes nothing."""
        while True:
            try:
                await self._register()
                await self._read_nodes()
                await self._read_configuration()
            except (PlatformError, PlatformAnswerLost, ValueError, KeyError) as error:
                self._logger.warning("platform_failed", extra={"reason": str(error)})
            await self._read_vms()
            await trio.sleep(POLL_PERIOD)

    async def _register(self) -> None:
        if self._lease and await self._client.renew(self._lease) is not None:
            return
        node = self._settings.node
        lease = await self._client.grant(NODE_TTL)
        value = {"address": node.peer_address, "data_center": node.data_center}
        key = NODES_PREFIX + node.name
        known = await self._client.get(key)
        expected = known.revision if known is not None else 0
        body = json.dumps(value).encode()
        if await self._client.swap(key, expected, body, lease.lease) is not None:
            self._lease = lease.lease

    async def _read_nodes(self) -> None:
        nodes = []
        for found in await self._client.range(NODES_PREFIX):
            item = json.loads(found.value)
            name = found.key.removeprefix(NODES_PREFIX)
            nodes.append(NodeAddress(name, item["address"], item["data_center"]))
        self._driver.post(NodesListed(tuple(nodes)))

    async def _read_configuration(self) -> None:
        folder = await self._store.read_folder()
        accepted = await self._store.read_accepted()
        unseen = folder.revision not in (0, accepted.folder_revision, self._rejected)
        if unseen:
            try:
                build_configuration(folder.files, accepted.generation + 1)
            except FolderError as error:
                self._rejected = folder.revision
                fields = {"findings": list(error.findings)}
                self._logger.error("configuration_rejected", extra=fields)
            else:
                await self._store.accept(accepted, folder)
                accepted = await self._store.read_accepted()
        if accepted.generation > self._driver.node.configuration.generation:
            built = build_configuration(accepted.files, accepted.generation)
            self._driver.post(ConfigurationRead(built))

    async def _read_vms(self) -> None:
        address = self._settings.platform.vms
        if address is None:
            return
        try:
            response = await self._vms.get(address)
            response.raise_for_status()
            vms = []
            for item in response.json()["vms"]:
                leaving = item["state"] == "leaving"
                vms.append(
                    VirtualMachine(
                        item["name"], item["address"], item["data_center"], leaving
                    )
                )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            self._logger.warning("vm_list_failed", extra={"reason": str(error)})
            return
        self._driver.post(VmsListed(tuple(vms)))
