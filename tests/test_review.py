"""The check of a configuration before it is sent."""

import json
import pathlib

import pytest

from tarragonrudder.commands.exit_code import ExitCode
from tarragonrudder.core.configuration.folder_review import review_folder
from tarragonrudder.core.configuration.route_review import review_document
from tarragonrudder.edges.folder import build_configuration
from tarragonrudder.platform.decoding import decode_routing_document
from tests.site.site import ENGINE, make_configuration, make_route
from tests.test_cli import run
from tests.test_folder import ACCOUNT, BASE, HASH


def decode(document: dict):
    return decode_routing_document(json.dumps(document).encode())


def review(**changes: object) -> list[tuple[str, str]]:
    findings = review_document(decode(make_configuration(**changes)))
    assert not any(finding.is_error for finding in findings)
    return [(finding.subject, finding.message) for finding in findings]


def test_sound_document_has_no_findings():
    routes = make_configuration()["routes"]
    assert review(routes=[route for route in routes if route["name"] != "short"]) == []


@pytest.mark.parametrize(
    ("route", "text"),
    [
        ({"host": ""}, "never matches: its host is empty"),
        ({"prefix": "new/"}, "never matches: its prefix must begin"),
        ({"prefix": "/new"}, "never matches: its prefix must begin"),
        ({"prefix": "/look/"}, "never matches: route look comes later"),
        ({"service": "none"}, "service 'none' is not defined"),
        ({"target-latency-ms": 6000}, "its target of 6 s is longer"),
        (
            {"kind": "streaming", "resumable": True, "gap-aim-ms": 9000},
            "its pause of 9 s between",
        ),
        ({"kind": "non_idempotent"}, "allows 2 upstreams, but"),
        (
            {
                "traffic-split": [
                    {"service": "plain", "weight": 1},
                    {"service": "engines", "weight": 0},
                ]
            },
            "service 'engines' gets nothing",
        ),
    ],
)
def test_route_that_cannot_work(route, text):
    routes = [
        {**make_route("new", "idempotent", "plain"), **route},
        make_route("draft", "streaming", "engines"),
        make_route("look", "idempotent", "plain"),
    ]
    (finding,) = review(routes=routes)
    assert finding[0] == "route new"
    assert text in finding[1]


def test_two_routes_of_one_name():
    routes = [
        make_route("draft", "streaming", "engines"),
        make_route("look", "idempotent", "plain"),
        make_route("look", "idempotent", "plain", prefix="/other/"),
    ]
    assert [subject for subject, _ in review(routes=routes)] == ["route look"]


@pytest.mark.parametrize(
    ("changes", "subject", "text"),
    [
        ({"max-connections": 95}, "service engines", "95 connections for 96 slots"),
        ({"max-connections": 0}, "service engines", "allows no connection"),
        (
            {
                "engine": {
                    **ENGINE,
                    "kinds": [*ENGINE["kinds"], {"name": "tiny", "mb": 1750.0}],
                }
            },
            "service engines",
            "kind tiny have no memory",
        ),
    ],
)
def test_service_that_cannot_work(changes, subject, text):
    service = {"name": "engines", "max-connections": 1068, "engine": ENGINE}
    services = [{**service, **changes}, {"name": "plain", "max-connections": 100}]
    findings = review(services=services)
    assert any(found == subject and text in message for found, message in findings)


def test_service_without_a_route():
    routes = [make_route("look", "idempotent", "plain")]
    assert [subject for subject, _ in review(routes=routes)] == ["service engines"]


