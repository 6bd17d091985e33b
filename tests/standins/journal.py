"""Journals of the stand-ins: JSON lines that survive the death of the process."""

import json
import pathlib
import time
import typing as t


class Journal:
    """Appends entries to a file; without a path they are dropped."""

    def __init__(self, path: str | None) -> None:
        self._stream = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def write(self, kind: str, **fields: t.Any) -> None:
        """Append one entry with the time in seconds since the epoch."""
        if self._stream is not None:
            entry = {"time": time.time(), "kind": kind, **fields}
            self._stream.write(json.dumps(entry) + "\n")

    def close(self) -> None:
        """Close the file."""
        if self._stream is not None:
            self._stream.close()


def read_journal(path: pathlib.Path) -> list[dict[str, t.Any]]:
    """Return the complete entries of a journal; partial lines are skipped."""
    if not path.exists():
        return []
    entries = []
    for line in path.read_text().splitlines():
        try:
            entries.append(json.loads(line))
        except ValueError:
            continue
    return entries
