"""Hypothesis profile and the known failures of all tests."""

import pathlib

import pytest
from hypothesis import settings

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in ``KNOWN-RED.txt`` as expected failures.

    The line of an entry begins with the test's node ID and a colon.
    """
    if not KNOWN_RED.exists():
        return
    lines = KNOWN_RED.read_text().splitlines()
    for item in items:
        if any(line.startswith(item.nodeid + ": ") for line in lines):
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