@pytest.mark.parametrize(
    ("accounts", "expected"),
    [
        ([("a", ["k1"]), ("b", ["k1", "k2"])], ["account b"]),
        ([("a", ["k1", "k1"])], ["account a"]),
        ([("a", ["k1"]), ("b", [])], ["account b"]),
        ([("a", [])], ["account a", "accounts"]),
        ([], ["accounts"]),
    ],
)
def test_keys_that_reach_nobody(accounts, expected):
    tenants = [{"name": name, "api-keys": keys} for name, keys in accounts]
    routes = [
        make_route("draft", "streaming", "engines"),
        make_route("look", "idempotent", "plain"),
    ]
    findings = review(tenants=tenants, routes=routes)
    assert [subject for subject, _ in findings] == expected
    assert not any("k1" in message for _, message in findings)


@pytest.mark.parametrize(
    ("limits", "text"),
    [
        ({"max-body-bytes": 0}, "body bytes of 0"),
        ({"header-timeout-ms": 9000, "idle-timeout-ms": 5000}, "idle timeout of 5 s"),
    ],
)
def test_limits_that_contradict_each_other(limits, text):
    found = [
        message for subject, message in review(limits=limits) if subject == "limits"
    ]
    assert len(found) == 1
    assert text in found[0]


@pytest.mark.parametrize(("version", "is_error"), [(2, True), (1, True), (3, False)])
def test_version_that_nodes_would_ignore(version, is_error):
    document = decode(make_configuration(version))
    findings = review_document(document, decode(make_configuration(2)))
    assert any(finding.is_error for finding in findings) is is_error


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", []),
        ("[account:courts]\nburst = 0.5\n", ["account:courts"]),
        ("[priority:rare]\nlevel = 7\ndeadline_s = 9\n", ["priority:rare"]),
        ("[model:unused@1]\nlayers = 1\n", ["model:unused@1"]),
    ],
)
def test_folder_entries_without_effect(text, expected):
    files = {"10.ini": BASE, "20.ini": ACCOUNT + f"key_hashes = {HASH}\n"}
    before = review_folder(build_configuration(files, 1))
    after = review_folder(build_configuration({**files, "30.ini": text}, 1))
    assert [each.subject for each in after if each not in before] == expected


def test_command_compares_documents(tmp_path: pathlib.Path, capsys):
    next_path, old_path = tmp_path / "next.json", tmp_path / "old.json"
    old_path.write_text(json.dumps(make_configuration(2)))
    changed = make_configuration(3, tenants=[{"name": "hule", "api-keys": ["secret"]}])
    next_path.write_text(json.dumps(changed))
    assert run("check", next_path, f"--against={old_path}", "--json") == ExitCode.DONE
    shown = capsys.readouterr().out
    differences = json.loads(shown)["differences"]
    found = [(each["section"], each["key"]) for each in differences]
    assert found == [("account hule", "keys"), ("document", "version")]
    assert "secret" not in shown
    assert run("check", old_path, f"--against={next_path}") == ExitCode.INVALID
    assert "error: document: version 2 is not above 3" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("content", "code"),
    [(b"{", ExitCode.INVALID), (b'{"version": "x"}', ExitCode.INVALID)],
)
def test_command_on_a_document_that_nodes_refuse(
    tmp_path: pathlib.Path, capsys, content, code
):
    path = tmp_path / "next.json"
    path.write_bytes(content)
    assert run("check", path) == code
    assert "error: document:" in capsys.readouterr().out
    assert run("check", path, f"--against={path}") == ExitCode.USAGE
    assert "name the document in force" in capsys.readouterr().err


def test_command_compares_folders(tmp_path: pathlib.Path, capsys):
    for name, burst in (("old", 5), ("next", 6)):
        folder = tmp_path / name
        folder.mkdir()
        (folder / "10.ini").write_text(BASE)
        account = ACCOUNT + f"key_hashes = {HASH}\n"
        (folder / "20.ini").write_text(account)
        (folder / "30.ini").write_text(f"[account:courts]\nburst = {burst}\n")
    arguments = (tmp_path / "next", f"--against={tmp_path / 'old'}")
    assert run("check", *arguments) == ExitCode.DONE
    shown = capsys.readouterr().out
    assert "account:courts" in shown
    assert "is valid, digest" in shown
