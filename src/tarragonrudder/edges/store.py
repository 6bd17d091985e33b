"""Storage of the operators' folder and the accepted configuration in the platform.

Contents are stored as immutable pieces under their digest, and small records
reference them. Records are changed by compare-and-swap only. Garbage collection
removes pieces that no record references. Each collection also writes a marker,
which every write of a folder compares: a concurrent writer that was about to
reference a removed piece then fails, and writes the missing pieces again.
"""

import typing as t
import uuid
from dataclasses import dataclass

from tarragonrudder.core.configuration.configuration_record import (
    ACCEPTED_KEY,
    FOLDER_KEY,
    REJECTED_KEY,
    AcceptedRecord,
    FolderRecord,
    RejectedRecord,
    decode_accepted,
    decode_folder,
    decode_rejected,
    encode_folder,
)
from tarragonrudder.core.domain.action import Guard
from tarragonrudder.edges.pieces import (
    Files,
    PackedFolder,
    compress_piece,
    decompress_piece,
    join_files,
    pack_files,
    read_manifest,
)
from tarragonrudder.edges.platform_client import (
    PlatformClient,
    PlatformError,
    PlatformOutcomeUnknown,
)
from tarragonrudder.errors import FolderConflictError, PieceError

PREFIX = "/tarragonrudder/"
PIECE_PREFIX = PREFIX + "pieces/"
COLLECTION_KEY = PREFIX + "collection"
MAX_WRITE_TRIES = 4
REMOVAL_BATCH_SIZE = 100  # pieces removed in one transaction

FetchPieces: t.TypeAlias = t.Callable[
    [t.Sequence[str]], t.Awaitable[t.Mapping[str, str]]
]


@dataclass(frozen=True, slots=True)
class FolderSnapshot:
    """The operators' files as of one revision."""

    revision: int
    files: dict[str, str]


class PieceCache:
    """Cache of the pieces in force and of those read last."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}
        self._pinned: frozenset[str] = frozenset()

    def find(self, digest: str) -> str | None:
        """Return a piece's text, or None if it is not cached."""
        return self._texts.get(digest)

    def add(self, digest: str, text: str) -> None:
        """Add a piece."""
        self._texts[digest] = text

    def pin(self, digests: t.Iterable[str]) -> None:
        """Keep these pieces for queries by peers, until others are pinned."""
        self._pinned = frozenset(digests)

    def keep_only(self, digests: t.Container[str]) -> None:
        """Remove all pieces that are neither given nor pinned."""
        for digest in list(self._texts):
            if digest not in digests and digest not in self._pinned:
                del self._texts[digest]


