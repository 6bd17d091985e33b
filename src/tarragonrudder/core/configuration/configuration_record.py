"""Platform records of the written, the accepted and the rejected folder.

Each record is a small JSON value. The contents, which it refers to by digest, are
stored separately in pieces.
"""

import json
import typing as t
from dataclasses import dataclass

from tarragonrudder.errors import RecordError

CONTROL_PREFIX = "/tarragonrudder/control/"
CONFIGURATION_PREFIX = CONTROL_PREFIX + "configuration/"
FOLDER_KEY = CONFIGURATION_PREFIX + "folder"
ACCEPTED_KEY = CONFIGURATION_PREFIX + "accepted"
REJECTED_KEY = CONFIGURATION_PREFIX + "rejected"
MAX_FINDINGS = 50  # findings kept in a record


@dataclass(frozen=True, slots=True)
class FolderRecord:
    """The folder that operators wrote last.

    Attributes
    ----------
    revision : int
        The record's modification revision; 0 if there is none.
    digest : str
        Digest of the folder's contents.
    writer : str
        Unique identifier of the write, to find its outcome if the response is
        lost.
    """

    revision: int = 0
    digest: str = ""
    writer: str = ""


@dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """The newest accepted generation.

    Attributes
    ----------
    folder_revision : int
        Revision of the folder record that was accepted.
    """

    revision: int = 0
    generation: int = 0
    digest: str = ""
    folder_revision: int = 0


@dataclass(frozen=True, slots=True)
class RejectedRecord:
    """Why a folder was rejected.

    Attributes
    ----------
    findings : tuple of str
        The first findings, each with file, line, fault and remedy.
    count : int
        Number of all findings.
    """

    revision: int = 0
    folder_revision: int = 0
    findings: tuple[str, ...] = ()
    count: int = 0


def encode_folder(digest: str, writer: str) -> bytes:
    """Return the value of a folder record."""
    return _encode({"digest": digest, "writer": writer})


def decode_folder(value: bytes | None, revision: int) -> FolderRecord:
    """Return a folder record; raise ``RecordError`` if it is invalid."""
    if value is None:
        return FolderRecord()
    item = _decode(value, FOLDER_KEY)
    digest = _get_field(item, "digest", str, FOLDER_KEY)
    return FolderRecord(revision, digest, _get_field(item, "writer", str, FOLDER_KEY))


def encode_accepted(generation: int, digest: str, folder_revision: int) -> bytes:
    """Return the value of an accepted record."""
    return _encode(
        {
            "generation": generation,
            "digest": digest,
            "folder_revision": folder_revision,
        }
    )


def decode_accepted(value: bytes | None, revision: int) -> AcceptedRecord:
    """Return an accepted record; raise ``RecordError`` if it is invalid."""
    if value is None:
        return AcceptedRecord()
    item = _decode(value, ACCEPTED_KEY)
    generation = _get_field(item, "generation", int, ACCEPTED_KEY)
    digest = _get_field(item, "digest", str, ACCEPTED_KEY)
    folder_revision = _get_field(item, "folder_revision", int, ACCEPTED_KEY)
    if generation < 1 or folder_revision < 1 or not digest:
        raise RecordError(
            f"{ACCEPTED_KEY}: a value is out of range; apply the folder again"
        )
    return AcceptedRecord(revision, generation, digest, folder_revision)


def encode_rejected(folder_revision: int, findings: t.Sequence[str]) -> bytes:
    """Return the value of a rejected record."""
    return _encode(
        {
            "folder_revision": folder_revision,
            "findings": list(findings[:MAX_FINDINGS]),
            "count": len(findings),
        }
    )


def decode_rejected(value: bytes | None, revision: int) -> RejectedRecord:
    """Return a rejected record; raise ``RecordError`` if it is invalid."""
    if value is None:
        return RejectedRecord()
    item = _decode(value, REJECTED_KEY)
    folder_revision = _get_field(item, "folder_revision", int, REJECTED_KEY)
    findings = tuple(
        str(text) for text in _get_field(item, "findings", list, REJECTED_KEY)
    )
    count = _get_field(item, "count", int, REJECTED_KEY)
    return RejectedRecord(revision, folder_revision, findings, count)


def _encode(item: dict[str, t.Any]) -> bytes:
    return json.dumps(item, sort_keys=True).encode()


def _decode(value: bytes, key: str) -> dict[str, t.Any]:
    try:
        item = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{key}: not JSON; apply the folder again") from error
    if not isinstance(item, dict):
        raise RecordError(f"{key}: not a JSON object; apply the folder again")
    return item


def _get_field(item: dict[str, t.Any], field: str, kind: type, key: str) -> t.Any:
    value = item.get(field)
    # bool is a subclass of int, but no record has a bool field.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise RecordError(
            f"{key}: {field} is missing or of the wrong type; apply the folder again"
        )
    return value
