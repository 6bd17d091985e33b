"""Review of a configuration before it is sent."""

import dataclasses
import pathlib
import typing as t
from dataclasses import dataclass

from tarragonrudder.commands.difference import (
    Difference,
    Sections,
    compare_folders,
    compare_sections,
)
from tarragonrudder.commands.local_folder import MAX_FILE_BYTES, read_folder
from tarragonrudder.commands.output import print_table
from tarragonrudder.core.configuration.folder_review import review_folder
from tarragonrudder.core.configuration.route_review import (
    Finding,
    RoutingDocument,
    review_document,
)
from tarragonrudder.edges.folder import build_configuration
from tarragonrudder.errors import RouterError
from tarragonrudder.platform.decoding import DocumentError, decode_routing_document

DOCUMENT_SUFFIX = ".json"


class UnreadableDocument(RouterError):
    """Raised if the version in force can't be read."""


@dataclass(frozen=True, slots=True)
class Review:
    """Result of a review.

    Attributes
    ----------
    digest : str
        Digest of a folder; empty for a document.
    differences : tuple of Difference or None
        None if there was nothing to compare with.
    """

    subject: str
    digest: str
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    @property
    def is_valid(self) -> bool:
        """Whether nodes would put it into force."""
        return not any(finding.is_error for finding in self.findings)


def review_path(path: str, against: str | None) -> Review:
    """Review a folder, or a routing document whose file name ends in ``.json``.

    Raises
    ------
    FolderError
        If a folder is invalid.
    UnreadableDocument
        If the document in force can't be read.
    """
    if pathlib.Path(path).suffix == DOCUMENT_SUFFIX:
        return _review_document_file(path, against)
    files = read_folder(path)
    configuration = build_configuration(files, 1)
    differences = None
    if against is not None:
        differences = tuple(compare_folders(read_folder(against), files))
    findings = tuple(review_folder(configuration))
    return Review("folder", configuration.digest, findings, differences)


def describe_review(review: Review) -> dict[str, t.Any]:
    """Return a review as JSON has it."""
    described: dict[str, t.Any] = {
        "valid": review.is_valid,
        "findings": [dataclasses.asdict(each) for each in review.findings],
    }
    if review.digest:
        described["digest"] = review.digest
    if review.differences is not None:
        described["differences"] = [dataclasses.asdict(e) for e in review.differences]
    return described


def print_review(review: Review) -> None:
    """Print the findings and differences for an operator."""
    for finding in review.findings:
        kind = "error" if finding.is_error else "warning"
        print(f"{kind}: {finding.subject}: {finding.message}")
    if review.differences is not None:
        rows = [(d.section, d.key, d.before, d.after) for d in review.differences]
        print_table(("section", "key", "in force", "here"), rows)
    verdict = "valid" if review.is_valid else "not valid"
    digest = f", digest {review.digest}" if review.digest else ""
    print(f"the {review.subject} is {verdict}{digest}")


def describe_sections(document: RoutingDocument) -> Sections:
    """Return a document's entries as sections of keys and values."""
    table = document.table
    sections: dict[str, dict[str, str]] = {
        "document": {"version": str(table.version)},
        "limits": _describe_fields(table.limits),
    }
    for route in table.routes:
        sections[f"route {route.name}"] = _describe_fields(route)
    for service in table.services.values():
        sections[f"service {service.name}"] = _describe_fields(service)
    for account in document.accounts:
        keys = " ".join(sorted(account.keys))
        sections[f"account {account.name}"] = {"keys": keys}
    return sections


def _describe_fields(value: t.Any) -> dict[str, str]:
    return {
        each.name: str(getattr(value, each.name))
        for each in dataclasses.fields(value)
        if each.name != "name"
    }


def _review_document_file(path: str, against: str | None) -> Review:
    in_force = None
    if against is not None:
        try:
            in_force = decode_routing_document(_read_document(against))
        except DocumentError as error:
            raise UnreadableDocument(
                f"{against}: {error}; name the document in force"
            ) from error
    try:
        document = decode_routing_document(_read_document(path))
    except DocumentError as error:
        fault = Finding(True, "document", f"{error}; nodes would not use it")
        return Review("document", "", (fault,))
    differences = None
    if in_force is not None:
        before, after = describe_sections(in_force), describe_sections(document)
        differences = tuple(compare_sections(before, after))
    findings = tuple(review_document(document, in_force))
    return Review("document", "", findings, differences)


def _read_document(path: str) -> bytes:
    with pathlib.Path(path).open("rb") as file:
        content = file.read(MAX_FILE_BYTES + 1)
    if len(content) > MAX_FILE_BYTES:
        raise DocumentError(f"over {MAX_FILE_BYTES} bytes")
    return content
