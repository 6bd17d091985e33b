"""Reads, validates and builds configurations for the core."""

import gc
import typing as t

import trio

from tarragonrudder.core.domain.action import CheckFolder, LoadConfiguration
from tarragonrudder.core.domain.configuration_event import (
    ConfigurationLoaded,
    ConfigurationLoadFailed,
    FolderChecked,
    FolderReadFailed,
    PeerGeneration,
    PeerGenerationsRead,
)
from tarragonrudder.core.domain.event import Event, NodeAddress
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.edges.exchange import (
    MAX_DIGESTS,
    ExchangeClient,
    ExchangeReply,
    decode_pieces,
)
from tarragonrudder.edges.folder import ConfigurationBuilder
from tarragonrudder.edges.pieces import Files
from tarragonrudder.edges.platform_client import PlatformError
from tarragonrudder.edges.store import ConfigurationStore
from tarragonrudder.errors import FolderError, PeerError, PieceError

LOAD_TIMEOUT = 30.0  # seconds to read one folder
MAX_CONCURRENT_QUERIES = 32


class ConfigurationLoader:
    """Loads configurations from the platform, or from peers if it is unavailable."""

    def __init__(
        self,
        store: ConfigurationStore,
        exchange: ExchangeClient,
        post: t.Callable[[Event], None],
    ) -> None:
        self.store = store
        self._exchange = exchange
        self._post = post
        self._builder = ConfigurationBuilder()
        self._lock = trio.Lock()
        self._seeds: tuple[str, ...] = ()
        self._node_addresses: tuple[str, ...] = ()

    async def close(self) -> None:
        """Close all connections to peers."""
        await self._exchange.close()

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Set the peer addresses from the settings."""
        self._seeds = addresses

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the addresses of the listed nodes."""
        self._node_addresses = tuple(node.address for node in nodes)

    async def load(self, action: LoadConfiguration) -> None:
        """Read and build a generation, then post the result."""
        generation, digest = action.generation, action.digest
        try:
            with trio.fail_after(LOAD_TIMEOUT):
                files = await self.store.load(digest, self._fetch_pieces, pin=True)
            built = await self._build(files, generation, digest)
        except FolderError as error:
            reason = f"this node can't use it, upgrade it: {error.findings[0]}"
            self._post(
                ConfigurationLoadFailed(generation, digest, reason, permanent=True)
            )
        except (PlatformError, PieceError, trio.TooSlowError) as error:
            self._post(
                ConfigurationLoadFailed(generation, digest, _describe_error(error))
            )
        else:
            self._post(ConfigurationLoaded(built))

    async def check(self, action: CheckFolder) -> None:
        """Read and validate the operators' folder, then post the findings."""
        try:
            with trio.fail_after(LOAD_TIMEOUT):
                files = await self.store.load(action.digest)
            await self._build(files, 0, action.digest)
        except FolderError as error:
            self._post(FolderChecked(action.digest, error.findings))
        except (PlatformError, PieceError, trio.TooSlowError) as error:
            self._post(FolderReadFailed(action.digest, _describe_error(error)))
        else:
            self._post(FolderChecked(action.digest))

    async def query_peers(self) -> None:
        """Query the generation of all peers, then post all replies in one event."""
        generations = []
        for reply in await self._query_all(()):
            status = reply.status
            if status.generation > 0:
                generations.append(PeerGeneration(status.generation, status.digest))
        self._post(PeerGenerationsRead(tuple(generations)))

    async def _fetch_pieces(self, digests: t.Sequence[str]) -> t.Mapping[str, str]:
        """Return the pieces that peers hold, querying one peer at a time."""
        texts: dict[str, str] = {}
        for address in self._list_addresses():
            missing = [digest for digest in digests if digest not in texts]
            for start in range(0, len(missing), MAX_DIGESTS):
                batch = missing[start : start + MAX_DIGESTS]
                try:
                    found = decode_pieces(await self._exchange.query(address, batch))
                except PeerError:
                    break
                if not found:
                    break
                texts.update(found)
            if len(texts) == len(set(digests)):
                break
        return texts

    async def _query_all(self, digests: t.Sequence[str]) -> list[ExchangeReply]:
        replies: list[ExchangeReply] = []
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

        async def query(address: str) -> None:
            async with limiter:
                try:
                    replies.append(await self._exchange.query(address, digests))
                except PeerError:
                    return

        async with trio.open_nursery() as nursery:
            for address in self._list_addresses():
                nursery.start_soon(query, address)
        return replies

    def _list_addresses(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*self._node_addresses, *self._seeds)))

    async def _build(self, files: Files, generation: int, digest: str) -> Configuration:
        """Build a configuration in steps, so that requests are served in between.

        A garbage collection would traverse all objects of a large configuration
        and pause the node for tenths of a second. A build creates no reference
        cycles, so collection is disabled during it, and its objects are frozen to
        exclude them from later collections.
        """
        async with self._lock:
            gc.collect()
            gc.disable()
            try:
                steps = self._builder.build_in_steps(files, generation, digest)
                while True:
                    try:
                        next(steps)
                    except StopIteration as stop:
                        return stop.value
                    await trio.lowlevel.checkpoint()
            finally:
                gc.freeze()
                gc.enable()


def _describe_error(error: Exception) -> str:
    if isinstance(error, trio.TooSlowError):
        return f"not read within {LOAD_TIMEOUT} s; it will be retried"
    return str(error)
