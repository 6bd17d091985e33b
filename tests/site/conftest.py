import functools

import pytest

from tarragonrudder.edges.connection import open_connection
from tarragonrudder.platform import exchange

# Nodes and stand-ins share one event loop here: beside other load its pauses are
# longer than what a connection may take on a machine of its own.
CONNECT_TIMEOUT = 5.0  # seconds


@pytest.fixture(autouse=True)
def extend_connect_timeout(monkeypatch):
    open_slowly = functools.partial(open_connection, timeout=CONNECT_TIMEOUT)
    monkeypatch.setattr(exchange, "open_connection", open_slowly)
