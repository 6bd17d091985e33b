from dataclasses import replace

import pytest

from tarragonrudder.core.domain.forwarded_request import Rejected
from tarragonrudder.core.forwarding.crash_tracker import REPORT_DELAY
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.state import BUDGET_RETRY_AFTER, RESUME_WAIT, Wait
from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.errors import (
    NoChain,
    NotFound,
    Overloaded,
    Problem,
    RunState,
    Unauthorized,
    UpstreamFailed,
)
from tests.forwarding.fleet import (
    make_call_route,
    make_engine,
    make_plain,
    make_request,
    make_route,
    make_state,
    make_table,
)


def add(state, *registrations):
    for registration in registrations:
        state.upstream_table.register(registration)
    return state


def find(
    state,
    now=0.0,
    avoided=(),
    first_upstreams=(),
    ran=False,
    request=None,
    relayed=False,
    **changes,
):
    return state.find_path(
        request or make_request(),
        make_route(**changes),
        "engines",
        frozenset(avoided),
        frozenset(first_upstreams),
        ran,
        0.0,
        now,
        relayed,
    )


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"host": "other.example"}, NotFound),
        ({"target": "/draft"}, NotFound),
        ({"target": "/other/1"}, NotFound),
        ({"target": "/?x=/draft/"}, NotFound),
        ({"api_key": None}, Unauthorized),
        ({"api_key": "wrong"}, Unauthorized),
    ],
)
def test_admission(changes, expected):
    admitted = make_state().admit(make_request(**changes))
    if expected is None:
        route, account, service = admitted
        assert (route.name, account.name, service) == ("draft", "hule", "engines")
    else:
        assert isinstance(admitted, expected)


@pytest.mark.parametrize("make", [make_route, make_call_route])
def test_request_for_an_unlisted_service_is_refused(make):
    # It was run by whoever was registered for the service, or raised KeyError.
    route = make(prefix="/draft/", targets=(("missing", 1.0),))
    state = make_state(make_table(routes=[route]))
    refusal = state.admit(make_request())
    assert isinstance(refusal, NoChain)
    assert refusal.run_state is RunState.NOT_RUN and refusal.retry_after > 0.0


def test_demand_of_a_service_that_is_no_longer_listed():
    # A newer configuration may drop the service of a running request.
    demand = make_state().estimate_demand(make_request(max_tokens=40), "missing")
    assert demand.answer_tokens == 40


def make_cut_state(*peers):
    engines = make_engine("e1", 0, 39), make_engine("e2", 40, 79)
    state = add(make_state(), *engines, make_plain("p1"))
    for name in ("a", "b"):
        state.reachability.note_failure(name, 0.0)
    state.record_reach_check(0, 2, 0.0)
    for peer in peers:
        report = PeerReport("10.0.0.9:1", "a", 0, True)
        state.peer_table.update(peer, report, 0.0)
    return state


@pytest.mark.parametrize(
    ("peers", "options", "expected"),
    [
        (("x",), {}, ("node:x",)),
        ((), {}, NoChain),
        (("x",), {"avoided": ("node:x",)}, NoChain),
        (("x",), {"relayed": True}, NoChain),
        (("x",), {"ran": True, "first_upstreams": ("e1",)}, ("node:x",)),
        (("x",), {"ran": True, "first_upstreams": ("e1", "e2")}, UpstreamFailed),
    ],
)
def test_path_of_a_node_that_is_cut_off(peers, options, expected):
    found = find(make_cut_state(*peers), **options)
    if isinstance(expected, tuple):
        assert found.names == expected
    else:
        assert isinstance(found, expected)


@pytest.mark.parametrize(("ran", "expected"), [(False, NoChain), (True, Problem)])
def test_refusal_of_a_call_tells_that_the_node_is_cut_off(ran, expected):
    state = make_cut_state()
    problem = state.refuse_call(make_request(), "plain", (), ran, 0.0)
    assert isinstance(problem, expected)
    assert problem.run_state is (RunState.UNKNOWN if ran else RunState.NOT_RUN)


def test_node_that_reaches_few_upstreams_uses_them_if_no_peer_can_help():
    state = make_cut_state()
    state.record_reach_check(1, 5, 0.3)
    assert state.reachability.is_cut
    assert find(state, now=0.3).names == ("e1", "e2")
    assert state.choose_upstream("plain", (), 0.3).name == "p1"