class ConfigurationStore:
    """Reads and writes the records and the pieces that they reference."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self.pieces = PieceCache()

    async def read_folder_record(self) -> FolderRecord:
        """Return the record of the folder that was written last."""
        found = await self._client.get(FOLDER_KEY)
        if found is None:
            return FolderRecord()
        return decode_folder(found.value, found.revision)

    async def read_accepted_record(self) -> AcceptedRecord:
        """Return the record of the accepted configuration."""
        found = await self._client.get(ACCEPTED_KEY)
        if found is None:
            return AcceptedRecord()
        return decode_accepted(found.value, found.revision)

    async def read_rejected_record(self) -> RejectedRecord:
        """Return the record of the last rejection of a folder."""
        found = await self._client.get(REJECTED_KEY)
        if found is None:
            return RejectedRecord()
        return decode_rejected(found.value, found.revision)

    async def read_folder(self) -> FolderSnapshot:
        """Return the operators' files."""
        record = await self.read_folder_record()
        if record.revision == 0:
            return FolderSnapshot(0, {})
        return FolderSnapshot(record.revision, await self.load(record.digest))

    async def load(
        self, digest: str, fetch: FetchPieces | None = None, pin: bool = False
    ) -> dict[str, str]:
        """Return the files that the manifest with this digest lists.

        Parameters
        ----------
        digest : str
            Digest of a manifest.
        fetch : callable, optional
            Called with the digests of pieces that can't be read from the platform.
        pin : bool
            Whether the pieces stay cached for peers.

        Raises
        ------
        PlatformError
            If the platform is unavailable and `fetch` returns too few pieces.
        PieceError
            If a piece is missing or damaged.
        """
        await self._load_pieces([digest], fetch)
        manifest = self._get_piece(digest)
        digests: list[str] = []
        for file_digests in read_manifest(manifest).values():
            digests.extend(file_digests)
        await self._load_pieces(digests, fetch)
        texts = {item: self._get_piece(item) for item in digests}
        loaded = {digest, *digests}
        if pin:
            self.pieces.pin(loaded)
        self.pieces.keep_only(loaded)
        return join_files(manifest, texts)

    async def write_folder(self, expected: int, files: Files) -> int:
        """Replace the files if the folder is still at revision `expected`.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        FolderConflictError
            If another operator changed the folder; nothing was written.
        PlatformError
            If nothing was written for another reason.
        PlatformOutcomeUnknown
            If the folder may have been written and can't be read back.
        """
        packed = pack_files(files)
        writer = uuid.uuid4().hex
        value = encode_folder(packed.digest, writer)
        outcome_unknown: PlatformOutcomeUnknown | None = None
        for _ in range(MAX_WRITE_TRIES):
            try:
                marker = await self._read_collection_marker()
                await self._write_missing_pieces(packed)
                revision = await self._client.swap(
                    FOLDER_KEY, expected, value, guards=(marker,)
                )
                if revision is not None:
                    return revision
            except PlatformOutcomeUnknown as error:
                outcome_unknown = error
            except PlatformError:
                if outcome_unknown is not None:
                    raise outcome_unknown from None
                raise
            revision = await self._resolve_write(expected, writer, outcome_unknown)
            if revision is not None:
                return revision
        if outcome_unknown is not None:
            raise outcome_unknown
        raise PlatformError(
            "the folder's pieces were removed by garbage collection; apply again"
        )

    async def collect_garbage(self) -> int:
        """Remove pieces that no record references; return their number."""
        folder = await self.read_folder_record()
        accepted = await self.read_accepted_record()
        referenced: set[str] = set()
        for digest in {folder.digest, accepted.digest} - {""}:
            referenced.add(digest)
            await self._load_pieces([digest], None)
            for digests in read_manifest(self._get_piece(digest)).values():
                referenced.update(digests)
        listing = await self._client.read_prefix(PIECE_PREFIX, keys_only=True)
        unreferenced = []
        for item in listing.items:
            if item.key.removeprefix(PIECE_PREFIX) not in referenced:
                unreferenced.append(item.key)
        guards = (
            Guard(FOLDER_KEY, folder.revision),
            Guard(ACCEPTED_KEY, accepted.revision),
        )
        removed = 0
        for start in range(0, len(unreferenced), REMOVAL_BATCH_SIZE):
            keys = unreferenced[start : start + REMOVAL_BATCH_SIZE]
            if await self._client.remove(keys, COLLECTION_KEY, guards) is None:
                break
            removed += len(keys)
        return removed

    async def _resolve_write(
        self, expected: int, writer: str, outcome_unknown: PlatformOutcomeUnknown | None
    ) -> int | None:
        """Return the revision if the write took effect, None if it may be retried."""
        try:
            record = await self.read_folder_record()
        except PlatformError:
            if outcome_unknown is not None:
                raise outcome_unknown from None
            raise
        if record.writer == writer:
            return record.revision
        if record.revision != expected:
            raise FolderConflictError(
                f"the folder is at revision {record.revision}, not {expected}: another "
                "operator changed it; pull, merge your change and apply again"
            )
        return None

    async def _read_collection_marker(self) -> Guard:
        found = await self._client.get(COLLECTION_KEY)
        return Guard(COLLECTION_KEY, found.revision if found is not None else 0)

    async def _write_missing_pieces(self, packed: PackedFolder) -> None:
        """Write the pieces that are not stored yet."""
        listing = await self._client.read_prefix(PIECE_PREFIX, keys_only=True)
        present = {item.key.removeprefix(PIECE_PREFIX) for item in listing.items}
        for digest, text in packed.pieces.items():
            if digest in present:
                continue
            # If another writer created the piece first, its content is the same:
            # the swap's result does not matter.
            await self._client.swap(PIECE_PREFIX + digest, 0, compress_piece(text))

    async def _load_pieces(
        self, digests: t.Sequence[str], fetch: FetchPieces | None
    ) -> None:
        """Load pieces into the cache."""
        uncached = [digest for digest in digests if self.pieces.find(digest) is None]
        failure: PlatformError | PieceError | None = None
        unread: list[str] = []
        for digest in dict.fromkeys(uncached):
            try:
                if failure is None:
                    await self._read_piece(digest)
                    continue
            except (PlatformError, PieceError) as error:
                failure = error
            unread.append(digest)
        if failure is None:
            return
        if fetch is not None:
            for digest, text in (await fetch(unread)).items():
                self.pieces.add(digest, text)
        for digest in unread:
            if self.pieces.find(digest) is None:
                raise failure

    async def _read_piece(self, digest: str) -> None:
        found = await self._client.get(PIECE_PREFIX + digest)
        if found is None:
            raise PieceError(f"piece {digest} is gone; apply the folder again")
        self.pieces.add(digest, decompress_piece(found.value, digest))

    def _get_piece(self, digest: str) -> str:
        text = self.pieces.find(digest)
        if text is None:
            raise PieceError(f"piece {digest} is gone; apply the folder again")
        return text
