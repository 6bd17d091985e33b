import typing as t

import pytest

from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    FOLDER_KEY,
    encode_accepted,
)
from tarragonrudder.core.domain.action import Guard
from tarragonrudder.edges.pieces import pack_files
from tarragonrudder.edges.platform_client import (
    KeyValue,
    Listing,
    PlatformError,
    PlatformOutcomeUnknown,
)
from tarragonrudder.edges.store import COLLECTION_KEY, PIECE_PREFIX, ConfigurationStore
from tarragonrudder.errors import FolderConflictError, PieceError, RecordError

FILES = {"10.ini": "[route:m]\nmodel = m@1\n"}
OTHER = {"10.ini": "[route:m]\nmodel = m@2\n"}


class MemoryPlatform:
    """In-memory platform stand-in; `faults` holds a key's next faults, in order."""

    def __init__(self) -> None:
        self.values: dict[str, KeyValue] = {}
        self.revision = 1
        self.reads = 0
        self.writes = 0
        self.faults: dict[str, list[str]] = {}
        self.before_write: dict[str, t.Callable[[], t.Awaitable[None]]] = {}

    async def get(self, key: str) -> KeyValue | None:
        self.reads += 1
        if "read" in self.faults.get(key, []):
            self.faults[key].remove("read")
            raise PlatformError("down; retry")
        return self.values.get(key)

    async def read_prefix(self, prefix: str, keys_only: bool = False) -> Listing:
        self.reads += 1
        found = [self.values[key] for key in sorted(self.values)]
        items = tuple(item for item in found if item.key.startswith(prefix))
        return Listing(items, self.revision)

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: int = 0,
        guards: t.Sequence[Guard] = (),
    ) -> int | None:
        if key in self.before_write:
            await self.before_write.pop(key)()
        fault = self.faults.get(key, []) and self.faults[key].pop(0)
        if fault == "not written":
            raise PlatformOutcomeUnknown("late; read it back")
        if fault == "away":
            raise PlatformError("away; retry")
        self.writes += 1
        if not self._holds([Guard(key, expected), *guards]):
            return None
        self.revision += 1
        self.values[key] = KeyValue(key, value, self.revision)
        if fault == "written":
            raise PlatformOutcomeUnknown("late; read it back")
        return self.revision

    async def remove(
        self, keys: t.Sequence[str], marker: str, guards: t.Sequence[Guard]
    ) -> int | None:
        if not self._holds(guards):
            return None
        self.revision += 1
        for key in keys:
            self.values.pop(key, None)
        self.values[marker] = KeyValue(marker, b"", self.revision)
        return self.revision

    def _holds(self, guards: t.Sequence[Guard]) -> bool:
        for guard in guards:
            found = self.values.get(guard.key)
            if (found.revision if found is not None else 0) != guard.revision:
                return False
        return True


def make_store(platform: MemoryPlatform) -> ConfigurationStore:
    return ConfigurationStore(platform)  # type: ignore[arg-type]


async def test_what_is_written_is_read() -> None:
    platform = MemoryPlatform()
    revision = await make_store(platform).write_folder(0, FILES)
    found = await make_store(platform).read_folder()
    assert (found.revision, found.files) == (revision, FILES)


@pytest.mark.parametrize(
    "faults",
    [
        {FOLDER_KEY: ["written"]},
        {FOLDER_KEY: ["not written"]},
        {FOLDER_KEY: ["not written", "written"]},
        {PIECE_PREFIX + pack_files(FILES).digest: ["written"]},
        {PIECE_PREFIX + pack_files(FILES).digest: ["not written"]},
    ],
    ids=str,
)
async def test_lost_response_is_read_back(faults: dict[str, list[str]]) -> None:
    platform = MemoryPlatform()
    platform.faults = faults
    revision = await make_store(platform).write_folder(0, FILES)
    found = await make_store(platform).read_folder()
    assert (found.revision, found.files) == (revision, FILES)


async def test_unconfirmed_write_raises_outcome_unknown() -> None:
    platform = MemoryPlatform()
    platform.faults = {FOLDER_KEY: ["written", "read"]}
    with pytest.raises(PlatformOutcomeUnknown):
        await make_store(platform).write_folder(0, FILES)
    assert FOLDER_KEY in platform.values


async def test_failed_write_raises_platform_error() -> None:
    platform = MemoryPlatform()
    platform.faults = {FOLDER_KEY: ["away"]}
    with pytest.raises(PlatformError):
        await make_store(platform).write_folder(0, FILES)
    assert FOLDER_KEY not in platform.values


