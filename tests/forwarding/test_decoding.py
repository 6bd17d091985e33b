"""Tests of the decoding and validation of input from the platform."""

import orjson
import pytest

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.forwarded_request import (
    Accepted,
    InvalidResponse,
    Rejected,
)
from tarragonrudder.edges.connection import ReceivedRequest, ResponseHead
from tarragonrudder.errors import SettingsError
from tarragonrudder.platform.decoding import (
    DEFAULT_GAP_TARGET,
    DocumentError,
    decode_configuration,
    decode_entry,
)
from tarragonrudder.platform.ingress import decode_request
from tarragonrudder.platform.node_settings import read_platform_settings
from tarragonrudder.platform.upstream_client import (
    classify_response,
    filter_headers,
    format_path,
)
from tests.site.site import make_configuration, make_route
from tests.site.upstream import UpstreamStandIn

ENTRY = UpstreamStandIn("e", layers=(3, 9), address="10.0.0.1:80").describe()


def test_configuration():
    route = make_route(
        "split",
        "streaming",
        "",
        **{"traffic-split": [{"service": "a", "weight": 9}]},
        resumable=False,
    )
    table = decode_configuration(orjson.dumps(make_configuration(7, routes=[route])))
    found = table.find_route("host.example", "/split/x")
    assert (table.version, found.targets) == (7, (("a", 9.0),))
    assert (found.timeout, found.first_byte_target, found.event_gap_target) == (
        5.0,
        0.5,
        0.25,
    )
    assert found.streaming and not found.idempotent
    assert table.find_account("key-2").name == "hule"
    engine = table.services["engines"].engine
    assert (engine.layer_count, engine.layer_bytes) == (80, 1.75e9)
    assert engine.step_time == pytest.approx(0.00102)
    assert table.services["plain"].engine is None


TENANT = {"name": "hule", "api-keys": ["key-1"]}


@pytest.mark.parametrize(
    ("tenants", "needs_key"),
    [
        (None, False),
        ([TENANT], True),
        ([{"name": "hule", "api-keys": []}], True),
        ([{"name": "hule"}], True),
        ([], True),
    ],
)
def test_keys_are_needed_wherever_client_accounts_are_listed(tenants, needs_key):
    # With the last key taken away, requests with any key or none were good.
    configuration = make_configuration(tenants=tenants)
    if tenants is None:
        del configuration["tenants"]
    table = decode_configuration(orjson.dumps(configuration))
    assert table.needs_key is needs_key


@pytest.mark.parametrize("target", [None, 0, -5])
def test_route_without_a_gap_target_has_the_usual_one(target):
    # A target of 0 made each pause a stall of infinite length.
    route = make_route("draft", "streaming", "engines", **{"gap-aim-ms": target})
    if target is None:
        del route["gap-aim-ms"]
    table = decode_configuration(orjson.dumps(make_configuration(routes=[route])))
    assert table.routes[0].event_gap_target == DEFAULT_GAP_TARGET


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        b'{"version": 1.5}',
        b'{"version": 1, "routes": {}}',
        b'{"version": 1, "tenants": [{"name": 1}]}',
        b'{"version": 1, "routes": [{"name": "r", "kind": "other"}]}',
    ],
)
def test_invalid_configuration(text):
    with pytest.raises(DocumentError):
        decode_configuration(text)


def test_errors_quote_no_key():
    tenants = [{"name": 7, "api-keys": ["secret"]}]
    with pytest.raises(DocumentError) as error:
        decode_configuration(orjson.dumps(make_configuration(tenants=tenants)))
    assert "secret" not in str(error.value)


@pytest.mark.parametrize(
    ("changes", "layers", "ready"),
    [
        ({}, LayerRange(3, 9), True),
        ({"state": "draining"}, LayerRange(3, 9), False),
        ({"layers": {"from": 0, "target": 0, "version": 1}}, None, True),
        ({"layers": None}, None, True),
        ({"new-field": 1}, LayerRange(3, 9), True),
    ],
)
def test_entry(changes, layers, ready):
    found = decode_entry("e", orjson.dumps({**ENTRY, **changes}))
    assert (found.layers, found.ready, found.data_center) == (layers, ready, "zone-a")


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "other"},
        {"address": None},
        {"service": 3},
        {"layers": {"from": -1, "target": 4}},
        {"layers": "all"},
        {"born": "soon"},
        {"born": 1.5},
        {"born": -1},
        {"slots": "6"},
        {"slots": -1},
        {"layers": {"from": "0", "target": 4}},
        {"layers": {"from": 0, "target": 2**62}},
    ],
)
def test_invalid_entry(changes):
    with pytest.raises(DocumentError):
        decode_entry("e", orjson.dumps({**ENTRY, **changes}))


