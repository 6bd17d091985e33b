"""Tests of the changes by which nodes follow a large document."""

import random

import orjson
import pytest

from tarragonrudder.core.membership.document_history import (
    MAX_CHANGES,
    MAX_HISTORY_BYTES,
    ChangeError,
    DocumentChange,
    DocumentHistory,
    apply_change,
    compare_documents,
    compute_digest,
)


def make_routes(count, seed=0):
    source = random.Random(seed)
    return [
        {"name": f"r{source.getrandbits(32):08x}", "prefix": f"/{i}/", "service": "a"}
        for i in range(count)
    ]


def encode(version, routes):
    return orjson.dumps({"version": version, "routes": routes, "tenants": []})


def move_service(routes):
    return [*routes[:700], {**routes[700], "service": "b"}, *routes[701:]]


CHANGES = {
    "version": lambda routes: routes,
    "one route": move_service,
    "route removed": lambda routes: routes[:300] + routes[301:],
    "first route removed": lambda routes: routes[1:],
    "route added": lambda routes: [*routes, *make_routes(1, 9)],
    "reversed": lambda routes: routes[::-1],
    "repeated": lambda routes: [*routes[:5], *routes[:5], *routes],
    "all new": lambda routes: make_routes(10, 5),
    "none": lambda routes: [],
}


@pytest.mark.parametrize("layout", [b"},", b"}, ", b"},\n  ", b"} ,"])
@pytest.mark.parametrize("case", CHANGES)
def test_change_leads_to_the_same_bytes(case, layout):
    routes = make_routes(1500)
    before = encode(1, routes).replace(b"},", layout)
    after = encode(2, CHANGES[case](routes)).replace(b"},", layout)
    assert apply_change(before, compare_documents(before, after)) == after


@pytest.mark.parametrize("seed", range(50))
def test_change_between_any_bytes(seed):
    source = random.Random(seed)
    texts = [
        b"".join(
            source.choices(
                (b"},", b"}", b",", b"a", b"\xff\x00"), k=source.randrange(40)
            )
        )
        for _ in range(2)
    ]
    assert apply_change(texts[0], compare_documents(*texts)) == texts[1]


@pytest.mark.parametrize("case", ["version", "one route", "route removed"])
def test_change_of_one_route_is_small(case):
    routes = make_routes(1500)
    change = compare_documents(encode(1, routes), encode(2, CHANGES[case](routes)))
    assert sum(len(each) for each in change.pieces if isinstance(each, bytes)) < 300
    assert len(change.pieces) <= 5


def test_chain_of_changes():
    history = DocumentHistory()
    routes = make_routes(100)
    texts = [encode(version, routes) for version in range(1, 11)]
    history.note(b"", texts[0])
    for before, after in zip(texts, texts[1:], strict=False):
        history.note(before, after)
    text = texts[3]
    for change in history.list_since(compute_digest(text)):
        text = apply_change(text, change)
    assert text == texts[-1]
    assert history.list_since(compute_digest(texts[-1])) is None
    assert history.list_since(compute_digest(b"another")) is None


def test_received_changes_are_passed_on():
    first, second = DocumentHistory(), DocumentHistory()
    texts = [encode(version, make_routes(10)) for version in range(1, 6)]
    for before, after in zip(texts, texts[1:], strict=False):
        first.note(before, after)
    second.extend(first.list_since(compute_digest(texts[1])))
    assert len(second.list_since(compute_digest(texts[2]))) == 2


def test_history_is_bounded():
    history = DocumentHistory()
    routes = make_routes(10)
    for version in range(MAX_CHANGES + 10):
        history.note(encode(version, routes), encode(version + 1, routes))
    assert history.list_since(compute_digest(encode(0, routes))) is None
    assert len(history.list_since(compute_digest(encode(10, routes)))) == MAX_CHANGES
    before = encode(MAX_CHANGES + 10, routes)
    large = encode(100, make_routes(MAX_HISTORY_BYTES // 30, 7))
    history.note(before, large)
    assert history.list_since(compute_digest(before)) is None


def test_history_of_scattered_changes_is_bounded():
    # Their texts are short, and their pieces many.
    history = DocumentHistory()
    routes = make_routes(1000)
    texts = [encode(0, routes), encode(0, routes[::-1])]
    for _ in range(MAX_CHANGES):
        history.note(*texts)
        texts.reverse()
    kept = history.list_since(compute_digest(texts[0])) or ()
    kept += history.list_since(compute_digest(texts[1])) or ()
    assert sum(len(change.pieces) for change in kept) * 64 < MAX_HISTORY_BYTES


def test_chain_with_a_gap_starts_anew():
    history = DocumentHistory()
    texts = [encode(version, make_routes(10)) for version in range(1, 6)]
    history.note(texts[0], texts[1])
    history.note(texts[2], texts[3])
    assert history.list_since(compute_digest(texts[0])) is None
    assert len(history.list_since(compute_digest(texts[2]))) == 1


TEXT = encode(1, make_routes(5))
ODD_PIECES = {
    "beyond the end": ((0, 99),),
    "before the start": ((-1, 2),),
    "no element": ((0, 0),),
    "too long": ((0, 5),) * 200_000,
    "other text": (b"{}",),
}


@pytest.mark.parametrize("case", ODD_PIECES)
def test_odd_change_is_refused(case):
    change = DocumentChange(compute_digest(TEXT), "0" * 16, ODD_PIECES[case])
    with pytest.raises(ChangeError):
        apply_change(TEXT, change)


def test_change_of_another_text_is_refused():
    change = compare_documents(TEXT, encode(2, []))
    with pytest.raises(ChangeError):
        apply_change(TEXT + b" ", change)
