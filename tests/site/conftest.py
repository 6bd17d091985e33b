import functools

import pytest

from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.connection import open_connection
from tarragonrudder.platform import upstream_client

# Nodes and stand-ins share one event loop here. On a busy machine it pauses for longer
# than the connect timeout that suits a node on a machine of its own.
CONNECT_TIMEOUT = 5.0  # seconds


@pytest.fixture(autouse=True)
def extend_connect_timeout(monkeypatch):
    open_slowly = functools.partial(open_connection, timeout=CONNECT_TIMEOUT)
    monkeypatch.setattr(upstream_client, "open_connection", open_slowly)


@pytest.fixture(autouse=True)
def task_failures(monkeypatch):
    """Fail a test that left an unexpected error of a background task uncollected."""
    failures = []
    run_guarded = BackgroundTasks.run_guarded

    async def run_noted(self, function, *args):
        ended_well = await run_guarded(self, function, *args)
        if not ended_well:
            failures.append(function.__name__)
        return ended_well

    monkeypatch.setattr(BackgroundTasks, "run_guarded", run_noted)
    yield failures
    assert failures == []