@pytest.mark.parametrize(
    "address",
    ["", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:http", "10.0.0.1:0", "10.0.0.1:-1"]
    + ["10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:80 ", "10.0.0.1:8\u0661"]
    + ["10.0.0.1:80/x", "a b:80", "a\n:80", "\u00e4:80", "[::1]:80", "u@10.0.0.1:80"],
)
def test_entry_with_an_unusable_address(address):
    # One such entry ended the process of each planner in turn (incident odd-entries).
    with pytest.raises(DocumentError, match="address"):
        decode_entry("e", orjson.dumps({**ENTRY, "address": address}))


@pytest.mark.parametrize(
    "text",
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        orjson.dumps(ENTRY)[:-1] + b',"more":' + b"[" * 5000 + b"]" * 5000 + b"}",
        orjson.dumps(ENTRY)[:-1] + b',"slots":' + b"9" * 5000 + b"}",
        orjson.dumps(ENTRY)[:-1] + b',"slots":1e999}',
        orjson.dumps(ENTRY)[:-1] + b',"born":' + b"9" * 30 + b"}",
        orjson.dumps(ENTRY)[:-1] + b',"zone":"\\ud800"}',
    ],
)
def test_entry_that_no_decoder_should_choke_on(text):
    # Very deep nesting, numbers too large and unpaired surrogates name no upstream.
    with pytest.raises(DocumentError):
        decode_entry("e", text)


@pytest.mark.parametrize("name", ["", "a b", "a\n", "a\u00e4", "a\u20ac", "x" * 201])
def test_entry_whose_name_fits_no_header(name):
    # The name is sent as a header with each request; it raised on the way.
    with pytest.raises(DocumentError, match="name"):
        decode_entry(name, orjson.dumps(ENTRY))


ID = (b"Attempt-Id", b"r1")
SEAL = (b"Response-Seal", b"s")


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, [ID, SEAL], Accepted),
        (500, [ID, SEAL], Accepted),
        (404, [ID, SEAL], Accepted),
        (200, [ID], InvalidResponse),
        (500, [ID], InvalidResponse),
        (200, [(b"Attempt-Id", b"r2"), SEAL], InvalidResponse),
        (200, [SEAL], InvalidResponse),
        (503, [ID, (b"Not-Executed", b"1")], Rejected),
        (429, [ID, (b"Not-Executed", b"1")], Rejected),
        (400, [(b"Not-Executed", b"1")], Rejected),
        (421, [], Rejected),
        # These statuses promise that nothing ran, which the header must confirm.
        (503, [ID, SEAL], InvalidResponse),
        (429, [ID, SEAL], InvalidResponse),
        (408, [ID, SEAL], InvalidResponse),
    ],
)
def test_response_kind(status, headers, kind):
    assert isinstance(classify_response(ResponseHead(status, headers), b"r1"), kind)


def test_rejection_names_its_culprit():
    head = ResponseHead(503, [(b"Not-Executed", b"1"), (b"At-Server", b"10.0.0.1:80")])
    assert classify_response(head, b"r1") == Rejected("10.0.0.1:80", misdirected=False)


