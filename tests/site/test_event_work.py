"""What an event of a stream makes a node do, counted and not timed."""

import pytest
import trio

from tarragonrudder.platform.ingress import Ingress
from tests.site.site import open_site
from tests.site.upstream import UpstreamStandIn

EVENTS = 45
# Turns of a request besides those of its events: admission, search, connection, end.
TURNS_PER_REQUEST = 30


class TurnCounter(trio.abc.Instrument):
    """Counts how often the tasks of callers' connections run."""

    def __init__(self):
        self.turns = 0
        self.tasks = set()

    def before_task_step(self, task):
        self.turns += task in self.tasks


@pytest.fixture
def counter(monkeypatch):
    counter = TurnCounter()
    serve = Ingress._serve_connection

    async def serve_counted(self, *args, **options):
        counter.tasks.add(trio.lowlevel.current_task())
        await serve(self, *args, **options)

    monkeypatch.setattr(Ingress, "_serve_connection", serve_counted)
    return counter


async def ask(counter, upstream):
    """Return the answer to a request, whose turns are counted."""
    async with open_site() as site:
        await site.add(upstream)
        node = await site.add_node()
        trio.lowlevel.add_instrument(counter)
        try:
            return await node.ask("/draft/1")
        finally:
            trio.lowlevel.remove_instrument(counter)


async def test_an_event_takes_one_turn(counter):
    engine = UpstreamStandIn("e-1", layers=(0, 79), events=EVENTS)
    answer = await ask(counter, engine)
    assert answer.whole and answer.event_ids == list(range(1, EVENTS + 1))
    assert counter.turns <= EVENTS + TURNS_PER_REQUEST
