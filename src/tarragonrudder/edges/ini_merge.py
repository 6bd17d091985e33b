"""Merging of INI files in the order of their names, key by key."""

import io
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.edges.ini import Entry, IniSection, IniText, read_ini

REMOVE_KEY = "remove"  # removes what earlier files made of a section
CHUNK_CHARACTERS = 8 * 1024  # text that is parsed in one step


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A line of a file, counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class FileChunk:
    """Whole sections of a file that stand together.

    Attributes
    ----------
    offset : int
        Lines of the file that come before.
    """

    file: str
    offset: int

    def locate(self, line: int) -> SourceLocation:
        """Return the location of a line of the chunk."""
        return SourceLocation(self.file, self.offset + line + 1)


@dataclass(frozen=True, slots=True)
class SectionSource:
    """What one file says of a section."""

    chunk: FileChunk
    section: IniSection


@dataclass(slots=True)
class MergedSection:
    """A section as all files together make it; later files override."""

    sources: list[SectionSource] = field(default_factory=list)

    @property
    def location(self) -> SourceLocation:
        """Where the section begins first."""
        source = self.sources[0]
        return source.chunk.locate(source.section.line)

    @property
    def values(self) -> dict[str, str]:
        """The values of all keys."""
        values = {}
        for source in self.sources:
            for key, entry in source.section.entries.items():
                values[key] = entry.value
        return values

    def locate(self, key: str) -> SourceLocation:
        """Return the location of a key's value, or of the section without it."""
        for source in reversed(self.sources):
            entry = source.section.entries.get(key)
            if entry is not None:
                return source.chunk.locate(entry.line)
        return self.location


ParsedChunks: t.TypeAlias = dict[str, IniText]


@dataclass(slots=True)
class IniMerge:
    """Sections of all files merged so far.

    Attributes
    ----------
    cached : dict
        Parts that were parsed before, by their text.
    parsed : dict
        Parts of the present files, by their text.
    """

    cached: ParsedChunks = field(default_factory=dict)
    parsed: ParsedChunks = field(default_factory=dict)
    sections: dict[str, MergedSection] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)

    def add_file(self, name: str, text: str) -> t.Iterator[None]:
        """Merge the file that comes next in order; yield often."""
        seen: dict[str, SourceLocation] = {}
        for offset, lines in _split_into_chunks(text):
            yield
            chunk = FileChunk(name, offset)
            read = self._read("".join(lines))
            for fault in read.faults:
                self.findings.append(f"{chunk.locate(fault.line)}: {fault.message}")
            for section in read.sections:
                self._add(SectionSource(chunk, section), seen)

    def _read(self, text: str) -> IniText:
        read = self.cached.get(text)
        if read is None:
            read = read_ini(text)
        self.parsed[text] = read
        return read

    def _add(self, source: SectionSource, seen: dict[str, SourceLocation]) -> None:
        section = source.section
        location = source.chunk.locate(section.line)
        first = seen.setdefault(section.header, location)
        if first != location:
            self.findings.append(
                f"{location}: [{section.header}] stands at line {first.line} already; "
                "merge the two"
            )
            return
        removal = section.entries.get(REMOVE_KEY)
        if removal is not None:
            self._remove(source, removal)
            return
        merged = self.sections.setdefault(section.header, MergedSection())
        merged.sources.append(source)

    def _remove(self, source: SectionSource, removal: Entry) -> None:
        header = source.section.header
        location = source.chunk.locate(removal.line)
        if removal.value != "yes":
            text = "remove: only yes may stand here; write yes or leave it out"
            self.findings.append(f"{location}: [{header}] {text}")
            return
        if len(source.section.entries) > 1:
            text = "other keys beside remove; make the section anew in a later file"
            self.findings.append(f"{location}: [{header}] {text}")
            return
        if self.sections.pop(header, None) is None:
            text = "is in no earlier file; take the removal out"
            self.findings.append(f"{location}: [{header}] {text}")


def _split_into_chunks(text: str) -> t.Iterator[tuple[int, list[str]]]:
    """Yield the lines of whole sections with the number of lines before them."""
    lines: list[str] = []
    size = 0
    offset = 0
    for line in io.StringIO(text):
        if size > CHUNK_CHARACTERS and line.startswith("["):
            yield offset, lines
            offset += len(lines)
            lines, size = [], 0
        lines.append(line)
        size += len(line)
    yield offset, lines
