"""The load of one stream, from its beginning to its end."""

import math

import pytest

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.forwarding.answer_lengths import Declared, Learned
from tarragonrudder.core.forwarding.layer_cover import Candidate, Stage
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.edges.path_load import PathLoad

LEARNED = Learned(math.log(40.0), 1.0, 800.0, 5.0)


def make_path(name, links=()):
    layers = LayerRange(0, 79)
    candidate = Candidate(name, name, "a", layers, 0.0, 0.0, True, 1.0)
    stage = Stage(Hop(name, name, layers), "a", 0.0, candidate)
    return Path("engines", (stage,), 0.0, True, 0.01, links)


@pytest.mark.parametrize("length", [Declared(216), LEARNED])
@pytest.mark.parametrize("events", [0, 1, 3, 4, 100, 799, 800, 5000])
def test_nothing_is_left_of_a_stream_that_ended(length, events):
    tracker = UsageTracker()
    load = PathLoad(tracker, 760, length)
    load.switch_to(make_path("e", ("link:a:b",)))
    for number in range(1, events + 1, 3):
        load.note_events(number)
    load.switch_to(make_path("f", ("link:b:a",)))
    load.note_events(events)
    assert tracker.measure("e").requests == 0
    assert tracker.measure("f").requests == 1
    load.release()
    assert tracker.snapshot_local() == {}


def test_declared_length_counts_whole_throughout():
    tracker = UsageTracker()
    load = PathLoad(tracker, 760, Declared(216))
    load.switch_to(make_path("e"))
    for events in (0, 10, 100):
        load.note_events(events)
        assert tracker.measure("e").tokens == 976


def test_long_stream_counts_more_as_it_goes_on():
    # Load pattern: most of an engine's memory is held by a few long answers.
    tracker = UsageTracker()
    load = PathLoad(tracker, 760, LEARNED)
    load.switch_to(make_path("e"))
    counts = []
    for events in (1, 20, 100, 400, 800):
        load.note_events(events)
        counts.append(tracker.measure("e").tokens)
    assert counts == sorted(counts)
    assert counts[-1] == 760 + 4000


def test_events_between_updates_cost_no_update():
    tracker = UsageTracker()
    load = PathLoad(tracker, 760, LEARNED)
    load.switch_to(make_path("e"))
    updates = 0
    known = tracker.measure("e")
    for events in range(1, 801):
        load.note_events(events)
        if tracker.measure("e") != known:
            known = tracker.measure("e")
            updates += 1
    assert updates < 30
