"""Merges INI files in the order of their names, key by key."""

import io
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.edges.ini import Entry, IniSection, IniText, read_ini

REMOVE_KEY = "remove"  # drops a section that earlier files defined
CHUNK_CHARACTERS = 8 * 1024  # text parsed in one step, at least


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A file and a line number, counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class FileChunk:
    """Consecutive whole sections of a file, parsed in one step.

    Attributes
    ----------
    offset : int
        Number of lines in the file before the chunk.
    """

    file: str
    offset: int

    def locate(self, line: int) -> SourceLocation:
        """Return the location of a line of the chunk, counted from 0."""
        return SourceLocation(self.file, self.offset + line + 1)


@dataclass(frozen=True, slots=True)
class SectionSource:
    """A section as one file defines it."""

    chunk: FileChunk
    section: IniSection


@dataclass(slots=True)
class MergedSection:
    """A section merged from all files; later files override earlier ones."""

    sources: list[SectionSource] = field(default_factory=list)

    @property
    def location(self) -> SourceLocation:
        """Where the first file that defines the section does so."""
        source = self.sources[0]
        return source.chunk.locate(source.section.line)

    @property
    def values(self) -> dict[str, str]:
        """The merged values of all keys."""
        values = {}
        for source in self.sources:
            for key, entry in source.section.entries.items():
                values[key] = entry.value
        return values

    def locate(self, key: str) -> SourceLocation:
        """Return where a key's value was set, or the section if it has no such key."""
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
        Chunks that an earlier merge parsed, by their text.
    parsed : dict
        Chunks of this merge, by their text; the cache of the next one.
    """

    cached: ParsedChunks = field(default_factory=dict)
    parsed: ParsedChunks = field(default_factory=dict)
    sections: dict[str, MergedSection] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)

    def add_file(self, name: str, text: str) -> t.Iterator[None]:
        """Merge the next file in order; yield often."""
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
    """Yield the lines of each chunk with the number of lines before it."""
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