@pytest.mark.parametrize("fault", [[], ["not written"]])
async def test_outdated_base_revision_is_refused(fault: list[str]) -> None:
    platform = MemoryPlatform()
    base = await make_store(platform).write_folder(0, FILES)
    await make_store(platform).write_folder(base, OTHER)
    platform.faults = {FOLDER_KEY: fault}
    with pytest.raises(FolderConflictError, match="pull"):
        await make_store(platform).write_folder(base, FILES)
    assert (await make_store(platform).read_folder()).files == OTHER


async def test_only_new_pieces_are_written() -> None:
    platform = MemoryPlatform()
    accounts = [f"[account:a{index}]\nburst = 1\n" for index in range(2000)]
    store = make_store(platform)
    base = await store.write_folder(0, {"20.ini": "".join(accounts)})
    accounts[1000] = "[account:a1000]\nburst = 2\n"
    platform.writes = platform.reads = 0
    await store.write_folder(base, {"20.ini": "".join(accounts)})
    assert platform.writes == 3  # piece, manifest, folder
    assert platform.reads == 2  # marker, list of pieces


async def test_a_node_reads_only_new_pieces() -> None:
    platform = MemoryPlatform()
    accounts = [f"[account:a{index}]\nburst = 1\n" for index in range(2000)]
    store, reader = make_store(platform), make_store(platform)
    base = await store.write_folder(0, {"20.ini": "".join(accounts)})
    await reader.read_folder()
    accounts[1000] = "[account:a1000]\nburst = 2\n"
    await store.write_folder(base, {"20.ini": "".join(accounts)})
    platform.reads = 0
    await reader.read_folder()
    assert platform.reads == 3  # folder, manifest, piece


async def test_unreferenced_pieces_are_collected() -> None:
    platform = MemoryPlatform()
    store = make_store(platform)
    base = await store.write_folder(0, FILES)
    accepted = encode_accepted(1, pack_files(FILES).digest, base)
    await platform.swap(ACCEPTED_KEY, 0, accepted)
    base = await store.write_folder(base, OTHER)
    assert await store.collect_garbage() == 0  # the accepted record references FILES
    accepted = encode_accepted(2, pack_files(OTHER).digest, base)
    revision = platform.values[ACCEPTED_KEY].revision
    await platform.swap(ACCEPTED_KEY, revision, accepted)
    assert await store.collect_garbage() == 2
    assert (await make_store(platform).read_folder()).files == OTHER


async def test_collection_cannot_remove_pieces_of_a_concurrent_write() -> None:
    platform = MemoryPlatform()
    store = make_store(platform)
    base = await store.write_folder(0, FILES)
    other = make_store(platform)
    base = await other.write_folder(base, OTHER)

    async def collect_garbage() -> None:
        assert await make_store(platform).collect_garbage() == 2

    # The writer finds the pieces of FILES already stored; a collection removes them
    # before the writer references them in its record.
    platform.before_write = {FOLDER_KEY: collect_garbage}
    await store.write_folder(base, FILES)
    assert (await make_store(platform).read_folder()).files == FILES


async def test_collection_aborts_after_a_record_change() -> None:
    platform = MemoryPlatform()
    store = make_store(platform)
    base = await store.write_folder(0, FILES)
    await store.write_folder(base, OTHER)
    found = await platform.read_prefix(PIECE_PREFIX)
    stale_guard = [Guard(FOLDER_KEY, base)]
    keys = [item.key for item in found.items]
    assert await platform.remove(keys, "/marker", stale_guard) is None


async def test_pieces_are_fetched_from_peers_if_missing() -> None:
    platform = MemoryPlatform()
    packed = pack_files(FILES)
    store = make_store(platform)

    async def fetch(digests: t.Sequence[str]) -> t.Mapping[str, str]:
        return {digest: packed.pieces[digest] for digest in digests}

    assert await store.load(packed.digest, fetch) == FILES
    with pytest.raises(PieceError, match="gone"):
        await make_store(platform).load(packed.digest)


@pytest.mark.parametrize("key", [FOLDER_KEY, ACCEPTED_KEY])
@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'{"digest": 3}', b"\xff"])
async def test_a_damaged_record_is_refused(key: str, value: bytes) -> None:
    platform = MemoryPlatform()
    platform.values[key] = KeyValue(key, value, 5)
    store = make_store(platform)
    with pytest.raises(RecordError, match="apply"):
        await store.read_folder_record()
        await store.read_accepted_record()


async def test_ignoring_the_collection_marker_loses_pieces(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    holds = MemoryPlatform._holds

    def ignore_marker(platform: MemoryPlatform, guards: t.Sequence[Guard]) -> bool:
        return holds(platform, [item for item in guards if item.key != COLLECTION_KEY])

    monkeypatch.setattr(MemoryPlatform, "_holds", ignore_marker)
    with pytest.raises(PieceError, match="gone"):
        await test_collection_cannot_remove_pieces_of_a_concurrent_write()
