"""Tests of configurations that nodes fetch from each other."""

import random

import httpx
import orjson
import pytest
import trio

from tarragonrudder.core.membership.document_history import (
    apply_change,
    compare_documents,
    compute_digest,
)
from tarragonrudder.platform.configuration_exchange import (
    CHANGES_TYPE,
    FETCH_PATIENCE,
    WHOLE_TYPE,
    ConfigurationError,
    ConfigurationFetcher,
    decode_answer,
    encode_changes,
    encode_whole,
)
from tarragonrudder.platform.http_client import WholeResponse
from tests.site.site import make_configuration, make_route, open_site
from tests.site.test_store_views import make_registry
from tests.site.upstream import UpstreamStandIn

ROUTES = 1500
TIME_LIMIT = 2.0  # seconds within which a version must be in force


def make_large(version, changed=0):
    """Return a configuration of many routes, of which the first `changed` moved."""
    configuration = make_configuration(version)
    for number in range(ROUTES):
        service = "plain" if number < changed else "engines"
        name = compute_digest(b"%d" % number)
        configuration["routes"].append(make_route(name, "idempotent", service))
    return orjson.dumps(configuration)


def respond(content, content_type, status=200):
    headers = ((b"Content-Type", content_type.encode()),)
    return WholeResponse(status, content, headers)


async def wait_for_version(node, version):
    with trio.fail_after(TIME_LIMIT):
        while node.daemon.state.version != version:
            await trio.sleep(0.01)


async def fetch(node, **params):
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{node.control}/tarragonrudder/peer/configuration"
        return await client.get(url, params=params)


async def test_answers_by_what_the_asking_node_knows():
    first, second = make_large(3), make_large(4, changed=1)
    async with open_site(orjson.loads(first)) as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        node = await site.add_node()
        site.store.put("op/config", second)
        await wait_for_version(node, 4)
        plain = await fetch(node)  # as a node of the build before asks
        assert plain.content == second
        whole = await fetch(node, known="")
        assert len(whole.content) < len(second) / 5
        changes = await fetch(node, known=compute_digest(first))
        assert len(changes.content) < 1000
    for found, kind in ((whole, WHOLE_TYPE), (changes, CHANGES_TYPE)):
        assert found.headers["content-type"] == kind
        text, _ = decode_answer(respond(found.content, kind), first)
        assert text == second


async def test_node_that_the_store_refuses_follows_by_changes():
    async with open_site(orjson.loads(make_large(3))) as site:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        first = await site.add_node()
        second = await site.add_node(seeds=(first.control,), linked=True)
        site.store.refused.add(second.settings.platform.address)
        received = []
        fetcher = second.daemon.peers._configurations
        call = fetcher._call

        async def count(*args, **options):
            response = await call(*args, **options)
            received.append(len(response.content))
            return response

        fetcher._call = count
        for version in range(4, 10):
            site.store.put("op/config", make_large(version, changed=version))
            await wait_for_version(second, version)
    assert sum(received) < 6 * 1000


async def test_configuration_of_an_older_build_is_adopted():
    text = make_large(3)
    asked = []

    async def call(method, address, name, params):
        asked.append(address)
        return respond(text, "text/html; charset=utf-8")

    fetcher, registry = make_fetcher(call)
    await fetcher.fetch("a:1", 3)
    assert registry.configuration_text == text
    assert asked == ["a:1"]


def make_fetcher(call, registry=None):
    registry = registry or make_registry()
    fetcher = ConfigurationFetcher(
        registry, "zone-a", call, lambda *args, **fields: None, random.Random(1)
    )
    return fetcher, registry


FIRST, SECOND, THIRD = make_large(3), make_large(4, changed=1), make_large(5)
CHANGE = compare_documents(FIRST, SECOND)


def encode_odd(**changes):
    row = {"before": CHANGE.before, "after": CHANGE.after, "pieces": [[0, 2]]}
    return encode_whole(orjson.dumps({"changes": [{**row, **changes}]}))


ODD_ANSWERS = {
    "not compressed": b"changes",
    "cut off": encode_changes((CHANGE,))[:-6],
    "too long once it is decompressed": encode_whole(b" " * (17 << 20)),
    "of another text": encode_changes((compare_documents(THIRD, SECOND),)),
    "no list": encode_whole(b"{}"),
    "pieces of another type": encode_odd(pieces=[[0, "2"]]),
    "negative piece": encode_odd(pieces=[[-1, 2]]),
    "piece beyond the end": encode_odd(pieces=[[0, 1 << 40]]),
    "text beyond a byte": encode_odd(pieces=["\u20ac"]),
    "another digest": encode_odd(after="0" * 16),
}


