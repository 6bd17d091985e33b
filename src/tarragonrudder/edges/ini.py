"""Parses INI text and keeps the line number of each section and key."""

import configparser
import io
import typing as t
from dataclasses import dataclass, field

MAX_LINE_CHARACTERS = 16 * 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """One key's value and its line in the text, counted from 0."""

    value: str
    line: int


@dataclass(frozen=True, slots=True)
class IniSection:
    """One section of a text, its keys in lower case."""

    header: str
    line: int
    entries: t.Mapping[str, Entry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fault:
    """A syntax error in a line; its message never quotes the line."""

    line: int
    message: str


@dataclass(frozen=True, slots=True)
class IniText:
    """The sections of a text, or its syntax errors."""

    sections: tuple[IniSection, ...]
    faults: tuple[Fault, ...] = ()


def read_ini(text: str) -> IniText:
    """Parse INI text."""
    parser = configparser.RawConfigParser(
        default_section="", empty_lines_in_values=False
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return IniText((), tuple(_describe(error)))
    for number, line in enumerate(io.StringIO(text)):
        if len(line) > MAX_LINE_CHARACTERS:
            fault = Fault(number, "the line is too long; continue it below")
            return IniText((), (fault,))
    lines = _find_lines(text)
    sections = []
    for header in parser.sections():
        entries = {}
        start = lines.get((header, ""), 0)
        for key, value in parser.items(header):
            entries[key] = Entry(value, lines.get((header, key), start))
        sections.append(IniSection(header, start, entries))
    return IniText(tuple(sections))


def _find_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each section and key."""
    lines = {}
    header = ""
    for number, line in enumerate(io.StringIO(text)):
        if line[0].isspace() or line[0] in "#;":
            continue
        if line[0] == "[":
            header = line[1 : line.rfind("]")]
            lines[header, ""] = number
            continue
        match = configparser.RawConfigParser.OPTCRE.match(line)
        if match is not None:
            lines[header, match.group("option").strip().lower()] = number
    return lines


def _describe(error: configparser.Error) -> t.Iterator[Fault]:
    """Yield faults that never quote the text: it may hold a secret."""
    match error:
        case configparser.DuplicateSectionError(section=section, lineno=line):
            message = f"[{section}] stands twice in this file; merge the two"
            yield Fault((line or 1) - 1, message)
        case configparser.DuplicateOptionError(section=section, option=key):
            message = f"[{section}] {key}: stands twice; remove one"
            yield Fault((error.lineno or 1) - 1, message)
        case configparser.MissingSectionHeaderError(lineno=line):
            message = "a key before the first section; put [kind:name] above it"
            yield Fault(line - 1, message)
        case configparser.ParsingError(errors=errors):
            for line, _ in errors:
                message = "neither a section nor key = value; mend the line"
                yield Fault(line - 1, message)
        case _:
            yield Fault(0, "not INI; mend the file")
