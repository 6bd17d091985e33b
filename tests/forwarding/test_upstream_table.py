import pytest

from tarragonrudder.core.forwarding.upstream_table import (
    MAX_KNOWN_STARTS,
    MAX_SUSPICION,
    REWRITE_PERIOD,
    UpstreamTable,
)
from tests.forwarding.fleet import make_engine, make_plain


def make_upstream_table(*names):
    upstream_table = UpstreamTable()
    for name in names:
        upstream_table.register(make_engine(name, 0, 79))
    return upstream_table


def list_names(upstream_table, now):
    return [each.name for each in upstream_table.list_usable("engines", now)]


def test_draining_gets_no_work():
    upstream_table = make_upstream_table("one", "two")
    upstream_table.register(make_engine("one", 0, 79, ready=False))
    assert list_names(upstream_table, 0.0) == ["two"]


@pytest.mark.parametrize(
    ("grace", "asked_at", "usable"),
    [
        (0.0, 0.0, False),
        (2.0, 1.9, True),
        (2.0, 2.1, False),
    ],
)
def test_deregistered_after_outage(grace, asked_at, usable):
    upstream_table = make_upstream_table("one")
    upstream_table.deregister("one", 0.0, grace)
    upstream_table.expire(asked_at)
    assert bool(list_names(upstream_table, asked_at)) is usable


def test_restored_upstream_is_usable():
    upstream_table = make_upstream_table("one")
    upstream_table.deregister("one", 0.0, 2.0)
    upstream_table.restore("one")
    upstream_table.expire(5.0)
    assert list_names(upstream_table, 5.0) == ["one"]


def test_suspicion_grows_and_ends():
    upstream_table = make_upstream_table("one")
    lengths = []
    now = 0.0
    for _ in range(6):
        upstream_table.suspect("one", now)
        begun = now
        while upstream_table.is_suspected("one", now):
            now += 0.1
        lengths.append(round(now - begun))
    assert lengths == sorted(lengths)
    assert lengths[-1] <= MAX_SUSPICION + 0.2


def test_progress_ends_suspicion():
    upstream_table = make_upstream_table("one")
    upstream_table.suspect("one", 0.0)
    upstream_table.note_progress(("one",), 0.1)
    assert list_names(upstream_table, 0.1) == ["one"]


def test_restart_under_same_id_is_not_suspected():
    upstream_table = make_upstream_table("one")
    upstream_table.suspect("one", 0.0)
    upstream_table.register(make_engine("one", 0, 79, born=7))
    assert list_names(upstream_table, 0.1) == ["one"]


def test_silent_stages_are_those_without_progress():
    upstream_table = make_upstream_table("one", "two", "three")
    upstream_table.note_progress(("one", "two"), 1.0)
    upstream_table.note_progress(("one",), 2.0)
    assert upstream_table.find_silent(("one", "two", "three"), 1.5) == ("two", "three")


def test_address_used_again():
    upstream_table = make_upstream_table("one")
    address = make_engine("one", 0, 79).address
    upstream_table.register(make_engine("other", 0, 79, address=address))
    upstream_table.deregister("one", 0.0)
    found = upstream_table.find_by_address(address)
    assert found is not None and found.name == "other"


@pytest.mark.parametrize("is_noted_while_away", [False, True])
@pytest.mark.parametrize("how", ["vanished", "restored", "restored and vanished"])
def test_announced_end_is_kept_while_the_entry_is_away(how, is_noted_while_away):
    # An upstream that had announced its end got requests once its entry came back.
    table = UpstreamTable()
    former, latest = make_plain("p1", born=1), make_plain("p1", born=2)
    table.register(latest)
    if not is_noted_while_away:
        assert table.note_leaving(latest)
    if how != "vanished":
        table.register(former)  # as an older copy of the store lists it
    if how != "restored":
        table.deregister("p1", 0.0)
    if is_noted_while_away:
        assert table.note_leaving(latest)
    assert table.is_leaving("p1") and not table.list_ready("plain")
    table.register(latest)
    assert table.is_leaving("p1") and not table.list_ready("plain")
    assert table.list_announced_ends() == ["p1@2"]
    table.register(make_plain("p1", born=3))
    assert table.list_ready("plain") and not table.list_announced_ends()


def test_announced_end_of_a_start_that_is_listed_as_an_earlier_one():
    table = UpstreamTable()
    former, latest = make_plain("p1", born=1), make_plain("p1", born=2)
    table.register(latest)
    table.register(former)
    assert table.note_leaving(former)  # only the latest start can have answered
    assert table.list_announced_ends() == ["p1@2"]
    table.register(latest)
    assert table.is_leaving("p1")


@pytest.mark.parametrize(
    ("looks", "is_leaving"),
    [
        ((), True),
        ((0.0, REWRITE_PERIOD - 0.1), True),
        ((0.0, REWRITE_PERIOD), False),
        ((REWRITE_PERIOD, 2.0 * REWRITE_PERIOD - 0.1), True),
    ],
)
def test_start_by_a_clock_that_was_set_back_is_used_again(looks, is_leaving):
    table = UpstreamTable()
    former, latest = make_plain("p1", born=2), make_plain("p1", born=1)
    table.register(former)
    table.note_leaving(former)
    table.register(latest)
    for now in looks:
        table.expire(now)
    assert table.is_leaving("p1") is is_leaving
    assert table.note_leaving(latest) is not is_leaving


def test_announced_end_is_kept_while_an_earlier_start_is_listed_briefly():
    table = UpstreamTable()
    former, latest = make_plain("p1", born=1), make_plain("p1", born=2)
    table.register(latest)
    table.note_leaving(latest)
    for now in (0.0, 0.7 * REWRITE_PERIOD, 1.4 * REWRITE_PERIOD):
        table.register(former)
        table.expire(now)
        table.register(latest)
        table.expire(now + 1.0)
        assert table.is_leaving("p1")


def test_announced_ends_are_bounded():
    table = UpstreamTable()
    for number in range(MAX_KNOWN_STARTS + 1):
        upstream = make_plain(f"p{number}", born=1)
        table.register(upstream)
        table.note_leaving(upstream)
        table.deregister(upstream.name, 0.0)
    table.register(make_plain("p0", born=1))
    table.register(make_plain("p1", born=1))
    assert table.list_announced_ends() == ["p1@1"]


def test_announced_end_holds_for_one_start_of_an_upstream():
    table = UpstreamTable()
    first, second = make_plain("p1", born=1), make_plain("p1", born=2)
    table.register(first)
    assert table.note_leaving(first) and not table.note_leaving(first)
    table.register(make_plain("p1", born=1, slots=9))
    assert table.is_leaving("p1") and not table.list_ready("plain")
    table.register(second)
    assert not table.is_leaving("p1")
    assert not table.note_leaving(first)  # a late answer of the former start
    assert table.list_ready("plain") == [second]
