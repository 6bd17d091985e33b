"""Tests of what upstreams are told of priority levels, on whole sites."""

import pytest

from tests.site.site import make_configuration, make_route, open_site
from tests.site.upstream import UpstreamStandIn


def make_routes(**levels):
    """Return routes to one service of each kind, with priority levels."""
    draft = make_route("draft", "streaming", "engines")
    review = make_route("review", "streaming", "engines")
    look = make_route("look", "idempotent", "plain")
    routes = [draft, review, look]
    return [{**each, "priority": levels.get(each["name"], 1)} for each in routes]


@pytest.mark.parametrize(
    ("levels", "tenant", "expected"),
    [
        ({}, {}, [None, None, None]),
        ({"draft": 0, "review": 2}, {}, [b"0", b"2", None]),
        # Levels of different services aren't compared.
        ({"draft": 0, "review": 0, "look": 2}, {}, [None, None, None]),
        # The only account sets the level of all requests, so that none differ.
        ({"draft": 0, "review": 2}, {"priority": 1}, [None, None, None]),
    ],
)
async def test_upstream_is_told_the_level(levels, tenant, expected):
    async with open_site() as site:
        engine = UpstreamStandIn("u-1", "engines", layers=(0, 79))
        plain = UpstreamStandIn("u-2", "plain")
        await site.add(engine, plain)
        tenants = [{"name": "hule", "api-keys": ["key-1"], **tenant}]
        configuration = make_configuration(
            2, routes=make_routes(**levels), tenants=tenants
        )
        site.store.put("op/config", configuration)
        node = await site.add_node()
        found = []
        for target, upstream in (
            ("/draft/1", engine),
            ("/review/1", engine),
            ("/look/1", plain),
        ):
            before = len(upstream.arrivals)
            answer = await node.ask(target)
            assert answer.status == 200
            (arrival,) = upstream.arrivals[before:]
            found.append(arrival.headers.get(b"request-priority"))
        assert found == expected
