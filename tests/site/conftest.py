import functools

import pytest

from tarragonrudder.edges.connection import open_connection
from tarragonrudder.platform import exchange

# Nodes and stand-ins share one event loop here. On a busy machine it may pause for
# longer than the regular connect timeout.
CONNECT_TIMEOUT = 5.0  # seconds


@pytest.fixture(autouse=True)
def extend_connect_timeout(monkeypatch):
    open_slowly = functools.partial(open_connection, timeout=CONNECT_TIMEOUT)
    monkeypatch.setattr(exchange, "open_connection", open_slowly)
