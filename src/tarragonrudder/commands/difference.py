"""What changes between two folders, section by section."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.edges.ini_merge import IniMerge
from tarragonrudder.edges.pieces import Files
from tarragonrudder.errors import FolderError

HIDDEN_KEYS = frozenset({"key_hashes"})
HIDDEN = "(not shown)"
ABSENT = "-"


@dataclass(frozen=True, slots=True)
class Difference:
    """One key's value before and after; ``-`` where there is none."""

    section: str
    key: str
    before: str
    after: str


def compare_folders(before: Files, after: Files) -> list[Difference]:
    """Return how the merged sections differ.

    Raises
    ------
    FolderError
        If a folder can't be parsed.
    """
    old = _merge(before)
    new = _merge(after)
    differences = []
    for header in sorted({*old, *new}):
        was = old.get(header, {})
        now = new.get(header, {})
        if header not in new or header not in old:
            state = ("present", ABSENT) if header in old else (ABSENT, "present")
            differences.append(Difference(header, "", *state))
            continue
        for key in sorted({*was, *now}):
            values = (was.get(key, ABSENT), now.get(key, ABSENT))
            if values[0] == values[1]:
                continue
            if key in HIDDEN_KEYS:
                values = (HIDDEN, HIDDEN)
            differences.append(Difference(header, key, *values))
    return differences


def _merge(files: Files) -> dict[str, t.Mapping[str, str]]:
    merge = IniMerge()
    for name in sorted(files):
        for _ in merge.add_file(name, files[name]):
            continue
    if merge.findings:
        raise FolderError(merge.findings)
    return {header: merged.values for header, merged in merge.sections.items()}