@pytest.mark.parametrize(
    ("peers", "relayed", "expected"),
    [(("x",), False, "node:x"), ((), False, None), (("x",), True, None)],
)
def test_upstream_of_a_node_that_is_cut_off(peers, relayed, expected):
    found = make_cut_state(*peers).choose_upstream("plain", (), 0.0, relayed)
    assert (found.name if found else None) == expected


def test_cut_node_tells_nobody_of_its_own_faults():
    # Each of its upstreams seemed dead to it, and would have to all nodes.
    state = add(make_state(), make_engine("e1", 0, 39), make_engine("e2", 40, 79))
    news = []
    state.on_news = lambda: news.append(1)
    parts = make_request(prompt_parts=("a",))
    for name in ("e1", "e2"):
        state.note_connection_loss(parts, state.upstream_table.find(name), 0, 0.0)
    state.mark_culprit("e1", (), 0.1)
    del news[:]
    assert state.list_crash_reports(0.1) == {}
    state.record_reach_check(0, 2, 0.2)
    state.mark_culprit("e2", (), 0.2)
    assert news == [] and state.list_culprits(0.2) == {}
    reports = state.list_crash_reports(0.2)
    assert {name for each in reports.values() for name in each.crash_ages} <= {"e1@0"}


def test_longest_prefix_wins():
    routes = [
        make_route(),
        make_route(name="deep", prefix="/draft/deep/"),
        make_route(name="root", prefix="/"),
    ]
    table = make_table(routes=routes)
    found = [
        table.find_route("host.example", path).name
        for path in ("/draft/x", "/draft/deep/x", "/draft/deep", "/x")
    ]
    assert found == ["draft", "deep", "draft", "root"]


@pytest.mark.parametrize(
    ("version", "adopted"), [(1, False), (0, False), (2, True), (9, True)]
)
def test_configuration_never_reverts(version, adopted):
    state = make_state(make_table(1))
    assert state.adopt(make_table(version)) is adopted


def test_anonymous_route_needs_no_key():
    state = make_state(make_table(routes=[make_route(anonymous=True)]))
    assert not isinstance(state.admit(make_request(api_key=None)), Problem)


def test_traffic_is_split_by_weight():
    split = (("engines", 3.0), ("plain", 1.0))
    state = make_state(make_table(routes=[make_route(targets=split)]))
    services = [state.admit(make_request())[2] for _ in range(400)]
    assert 0.65 < services.count("engines") / 400 < 0.85


@pytest.mark.parametrize(
    ("now", "ran", "expected"),
    [
        (0.0, False, Wait),
        (0.24, False, Wait),
        (0.26, False, NoChain),
        (0.26, True, Wait),
        (RESUME_WAIT + 0.01, True, Problem),
    ],
)
def test_waits_for_a_path_only_as_long_as_it_helps(now, ran, expected):
    # Load pattern: layers are missing for a moment after an engine is lost.
    found = find(make_state(), now, ran=ran)
    assert isinstance(found, expected)
    if isinstance(found, NoChain):
        assert found.retry_after > 0.0


def test_refusal_of_a_full_fleet_says_when_to_return():
    # Load pattern: a burst fills all stages; the callers' retries are spread out.
    state = add(make_state(), make_engine("e", 0, 79, kind="fast"))
    state.usage_tracker.start(("e",), 10**7)
    found = [find(state, 0.3) for _ in range(20)]
    assert all(isinstance(each, Overloaded) for each in found)
    assert len({each.retry_after for each in found}) > 5


def test_suspected_engines_are_better_than_none():
    engines = [make_engine("e", 0, 29), make_engine("f", 30, 59)]
    state = add(make_state(), *engines, make_engine("g", 60, 79))
    state.upstream_table.suspect("e", 0.0)
    assert isinstance(find(state, 0.1), Path)
    assert not isinstance(find(state, 0.1, avoided=("e",)), Path)


def test_sent_to_no_more_upstreams_than_allowed():
    state = add(make_state(), *(make_engine(n, 0, 29) for n in "efg"))
    add(state, make_engine("mid", 30, 59), make_engine("rest", 60, 79))
    for _ in range(20):
        path = find(state, first_upstreams=("e", "f"), avoided=("e",))
        assert path.names[0] == "f"


