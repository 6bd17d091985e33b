"""Checks the operators' folder as a whole and builds its configuration."""

import re
import typing as t

from pydantic import ValidationError
from rapidfuzz import process as fuzzy

from tarragonrudder.core.domain import fleet
from tarragonrudder.edges import schema
from tarragonrudder.edges.assembly import Content, assemble_in_steps
from tarragonrudder.edges.cross_check import cross_check_in_steps
from tarragonrudder.edges.ini_merge import IniMerge, MergedSection, ParsedChunks
from tarragonrudder.edges.pieces import Files, digest_files
from tarragonrudder.errors import FolderError

MAX_FOLDER_BYTES = 16 * 1024 * 1024
SECTIONS_PER_STEP = 50
SIMILARITY = 60.0  # per cent from which a known name is proposed
_FILE_NAME = re.compile(r"[^\x00-\x1f/\\]+\.ini")


class Builder:
    """Builds configurations; reuses what did not change since the last one.

    With 20,000 client accounts a build from nothing takes seconds of processor
    time, one after a small change a small part of that.
    """

    def __init__(self) -> None:
        self._parsed: ParsedChunks = {}
        self._valid: dict[str, tuple[MergedSection, schema.Section]] = {}

    def build_in_steps(
        self, files: Files, generation: int, digest: str
    ) -> t.Generator[None, None, fleet.Configuration]:
        """Merge and check files; yield often, so that others may run.

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
            With all faults found; nothing of the files is used then.
        """
        _raise_findings(_check_sizes(files))
        merge = IniMerge(self._parsed)
        for name in sorted(files):
            yield from merge.add_file(name, files[name])
        content = Content()
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
            content.add(kind, title, section, merged)
        _raise_findings(findings)
        configuration = yield from assemble_in_steps(content, generation, digest)
        yield
        _raise_findings(
            (yield from cross_check_in_steps(configuration, content.merged))
        )
        self._parsed = merge.parsed
        self._valid = valid
        return configuration

    def _validate(
        self, header: str, merged: MergedSection, findings: list[str]
    ) -> schema.Section | None:
        known = self._valid.get(header)
        if known is not None and _is_same(known[0], merged):
            return known[1]
        return _validate_section(header, merged, findings)


def build_configuration(files: Files, generation: int) -> fleet.Configuration:
    """Merge and check files, and return the configuration they describe.

    Raises
    ------
    FolderError
        With all faults found; nothing of the files is used then.
    """
    steps = Builder().build_in_steps(files, generation, digest_files(files))
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def _raise_findings(findings: t.Sequence[str]) -> None:
    if findings:
        raise FolderError(findings)


def _check_sizes(files: Files) -> list[str]:
    findings = []
    total = 0
    for name, text in sorted(files.items()):
        total += len(text.encode(errors="replace"))
        if _FILE_NAME.fullmatch(name) is None:
            findings.append(f"{name!r}:1: not a file name; name it like 10-base.ini")
    if total > MAX_FOLDER_BYTES:
        findings.append(
            f"the folder has {total} bytes, more than {MAX_FOLDER_BYTES}; remove some"
        )
    return findings


def _is_same(known: MergedSection, merged: MergedSection) -> bool:
    """Tell whether both are made of the very same parsed sections."""
    if len(known.sources) != len(merged.sources):
        return False
    for old, new in zip(known.sources, merged.sources, strict=True):
        if old.section is not new.section:
            return False
    return True


def _validate_section(
    header: str, merged: MergedSection, findings: list[str]
) -> schema.Section | None:
    kind, _, title = header.partition(":")
    model = schema.SECTIONS.get(kind)
    if model is None:
        near = _propose(kind, schema.SECTIONS)
        findings.append(
            f"{merged.location}: [{header}]: unknown kind of section; {near}"
        )
        return None
    form = schema.find_title(kind)
    if form.pattern.fullmatch(title) is None:
        findings.append(
            f"{merged.location}: [{header}]: the name is wrong; "
            f"write [{kind}:...] with {form.hint}"
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
    """Yield findings; the values stay out, for one may be a secret."""
    for fault in error.errors(include_input=False, include_context=False):
        key = str(fault["loc"][0]) if fault["loc"] else ""
        place = merged.locate(key)
        if fault["type"] == "extra_forbidden":
            near = _propose(key, model.model_fields)
            yield f"{place}: [{header}] {key}: unknown key; {near}"
            continue
        if fault["type"] == "missing":
            yield f"{place}: [{header}] {key}: missing; add {key} = ..."
            continue
        message = fault["msg"].removeprefix("Value error, ")
        yield f"{place}: [{header}] {key}: {message}; mend the value"


def _propose(name: str, known: t.Iterable[str]) -> str:
    """Return a remedy that names the nearest known name."""
    names = sorted(known)
    found = fuzzy.extractOne(name, names, score_cutoff=SIMILARITY)
    if found is not None:
        return f"did you mean {found[0]}?"
    return f"use one of {', '.join(names)}"
