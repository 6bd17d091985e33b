"""The operators' command-line tool, ``tarragonrudder``."""

import pathlib
import sys
import typing as t

import fire
import trio

from tarragonrudder.edges.folder import Files, build_configuration
from tarragonrudder.edges.platform import (
    PlatformAnswerLost,
    PlatformClient,
    PlatformError,
)
from tarragonrudder.edges.store import ConfigurationStore
from tarragonrudder.errors import FolderError, RouterError

EXIT_FAULT = 1
PLATFORM_TIMEOUT = 5.0  # seconds


class ConflictError(RouterError):
    """Another operator changed the folder first."""


class Commands:
    """Check, apply and inspect the configuration folder."""

    def check(self, folder: str) -> None:
        """Check a folder without the platform."""
        configuration = build_configuration(read_folder(folder), 1)
        print(f"the folder is valid, digest {configuration.digest}")

    def apply(self, folder: str, platform: str) -> None:
        """Write a folder to the platform, unless another operator was faster."""
        files = read_folder(folder)
        build_configuration(files, 1)
        revision = trio.run(_apply, platform, files)
        print(f"the folder was written at revision {revision}")


def read_folder(folder: str) -> Files:
    """Return the contents of a folder's INI files by their names."""
    files = {}
    for path in sorted(pathlib.Path(folder).glob("*.ini")):
        files[path.name] = path.read_text(encoding="utf-8")
    if not files:
        raise FolderError([f"{folder}: no *.ini files there; name the right folder"])
    return files


async def _apply(platform: str, files: dict[str, str]) -> int:
    client = PlatformClient(platform, PLATFORM_TIMEOUT)
    try:
        store = ConfigurationStore(client)
        known = await store.read_folder()
        revision = await store.write_folder(known.revision, files)
    finally:
        await client.close()
    if revision is None:
        raise ConflictError("the folder was changed by another operator; pull first")
    return revision


def main(argv: t.Sequence[str] | None = None) -> None:
    """Run one command."""
    try:
        fire.Fire(Commands, command=argv, name="tarragonrudder")
    except (RouterError, PlatformError, PlatformAnswerLost) as error:
        print(f"tarragonrudder: {error}", file=sys.stderr)
        raise SystemExit(EXIT_FAULT) from error


if __name__ == "__main__":
    main()