@pytest.mark.parametrize(
    ("ran", "kind", "run_state"),
    [
        (True, UpstreamFailed, RunState.UNKNOWN),
        (False, Overloaded, RunState.NOT_RUN),  # both rejected it
    ],
)
def test_gives_up_at_once_when_no_upstream_is_allowed(ran, kind, run_state):
    state = add(make_state(), *(make_engine(n, 0, 29) for n in "efg"))
    found = find(state, first_upstreams=("e", "f"), avoided=("e", "f"), ran=ran)
    assert isinstance(found, kind)
    assert found.run_state is run_state
    assert (found.retry_after is not None) is not ran


def test_retry_after_is_jittered():
    # Load pattern: a fault exhausts the retry budget for all streams at once.
    state = make_state()
    waits = [state.refuse_retry().retry_after for _ in range(20)]
    assert all(0.5 * BUDGET_RETRY_AFTER <= wait <= BUDGET_RETRY_AFTER for wait in waits)
    assert len(set(waits)) > 5


def test_rejection_suspects_the_named_stage():
    first, second = make_engine("e", 0, 39), make_engine("ff", 40, 79)
    state = add(make_state(), first, second)
    path = find(state)
    rejected = Rejected(second.address, misdirected=False)
    assert state.note_path_rejection(path, rejected, 0.0) == "ff"
    assert state.upstream_table.is_suspected("ff", 0.1)
    assert not state.upstream_table.is_suspected("e", 0.1)


@pytest.mark.parametrize(
    ("progress_at", "requests", "misdirected", "at_fault"),
    [
        (-1.0, 0, False, True),
        (9.9, 0, False, False),  # it serves others
        (-1.0, 90, False, False),  # it is full
        (-1.0, 0, True, False),  # its registration is outdated
    ],
)
def test_engine_that_rejects_with_room_is_taken_for_dead(
    progress_at, requests, misdirected, at_fault
):
    # Load pattern: 86 nodes each meet the same dead engine, at one retry a time.
    state = add(make_state(), make_engine("e", 0, 39), make_engine("ff", 40, 79))
    path = find(state)
    if progress_at > 0.0:
        state.upstream_table.note_progress(("e", "ff"), progress_at)
    state.usage_tracker.set_peer("n2", {"ff": Usage(requests, 1000 * requests)}, 10.0)
    rejected = Rejected(state.upstream_table.find("ff").address, misdirected)
    state.note_path_rejection(path, rejected, 10.0)
    assert state.find_culprits(("e", "ff"), 10.0) == ({"ff"} if at_fault else set())


def test_rejection_by_an_engine_that_says_it_has_no_slots():
    first = replace(make_engine("e", 0, 39), slots=0)
    state = add(make_state(), first, make_engine("ff", 40, 79))
    rejected = Rejected(None, misdirected=False)
    assert state.note_path_rejection(find(state), rejected, 10.0) == "e"


def test_confirmed_culprit_clears_the_other_stages():
    state = add(make_state(), make_engine("e", 0, 39), make_engine("ff", 40, 79))
    state.suspect_silent(("e", "ff"), 0.0)
    state.mark_culprit("ff", ("e", "ff"), 0.1)
    assert state.upstream_table.list_suspected(0.2) == ["ff"]
    assert state.find_culprits(("e", "ff"), 0.2) == {"ff"}


@pytest.mark.parametrize(
    ("left", "is_new"),
    [(1.0, True), (0.1, False), (0.0, False), (-1.0, False), (1e9, False)],
)
def test_culprit_reported_by_a_peer(left, is_new):
    state = add(make_state(), make_engine("e", 0, 79))
    notified = []
    state.on_news = lambda: notified.append("e")
    assert state.merge_culprit("e", left, 0.0) is is_new
    assert state.upstream_table.is_suspected("e", 0.1) is is_new
    assert notified == ["e"] * is_new
    assert not state.merge_culprit("e", left, 0.1)
    assert notified == ["e"] * is_new


