"""Operations of the operators' tool on the platform and the nodes."""

import typing as t
from dataclasses import dataclass

import trio
from pydantic import ValidationError

from tarragonrudder.core.configuration.configuration_record import AcceptedRecord
from tarragonrudder.edges.exchange import ExchangeClient, NodeStatus
from tarragonrudder.edges.pieces import Files
from tarragonrudder.edges.platform_client import (
    PlatformClient,
    PlatformError,
    PlatformOutcomeUnknown,
)
from tarragonrudder.edges.store import ConfigurationStore, FolderSnapshot
from tarragonrudder.edges.sync import NODES_PREFIX, NodeEntry
from tarragonrudder.errors import FolderError, PeerError, PieceError

ACCEPTANCE_POLL_PERIOD = 0.2  # seconds between reads of the accepted record
MAX_CONCURRENT_QUERIES = 32
NO_SECRET = "not asked: give --secret_file"


@dataclass(frozen=True, slots=True)
class NodeReport:
    """A listed node; `status` is None if it could not be read.

    Attributes
    ----------
    fault : str
        Why there is no status.
    """

    name: str
    address: str
    data_center: str
    status: NodeStatus | None
    fault: str = ""


@dataclass(frozen=True, slots=True)
class FleetReport:
    """State of the configuration in the platform and on all nodes.

    Attributes
    ----------
    folder_revision : int
        Revision of the operators' folder.
    generation : int
        Accepted generation.
    rejected : tuple of str
        Findings that led to the rejection of the newest folder.
    """

    folder_revision: int
    generation: int
    digest: str
    accepted_folder_revision: int
    rejected: tuple[str, ...]
    nodes: tuple[NodeReport, ...]

    @property
    def in_force(self) -> bool:
        """Whether all nodes have the newest folder in force."""
        if self.folder_revision != self.accepted_folder_revision:
            return False
        for node in self.nodes:
            if node.status is None or node.status.digest != self.digest:
                return False
        return True


class RemoteSession:
    """A session with the platform; ``close`` ends it."""

    def __init__(self, address: str, timeout: float) -> None:
        self._client = PlatformClient(address, timeout)
        self._store = ConfigurationStore(self._client)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def pull(self) -> FolderSnapshot:
        """Return the operators' folder."""
        return await self._store.read_folder()

    async def apply(self, base: int, files: Files) -> int:
        """Write the folder and remove unreferenced pieces; return its revision."""
        revision = await self._store.write_folder(base, files)
        try:
            await self._store.collect_garbage()
        except (PlatformError, PlatformOutcomeUnknown, PieceError):
            # Leftover pieces only take space; the next apply removes them.
            return revision
        return revision

    async def wait_accepted(self, revision: int, timeout: float) -> AcceptedRecord:
        """Wait until a folder is accepted.

        Raises
        ------
        FolderError
            If it is rejected.
        trio.TooSlowError
            If it is neither accepted nor rejected in time.
        """
        with trio.fail_after(timeout):
            while True:
                accepted = await self._store.read_accepted_record()
                if accepted.folder_revision >= revision:
                    return accepted
                rejected = await self._store.read_rejected_record()
                if rejected.folder_revision == revision:
                    raise FolderError(rejected.findings)
                await trio.sleep(ACCEPTANCE_POLL_PERIOD)

    async def report(self, exchange: ExchangeClient | None) -> FleetReport:
        """Return the state of the platform's records and of all nodes."""
        folder = await self._store.read_folder_record()
        accepted = await self._store.read_accepted_record()
        rejected = await self._store.read_rejected_record()
        findings: tuple[str, ...] = ()
        if rejected.folder_revision == folder.revision > accepted.folder_revision:
            findings = rejected.findings
        nodes = await self._report_nodes(exchange)
        return FleetReport(
            folder.revision,
            accepted.generation,
            accepted.digest,
            accepted.folder_revision,
            findings,
            tuple(nodes),
        )

    async def _report_nodes(self, exchange: ExchangeClient | None) -> list[NodeReport]:
        listing = await self._client.read_prefix(NODES_PREFIX)
        reports: dict[str, NodeReport] = {}
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

        async def query(name: str, value: NodeEntry) -> None:
            status, fault = None, NO_SECRET
            if exchange is not None:
                async with limiter:
                    status, fault = await _query_node(exchange, value.address)
            reports[name] = NodeReport(
                name, value.address, value.data_center, status, fault
            )

        async with trio.open_nursery() as nursery:
            for item in listing.items:
                name = item.key.removeprefix(NODES_PREFIX)
                try:
                    value = NodeEntry.model_validate_json(item.value)
                except ValidationError:
                    fault = "its entry in the platform is damaged"
                    reports[name] = NodeReport(name, "", "", None, fault)
                    continue
                nursery.start_soon(query, name, value)
        return [reports[name] for name in sorted(reports)]


async def _query_node(
    exchange: ExchangeClient, address: str
) -> tuple[NodeStatus | None, str]:
    try:
        return (await exchange.query(address)).status, ""
    except PeerError as error:
        return None, str(error)


ResultT = t.TypeVar("ResultT")


def run_remote(
    address: str,
    timeout: float,
    work: t.Callable[[RemoteSession], t.Awaitable[ResultT]],
) -> ResultT:
    """Run an asynchronous function in a session with the platform."""

    async def run() -> ResultT:
        remote = RemoteSession(address, timeout)
        try:
            return await work(remote)
        finally:
            await remote.close()

    return trio.run(run)