@pytest.mark.parametrize("case", ODD_ANSWERS)
async def test_after_odd_changes_the_whole_is_fetched(case):
    asked = []

    async def call(method, address, name, params):
        asked.append(params["known"])
        if params["known"]:
            return respond(ODD_ANSWERS[case], CHANGES_TYPE)
        return respond(encode_whole(SECOND), WHOLE_TYPE)

    fetcher, registry = make_fetcher(call)
    registry.adopt(FIRST, "store")
    await fetcher.fetch("a:1", 4)
    assert registry.configuration_text == SECOND
    assert asked == [compute_digest(FIRST), ""]


@pytest.mark.parametrize("content_type", [CHANGES_TYPE, WHOLE_TYPE])
def test_odd_answer_quotes_nothing(content_type):
    with pytest.raises(ConfigurationError) as caught:
        decode_answer(respond(encode_whole(b'{"key": 1}')[:-3], content_type), b"")
    assert "key" not in str(caught.value)


async def test_version_told_by_several_peers_is_fetched_once(autojump_clock):
    asked = []

    async def call(method, address, name, params):
        asked.append(address)
        await trio.sleep(FETCH_PATIENCE / 2)
        return respond(encode_whole(SECOND), WHOLE_TYPE)

    fetcher, registry = make_fetcher(call)
    async with trio.open_nursery() as nursery:
        for number in range(6):
            nursery.start_soon(fetcher.fetch, f"a:{number}", 4)
    assert registry.version == 4
    assert len(asked) == 1


async def test_silent_peer_holds_up_no_other_one(autojump_clock):
    async def call(method, address, name, params):
        if address == "silent:1":
            await trio.sleep_forever()
        return respond(encode_whole(SECOND), WHOLE_TYPE)

    fetcher, registry = make_fetcher(call)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fetcher.fetch, "silent:1", 4)
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(2 * FETCH_PATIENCE):
            await fetcher.fetch("a:1", 4)
        nursery.cancel_scope.cancel()
    assert registry.version == 4


@pytest.mark.parametrize(
    "near,answers,expected",
    [
        ({}, {"far:1"}, ["far:1"]),
        ({"near:1": 4}, {"near:1", "far:1"}, ["near:1"]),
        ({"near:1": 3}, {"near:1", "far:1"}, ["far:1"]),
        ({"near:1": 4}, {"far:1"}, ["near:1", "far:1"]),
    ],
)
async def test_peer_of_the_same_data_center_is_asked_first(near, answers, expected):
    asked = []

    async def call(method, address, name, params):
        asked.append(address)
        if address not in answers:
            raise httpx.ConnectError("no answer")
        return respond(encode_whole(SECOND), WHOLE_TYPE)

    fetcher, registry = make_fetcher(call)
    for address, version in near.items():
        fetcher.note_version(address, "zone-a", version)
    fetcher.note_version("far:1", "zone-b", 4)
    await fetcher.fetch("far:1", 4)
    assert asked == expected
    assert registry.version == 4


async def test_two_fetches_from_a_lost_peer_go_on_to_the_tellers(autojump_clock):
    async def call(method, address, name, params):
        await trio.sleep(2 * FETCH_PATIENCE)
        if address == "near:1":
            raise httpx.ConnectError("no answer")
        return respond(encode_whole(SECOND), WHOLE_TYPE)

    fetcher, registry = make_fetcher(call)
    fetcher.note_version("near:1", "zone-a", 4)
    async with trio.open_nursery() as nursery:
        for number in range(2):
            nursery.start_soon(fetcher.fetch, f"far:{number}", 4)
    assert registry.version == 4


async def test_changes_of_several_versions_are_passed_on():
    history = make_registry()
    for text in (FIRST, SECOND, THIRD):
        history.adopt(text, "store")
    changes = history.configuration_history.list_since(compute_digest(FIRST))
    received = make_registry()
    received.adopt(FIRST, "store")
    received.adopt(THIRD, "peer", changes)
    (last,) = received.configuration_history.list_since(compute_digest(SECOND))
    assert apply_change(SECOND, last) == THIRD