def test_plain_upstreams_share_the_load():
    state = add(make_state(), *(make_plain(n) for n in "pqr"))
    for _ in range(6):
        chosen = state.choose_upstream("plain", (), 0.0)
        state.usage_tracker.start((chosen.name,), 0)
    counts = [state.usage_tracker.measure(n).requests for n in "pqr"]
    assert max(counts) - min(counts) <= 1


@pytest.mark.parametrize("ran", [False, True])
def test_call_without_an_upstream(ran):
    table = make_table(routes=[make_call_route()])
    problem = make_state(table).refuse_call(make_request(), "plain", (), ran, 0.0)
    assert (problem.status, problem.retry_after is None) == (502 if ran else 503, ran)


def test_request_that_breaks_upstreams_is_refused():
    state = make_state()
    for number in range(3):
        engine = make_engine(f"e{number}", 0, 79)
        state.note_connection_loss(make_request(), engine, 0, float(number))
    assert isinstance(state.admit(make_request(arrived=3.0)), Overloaded)
    assert not isinstance(state.admit(make_request(fingerprint="f2")), Problem)


@pytest.mark.parametrize(("events", "blocked"), [(0, True), (3, True), (4, False)])
def test_attempts_that_broke_late_do_not_block_their_requests(events, blocked):
    state = make_state()
    for number in range(3):
        engine = make_engine(f"e{number}", 0, 79)
        state.note_connection_loss(make_request(), engine, events, float(number))
    assert isinstance(state.admit(make_request(arrived=3.0)), Problem) is blocked


@pytest.mark.parametrize(
    ("ran", "expected"), [(False, Overloaded), (True, UpstreamFailed)]
)
def test_request_with_a_blocked_part_is_not_sent(ran, expected):
    state = add(make_state(), make_engine("a", 0, 39), make_engine("b", 40, 79))
    for number in range(3):
        request = make_request(fingerprint=f"f{number}", prompt_parts=("bad",))
        engine = make_engine(f"e{number + 1}", 0, 79)
        state.note_connection_loss(request, engine, 0, float(number))
    request = make_request(fingerprint="f9", prompt_parts=("good", "bad"))
    found = find(state, now=2.0, ran=ran, request=request)
    assert isinstance(found, expected)
    assert isinstance(find(state, now=2.0, ran=ran), Path)


def test_request_with_a_suspected_part_waits_for_other_reports():
    state = add(make_state(), make_engine("a", 0, 39), make_engine("b", 40, 79))
    request = make_request(prompt_parts=("bad",))
    state.note_connection_loss(request, make_engine("e1", 0, 79), 0, 5.0)
    found = find(state, now=5.0, request=request)
    assert found == Wait(5.0 + REPORT_DELAY)
    assert isinstance(find(state, now=5.0 + REPORT_DELAY, request=request), Path)


def test_detour_keeps_the_other_stages():
    engines = [
        make_engine("e", 0, 29),
        make_engine("ff", 30, 59),
        make_engine("ggg", 60, 79),
        make_engine("h1", 30, 44, kind="slow"),
        make_engine("h22", 45, 59, kind="slow"),
    ]
    state = add(make_state(), *engines)
    path = find(state)
    assert path.names == ("e", "ff", "ggg")
    request = make_request()
    around, none = frozenset(("ff",)), frozenset()
    detour = state.find_detour(request, path, around, none, False, 0.0)
    assert detour.names == ("e", "h1", "h22", "ggg")
    layers = [(hop.layers.first, hop.layers.last) for hop in detour.hops]
    assert layers == [(0, 29), (30, 44), (45, 59), (60, 79)]
    avoided = frozenset(("h1",))
    assert state.find_detour(request, path, around, avoided, True, 0.0) is None


@pytest.mark.parametrize("may_cross", [False, True])
def test_detour_over_a_shared_link(may_cross):
    # Load pattern: a stage is lost under tens of streams at once.
    engines = [
        make_engine("e", 0, 29),
        make_engine("ff", 30, 59),
        make_engine("ggg", 60, 79),
        make_engine("far", 30, 59, "b"),
    ]
    state = add(make_state(), *engines)
    path, request = find(state), make_request()
    around, none = frozenset(("ff",)), frozenset()
    found = state.find_detour(request, path, around, none, may_cross, 0.0)
    assert (found is not None) is may_cross