def test_headers_of_one_connection_are_dropped():
    headers = [
        (b"Connection", b"keep-alive, X-Own"),
        (b"X-Own", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Model", b"m"),
        (b"Prompt-Prefix", b"a:1"),
    ]
    assert filter_headers(headers) == ((b"Model", b"m"), (b"Prompt-Prefix", b"a:1"))


def test_path_ends_behind_its_last_layer():
    hops = [
        Hop("a", "10.1.0.9:80", LayerRange(0, 19)),
        Hop("b", "10.2.0.3:80", LayerRange(20, 79)),
    ]
    assert format_path(hops) == b"10.1.0.9:80=0-20,10.2.0.3:80=20-80"


def make_received(*headers, body=b""):
    return ReceivedRequest("POST", "/draft/1?q=2", list(headers), body)


def test_request():
    request = decode_request(
        make_received(
            (b"Host", b"host.example"),
            ID,
            (b"Deadline-Ms", b"1500"),
            (b"Authorization", b"Bearer key"),
            (b"Token-Usage", b"760,300"),
            (b"Length-Hint", b"90"),
            (b"Last-Event-Id", b"12"),
            (b"Tenant", b"forged"),
            (b"Hop-Count", b"forged"),
            (b"Expect-Instance", b"forged"),
            (b"Model", b"m"),
        ),
        5.0,
    )
    assert (request.path, request.api_key, request.timeout) == ("/draft/1", "key", 1.5)
    assert (request.prompt_tokens, request.max_tokens) == (760, 300)
    assert (request.hinted_tokens, request.last_event) == (90, 12)
    assert {name.lower() for name, _ in request.headers} == {
        b"token-usage",
        b"length-hint",
        b"model",
    }


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b"9" * 400, 10**15),
        (b"9" * 5000, 10**15),
        (b"9" * 16, 10**15),
        (b"9" * 15, 10**15 - 1),
        (b"0" * 5000 + b"7", 7),
        (b"0" * 5000, 0),
        (b"-5", None),
    ],
)
def test_huge_numbers_are_capped(text, number):
    # int() raised above 4300 digits, and the deadline's division above 308.
    names = (b"Deadline-Ms", b"Length-Hint", b"Last-Event-Id")
    headers = [(name, text) for name in names]
    usage = (b"Token-Usage", text + b"," + text)
    request = decode_request(
        make_received((b"Host", b"host.example"), ID, *headers, usage), 0.0
    )
    assert (request.hinted_tokens, request.last_event) == (number, number)
    assert (request.prompt_tokens, request.max_tokens) == (number or 0, number or 0)
    assert request.timeout == (None if number is None else number / 1000.0)


@pytest.mark.parametrize(
    "headers", [[ID], [(b"Host", b"h")], [(b"Host", b"h"), (b"Attempt-Id", b"")]]
)
def test_request_without_id_or_host(headers):
    assert decode_request(make_received(*headers), 0.0) is None


@pytest.mark.parametrize("value", [b"", b"-1", b"x", b"1.5", "²".encode()])
def test_invalid_numbers_are_ignored(value):
    headers = [(b"Host", b"h"), ID, (b"Deadline-Ms", value), (b"Token-Usage", value)]
    request = decode_request(make_received(*headers), 0.0)
    assert (request.timeout, request.prompt_tokens) == (None, 0)


def test_same_work_has_the_same_fingerprint():
    one = make_received((b"Host", b"h"), ID, body=b"x")
    again = make_received((b"Host", b"h"), (b"Attempt-Id", b"r2"), body=b"x")
    other = make_received((b"Host", b"h"), ID, body=b"y")
    prints = [decode_request(each, 0.0).fingerprint for each in (one, again, other)]
    assert prints[0] == prints[1] != prints[2]


SETTINGS = """
node = "n"
ip = "10.1.0.4"
zone = "a"
new-field = 3
[listen]
front = "10.1.0.4:1"
ready = "10.1.0.4:2"
control = "10.1.0.4:3"
[platform]
address = "10.0.0.1:8"
"""


def test_settings(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    settings = read_platform_settings(path)
    assert settings.listen.control == "10.1.0.4:3"
    assert settings.bounds.grace_s == 8


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('node = "n"', "", "node"),
        ('address = "10.0.0.1:8"', "address = 4", "platform.address"),
        ("[listen]", "[listen", "settings.toml"),
        ('ip = "10.1.0.4"', "ip = []", "ip"),
    ],
)
def test_invalid_settings(tmp_path, old, new, named):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(SettingsError, match=named):
        read_platform_settings(path)


def test_settings_nested_too_deeply(tmp_path):
    # The file may change at any time; a reload of this one ended the process.
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace("new-field = 3", f"x = {'[' * 5000}{']' * 5000}"))
    with pytest.raises(SettingsError):
        read_platform_settings(path)


def test_settings_that_are_not_there(tmp_path):
    with pytest.raises(SettingsError):
        read_platform_settings(tmp_path / "none.toml")
