"""Validates the operators' folder and builds the configuration from it."""

import re
import typing as t

from pydantic import ValidationError
from rapidfuzz import process as fuzzy

from tarragonrudder.core.domain import fleet
from tarragonrudder.edges import schema
from tarragonrudder.edges.assembly import ValidatedSections, assemble_in_steps
from tarragonrudder.edges.cross_check import cross_check_in_steps
from tarragonrudder.edges.ini_merge import IniMerge, MergedSection, ParsedChunks
from tarragonrudder.edges.pieces import Files, digest_files
from tarragonrudder.errors import FolderError

MAX_FOLDER_BYTES = 16 * 1024 * 1024
SECTIONS_PER_STEP = 50
MIN_SIMILARITY = 60.0  # per cent; less similar names are not suggested
_FILE_NAME_PATTERN = re.compile(r"[^\x00-\x1f/\\]+\.ini")


class ConfigurationBuilder:
    """Builds configurations and reuses sections unchanged since the last build.

    With 20,000 client accounts a full build takes seconds of processor time; a
    build after a small change takes a small part of that.
    """

    def __init__(self) -> None:
        self._parsed: ParsedChunks = {}
        self._valid: dict[str, tuple[MergedSection, schema.Section]] = {}

    def build_in_steps(
        self, files: Files, generation: int, digest: str
    ) -> t.Generator[None, None, fleet.Configuration]:
        """IniMerge and validate files; yield often, so that other tasks can run.

        Parameters
        ----------
        files : dict
            Contents by file name.
        generation : int
            Generation of the configuration returned.
        digest : str
            Digest of the files.

        Raises
        ------
        FolderError
            With all findings; no part of the files is used.
        """
        _raise_findings(_check_files(files))
        merge = IniMerge(self._parsed)
        for name in sorted(files):
            yield from merge.add_file(name, files[name])
        sections = ValidatedSections()
        findings = merge.findings
        valid = {}
        for number, (header, merged) in enumerate(merge.sections.items()):
            if number % SECTIONS_PER_STEP == 0:
                yield
            section = self._validate(header, merged, findings)
            if section is None:
                continue
            valid[header] = (merged, section)
            kind, _, title = header.partition(":")
            sections.add(kind, title, section, merged)
        _raise_findings(findings)
        configuration = yield from assemble_in_steps(sections, generation, digest)
        yield
        _raise_findings(
            (yield from cross_check_in_steps(configuration, sections.merged))
        )
        self._parsed = merge.parsed
        self._valid = valid
        return configuration

    def _validate(
        self, header: str, merged: MergedSection, findings: list[str]
    ) -> schema.Section | None:
        previous = self._valid.get(header)
        if previous is not None and _has_same_sources(previous[0], merged):
            return previous[1]
        return _validate_section(header, merged, findings)


def build_configuration(files: Files, generation: int) -> fleet.Configuration:
    """IniMerge and validate files, and return the configuration they describe.

    Raises
    ------
    FolderError
        With all findings; no part of the files is used.
    """
    steps = ConfigurationBuilder().build_in_steps(
        files, generation, digest_files(files)
    )
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def _raise_findings(findings: t.Sequence[str]) -> None:
    if findings:
        raise FolderError(findings)


def _check_files(files: Files) -> list[str]:
    findings = []
    total = 0
    for name, text in sorted(files.items()):
        total += len(text.encode(errors="replace"))
        if _FILE_NAME_PATTERN.fullmatch(name) is None:
            findings.append(f"{name!r}:1: not a file name; name it like 10-base.ini")
    if total > MAX_FOLDER_BYTES:
        findings.append(
            f"the folder has {total} bytes, more than {MAX_FOLDER_BYTES}; remove some"
        )
    return findings


def _has_same_sources(previous: MergedSection, merged: MergedSection) -> bool:
    """Return whether both are merged from the same parsed section objects."""
    if len(previous.sources) != len(merged.sources):
        return False
    for old, new in zip(previous.sources, merged.sources, strict=True):
        if old.section is not new.section:
            return False
    return True


def _validate_section(
    header: str, merged: MergedSection, findings: list[str]
) -> schema.Section | None:
    kind, _, title = header.partition(":")
    model = schema.SECTIONS.get(kind)
    if model is None:
        suggestion = _suggest_name(kind, schema.SECTIONS)
        findings.append(
            f"{merged.location}: [{header}]: unknown kind of section; {suggestion}"
        )
        return None
    title_format = schema.find_title_format(kind)
    if title_format.pattern.fullmatch(title) is None:
        findings.append(
            f"{merged.location}: [{header}]: the name is wrong; "
            f"write [{kind}:...] with {title_format.hint}"
        )
        return None
    try:
        return model.model_validate(merged.values)
    except ValidationError as error:
        findings.extend(_describe_faults(header, merged, model, error))
        return None


def _describe_faults(
    header: str,
    merged: MergedSection,
    model: type[schema.Section],
    error: ValidationError,
) -> t.Iterator[str]:
    """Yield findings that leave out the values, as any of them may be a secret."""
    for fault in error.errors(include_input=False, include_context=False):
        key = str(fault["loc"][0]) if fault["loc"] else ""
        place = merged.locate(key)
        if fault["type"] == "extra_forbidden":
            suggestion = _suggest_name(key, model.model_fields)
            yield f"{place}: [{header}] {key}: unknown key; {suggestion}"
            continue
        if fault["type"] == "missing":
            yield f"{place}: [{header}] {key}: missing; add {key} = ..."
            continue
        message = fault["msg"].removeprefix("Value error, ")
        yield f"{place}: [{header}] {key}: {message}; mend the value"


def _suggest_name(name: str, known: t.Iterable[str]) -> str:
    """Return a hint with the most similar known name, or with all of them."""
    names = sorted(known)
    found = fuzzy.extractOne(name, names, score_cutoff=MIN_SIMILARITY)
    if found is not None:
        return f"did you mean {found[0]}?"
    return f"use one of {', '.join(names)}"
