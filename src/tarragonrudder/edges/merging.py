"""Merging of INI files in the order of their names, key by key."""

import io
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.edges.ini import Entry, IniSection, IniText, read_ini

REMOVE_KEY = "remove"  # removes what earlier files made of a section
PART_CHARACTERS = 8 * 1024  # text that is parsed in one step


@dataclass(frozen=True, slots=True)
class Place:
    """A line of a file, counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Part:
    """Whole sections of a file that stand together.

    Attributes
    ----------
    offset : int
        Lines of the file that come before.
    """

    file: str
    offset: int

    def locate(self, line: int) -> Place:
        """Return the place of a line of the part."""
        return Place(self.file, self.offset + line + 1)


@dataclass(frozen=True, slots=True)
class Layer:
    """What one file says of a section."""

    part: Part
    section: IniSection


@dataclass(slots=True)
class MergedSection:
    """A section as all files together make it; later layers override."""

    layers: list[Layer] = field(default_factory=list)

    @property
    def place(self) -> Place:
        """Where the section begins first."""
        layer = self.layers[0]
        return layer.part.locate(layer.section.line)

    @property
    def values(self) -> dict[str, str]:
        """The values of all keys."""
        values = {}
        for layer in self.layers:
            for key, entry in layer.section.entries.items():
                values[key] = entry.value
        return values

    def locate(self, key: str) -> Place:
        """Return the place of a key's value, or of the section without it."""
        for layer in reversed(self.layers):
            entry = layer.section.entries.get(key)
            if entry is not None:
                return layer.part.locate(entry.line)
        return self.place


Parsed: t.TypeAlias = dict[str, IniText]


@dataclass(slots=True)
class Merge:
    """Sections of all files merged so far.

    Attributes
    ----------
    known : dict
        Parts that were parsed before, by their text.
    parsed : dict
        Parts of the present files, by their text.
    """

    known: Parsed = field(default_factory=dict)
    parsed: Parsed = field(default_factory=dict)
    sections: dict[str, MergedSection] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)

    def add_file(self, name: str, text: str) -> t.Iterator[None]:
        """Merge the file that comes next in order; yield often."""
        seen: dict[str, Place] = {}
        for offset, lines in _split_file(text):
            yield
            part = Part(name, offset)
            read = self._read("".join(lines))
            for fault in read.faults:
                self.findings.append(f"{part.locate(fault.line)}: {fault.message}")
            for section in read.sections:
                self._add(Layer(part, section), seen)

    def _read(self, text: str) -> IniText:
        read = self.known.get(text)
        if read is None:
            read = read_ini(text)
        self.parsed[text] = read
        return read

    def _add(self, layer: Layer, seen: dict[str, Place]) -> None:
        section = layer.section
        place = layer.part.locate(section.line)
        first = seen.setdefault(section.header, place)
        if first != place:
            self.findings.append(
                f"{place}: [{section.header}] stands at line {first.line} already; "
                "merge the two"
            )
            return
        removal = section.entries.get(REMOVE_KEY)
        if removal is not None:
            self._remove(layer, removal)
            return
        merged = self.sections.setdefault(section.header, MergedSection())
        merged.layers.append(layer)

    def _remove(self, layer: Layer, removal: Entry) -> None:
        header = layer.section.header
        place = layer.part.locate(removal.line)
        if removal.value != "yes":
            text = "remove: only yes may stand here; write yes or leave it out"
            self.findings.append(f"{place}: [{header}] {text}")
            return
        if len(layer.section.entries) > 1:
            text = "other keys beside remove; make the section anew in a later file"
            self.findings.append(f"{place}: [{header}] {text}")
            return
        if self.sections.pop(header, None) is None:
            text = "is in no earlier file; take the removal out"
            self.findings.append(f"{place}: [{header}] {text}")


def _split_file(text: str) -> t.Iterator[tuple[int, list[str]]]:
    """Yield the lines of whole sections with the number of lines before them."""
    lines: list[str] = []
    size = 0
    offset = 0
    for line in io.StringIO(text):
        if size > PART_CHARACTERS and line.startswith("["):
            yield offset, lines
            offset += len(lines)
            lines, size = [], 0
        lines.append(line)
        size += len(line)
    yield offset, lines
