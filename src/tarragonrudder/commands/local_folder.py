"""The operator's local copy of the folder and the revision it is based on."""

import configparser
import io
import pathlib
from dataclasses import dataclass

from tarragonrudder.edges.pieces import Files
from tarragonrudder.errors import FolderError

BASE_FILE_NAME = ".revision"
MAX_FILE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class FolderBase:
    """The revision of the platform's folder that a local copy is based on.

    Attributes
    ----------
    revision : int
        0 if the copy was never pulled or applied.
    digest : str
        Digest of the files at that revision.
    """

    revision: int = 0
    digest: str = ""


def read_folder(folder: str) -> dict[str, str]:
    """Return the contents of a folder's INI files by file name.

    Raises
    ------
    FolderError
        If there are none, or one is too large or can't be read.
    """
    path = pathlib.Path(folder)
    files: dict[str, str] = {}
    findings = []
    for item in sorted(path.glob("*.ini")):
        try:
            if item.stat().st_size > MAX_FILE_BYTES:
                findings.append(f"{item.name}:1: the file is too large; split it")
                continue
            files[item.name] = item.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            reason = "not UTF-8" if isinstance(error, ValueError) else error.strerror
            findings.append(f"{item.name}:1: can't be read: {reason}; mend the file")
    if findings:
        raise FolderError(findings)
    if not files:
        raise FolderError([f"{folder}: no *.ini files there; name the right folder"])
    return files


def read_base(folder: str) -> FolderBase:
    """Return the revision and digest that the copy is based on.

    Raises
    ------
    FolderError
        If the file that holds them is damaged.
    """
    path = pathlib.Path(folder) / BASE_FILE_NAME
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        section = parser["folder"]
        return FolderBase(section.getint("revision"), section["digest"])
    except FileNotFoundError:
        return FolderBase()
    except (OSError, ValueError, KeyError, configparser.Error) as error:
        text = (
            f"{BASE_FILE_NAME}:1: damaged; "
            "pull into a new folder and copy the files over"
        )
        raise FolderError([text]) from error


def write_base(folder: str, base: FolderBase) -> None:
    """Save the revision and digest that the copy is based on."""
    parser = configparser.ConfigParser(interpolation=None)
    parser["folder"] = {"revision": str(base.revision), "digest": base.digest}
    stream = io.StringIO()
    parser.write(stream)
    path = pathlib.Path(folder) / BASE_FILE_NAME
    path.write_text(stream.getvalue(), encoding="utf-8")


def write_files(folder: str, files: Files) -> None:
    """Replace a folder's INI files; those not in `files` are deleted."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    for item in path.glob("*.ini"):
        if item.name not in files:
            item.unlink()
    for name, text in files.items():
        (path / name).write_text(text, encoding="utf-8", newline="")
