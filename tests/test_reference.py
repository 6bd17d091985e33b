"""The reference pages name what the code has, and nothing else."""

import pathlib
import re
import typing as t

import pytest
from pydantic import BaseModel

from tarragonrudder.commands.tool_settings import ToolSettings
from tarragonrudder.edges.schema import SECTIONS
from tarragonrudder.edges.settings import Settings

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
SOURCES = sorted((ROOT / "src").rglob("*.py"))
DECISION = re.compile(r'(?:LogDecision\(\s*|_warn\(|ogger\.\w+\()"([a-z_]+)"')
METRIC = re.compile(r'(?:CountMetric\(|\.count\(|\.gauge\(|\.time\()\s*"([a-z_.]+)"')


def describe_fields(model: type[BaseModel]) -> list[str]:
    """Return the rows of a model's table."""
    rows = []
    for name, field in model.model_fields.items():
        default = "required" if field.is_required() else str(field.default)
        default = "" if default in ("None", "") else default
        rows.append(f"| `{name}` | {default} | {field.description} |")
    return rows


def list_models(settings: type[BaseModel]) -> list[tuple[str, type[BaseModel]]]:
    found = []
    for name, field in settings.model_fields.items():
        found.append((name, t.cast(type[BaseModel], field.annotation)))
    return found


def find_section(page: str, heading: str) -> list[str]:
    """Return the rows of the table under a heading, without its two head rows."""
    text = (DOCS / page).read_text().split(f"## {heading}\n", 1)[1]
    text = text.split("\n## ", 1)[0].split("\n### ", 1)[0]
    return [line for line in text.splitlines() if line.startswith("|")][2:]


@pytest.mark.parametrize(
    ("page", "heading", "model"),
    [
        *[("settings.md", f"[{name}]", model) for name, model in list_models(Settings)],
        *[
            ("settings.md", f"Tool: [{name}]", model)
            for name, model in list_models(ToolSettings)
            if name == "operator"
        ],
        *[
            ("configuration.md", f"[{kind}:...]", model)
            for kind, model in SECTIONS.items()
        ],
    ],
)
def test_a_table_has_the_fields_of_its_model(
    page: str, heading: str, model: type[BaseModel]
) -> None:
    assert find_section(page, heading) == describe_fields(model)


def find_names(pattern: re.Pattern[str]) -> set[str]:
    names = set()
    for path in SOURCES:
        names.update(pattern.findall(path.read_text()))
    return names


def read_first_column(page: str) -> set[str]:
    return set(re.findall(r"^\| `([a-z_.]+)` \|", (DOCS / page).read_text(), re.M))


@pytest.mark.parametrize(
    ("page", "pattern"), [("logs.md", DECISION), ("metrics.md", METRIC)]
)
def test_a_table_has_the_names_of_the_code(page: str, pattern: re.Pattern[str]) -> None:
    # `time` stands for calls of other objects, too: only names with a dot count.
    names = find_names(pattern)
    assert names
    assert read_first_column(page) == names
