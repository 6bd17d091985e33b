"""The operators' page against the code."""

import ast
import pathlib
import re

import pytest

from tarragonrudder.edges.telemetry import METRICS

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")
PACKAGE = ROOT / "src" / "tarragonrudder"
MODULES = [
    *sorted((PACKAGE / "platform").glob("*.py")),
    *(
        PACKAGE / "edges" / f"{name}.py"
        for name in (
            "relay",
            "streaming",
            "stall_handler",
            "plain_calls",
            "stall_prober",
            "job",
            "reach_checker",
            "intake_gate",
        )
    ),
]
LOGGERS = ("log", "_log", "log_event")


def read_table(heading: str) -> set[str]:
    section = PAGE.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    return set(re.findall(r"^\| `([a-z_]+)` \|", section, re.M))


def find_events() -> set[str]:
    found = set()
    for path in MODULES:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            name = function.attr if isinstance(function, ast.Attribute) else ""
            first = node.args[0]
            if name in LOGGERS and isinstance(first, ast.Constant):
                found.add(first.value)
    return found


def test_every_event_is_on_the_page():
    assert read_table("Log events") == find_events()


def test_every_metric_is_on_the_page():
    assert read_table("Metrics") == {metric.name for metric in METRICS}


@pytest.mark.parametrize("module", ["platform"])
def test_names_of_the_wire_stay_in_the_adapter(module):
    pattern = re.compile(
        r"hop-count|response-seal|attempt-id|not-executed|kv-range|at-server"
        r"|deadline-ms|token-usage|expect-instance",
        re.I,
    )
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.is_relative_to(PACKAGE / module):
            continue
        assert not pattern.search(path.read_text("utf-8")), path
