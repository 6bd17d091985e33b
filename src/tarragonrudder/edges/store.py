"""The operators' folder and the accepted configuration in the platform.

File contents are immutable values named by their digest; two small records
name them: ``folder`` (what the operators wrote) and ``accepted`` (what is in
force, with its generation). Each is changed by compare-and-swap only.
"""

import hashlib
import json
import zlib
from dataclasses import dataclass

from tarragonrudder.edges.folder import digest_files
from tarragonrudder.edges.platform import PlatformClient

PREFIX = "/tarragonrudder/"
FOLDER_KEY = PREFIX + "configuration/folder"
ACCEPTED_KEY = PREFIX + "configuration/accepted"
PIECE_PREFIX = PREFIX + "pieces/"
PIECE_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class FolderSnapshot:
    """The operators' files as they stood at one revision."""

    revision: int
    files: dict[str, str]


@dataclass(frozen=True, slots=True)
class AcceptedSnapshot:
    """The accepted files and their generation; revision 0 if there are none."""

    revision: int
    generation: int
    folder_revision: int
    files: dict[str, str]


class ConfigurationStore:
    """Reads and writes the two records."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read_folder(self) -> FolderSnapshot:
        """Return the operators' files."""
        found = await self._client.get(FOLDER_KEY)
        if found is None:
            return FolderSnapshot(0, {})
        record = json.loads(found.value)
        return FolderSnapshot(found.revision, await self._load(record["files"]))

    async def write_folder(self, expected: int, files: dict[str, str]) -> int | None:
        """Replace the files if the folder is still at revision `expected`."""
        record = {"files": await self._save(files), "digest": digest_files(files)}
        value = json.dumps(record).encode()
        return await self._client.swap(FOLDER_KEY, expected, value)

    async def read_accepted(self) -> AcceptedSnapshot:
        """Return the accepted files."""
        found = await self._client.get(ACCEPTED_KEY)
        if found is None:
            return AcceptedSnapshot(0, 0, 0, {})
        record = json.loads(found.value)
        return AcceptedSnapshot(
            found.revision,
            record["generation"],
            record["folder_revision"],
            await self._load(record["files"]),
        )

    async def accept(
        self, previous: AcceptedSnapshot, folder: FolderSnapshot
    ) -> int | None:
        """Accept a folder as the next generation, if none was faster."""
        record = {
            "generation": previous.generation + 1,
            "folder_revision": folder.revision,
            "digest": digest_files(folder.files),
            "files": await self._save(folder.files),
        }
        value = json.dumps(record).encode()
        return await self._client.swap(ACCEPTED_KEY, previous.revision, value)

    async def _save(self, files: dict[str, str]) -> dict[str, list[str]]:
        names: dict[str, list[str]] = {}
        for name in sorted(files):
            names[name] = []
            packed = zlib.compress(files[name].encode())
            for start in range(0, len(packed), PIECE_BYTES):
                piece = packed[start : start + PIECE_BYTES]
                digest = hashlib.sha256(piece).hexdigest()
                # A piece that exists has the same content: no need to write.
                await self._client.swap(PIECE_PREFIX + digest, 0, piece)
                names[name].append(digest)
        return names

    async def _load(self, names: dict[str, list[str]]) -> dict[str, str]:
        files = {}
        for name, digests in names.items():
            packed = b""
            for digest in digests:
                found = await self._client.get(PIECE_PREFIX + digest)
                if found is None:
                    raise ValueError(f"piece {digest} of {name} is gone; apply again")
                packed += found.value
            files[name] = zlib.decompress(packed).decode()
        return files
