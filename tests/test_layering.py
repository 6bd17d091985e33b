"""The core's packages may import each other in one direction only."""

import ast
import pathlib

import pytest

import tarragonrudder.core

CORE = pathlib.Path(tarragonrudder.core.__file__).parent
# Packages of the core that each package may import besides itself.
ALLOWED = {
    "domain": (),
    "membership": ("domain",),
    "selection": ("domain",),
    "admission": ("domain", "selection"),
    "answers": ("domain", "membership", "selection", "admission"),
    "calls": ("domain", "membership", "admission"),
    "placement": ("domain", "membership", "selection", "forwarding"),
    "forwarding": ("domain", "selection"),
    "configuration": ("domain",),
    "node": (
        "domain",
        "membership",
        "selection",
        "admission",
        "answers",
        "calls",
        "placement",
        "configuration",
    ),
}
FORBIDDEN_MODULES = ("trio", "httpx", "quart", "hypercorn", "h11", "time", "socket")


def list_imports(package: str) -> list[tuple[str, str]]:
    """Return pairs of module and imported name."""
    found = []
    for path in sorted((CORE / package).glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                found.append((path.name, node.module or ""))
            if isinstance(node, ast.Import):
                found.extend((path.name, alias.name) for alias in node.names)
    return found


def test_packages_listed():
    names = {path.parent.name for path in CORE.glob("*/__init__.py")}
    assert names == set(ALLOWED)


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_imports_one_way(package):
    allowed = {package, *ALLOWED[package]}
    for module, name in list_imports(package):
        parts = name.split(".")
        assert parts[0] not in FORBIDDEN_MODULES, f"{package}/{module} imports {name}"
        if parts[:2] == ["tarragonrudder", "core"]:
            assert parts[2] in allowed, f"{package}/{module} imports {name}"
        elif parts[0] == "tarragonrudder":
            assert parts[1] == "errors", f"{package}/{module} imports {name}"
