"""Differences between two configuration folders, by section and key."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.edges.ini_merge import IniMerge
from tarragonrudder.edges.pieces import Files
from tarragonrudder.errors import FolderError

HIDDEN_KEYS = frozenset({"key_hashes", "keys"})
HIDDEN_VALUE = "(not shown)"
ABSENT = "-"

Sections: t.TypeAlias = t.Mapping[str, t.Mapping[str, str]]


@dataclass(frozen=True, slots=True)
class Difference:
    """A key's value before and after; ``-`` if the key is absent."""

    section: str
    key: str
    before: str
    after: str


def compare_folders(before: Files, after: Files) -> list[Difference]:
    """Return the differences between the merged sections.

    Raises
    ------
    FolderError
        If a folder can't be parsed.
    """
    return compare_sections(_merge(before), _merge(after))


def compare_sections(old: Sections, new: Sections) -> list[Difference]:
    """Return the differences between two sets of sections, by name and key."""
    differences = []
    for header in sorted({*old, *new}):
        old_values = old.get(header, {})
        new_values = new.get(header, {})
        if header not in new or header not in old:
            state = ("present", ABSENT) if header in old else (ABSENT, "present")
            differences.append(Difference(header, "", *state))
            continue
        for key in sorted({*old_values, *new_values}):
            values = (old_values.get(key, ABSENT), new_values.get(key, ABSENT))
            if values[0] == values[1]:
                continue
            if key in HIDDEN_KEYS:
                values = (HIDDEN_VALUE, HIDDEN_VALUE)
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
