"""History of a request, read from logs."""

import json

import pytest

from tarragonrudder import cli
from tarragonrudder.commands.history import read_history


def make_line(time, node, event, **fields):
    return json.dumps({"time": time, "node": node, "event": event, **fields})


@pytest.fixture
def logs(tmp_path):
    one = [
        make_line(10.0, "n1", "placed", request="r1", path="e1:0-39 e2:40-79"),
        make_line(10.4, "n1", "detour", request="r1", around=["e2"]),
        make_line(11.0, "n1", "ended", request="r1", status=200),
        make_line(10.1, "n1", "placed", request="r2", path="e3:0-79"),
        "{broken",
        "no line of ours",
    ]
    two = [
        make_line(10.3, "n2", "suspected", upstream="e2", reason="stalled"),
        make_line(10.3, "n2", "suspected", upstream="e9", reason="stalled"),
        make_line(99.0, "n2", "suspected", upstream="e2", reason="stalled"),
        '{"event": "no time"}',
    ]
    paths = [tmp_path / "one.log", tmp_path / "two.log"]
    paths[0].write_text("\n".join(one))
    # Log collectors prepend their own fields to a line.
    paths[1].write_text("\n".join(f"12.3 n2 {line}" for line in two))
    return paths


def test_lines_of_many_nodes_in_order(logs):
    history = read_history(logs, "r1")
    assert [r.event for r in history.request_records] == ["placed", "detour", "ended"]
    assert [(r.node, r.fields["upstream"]) for r in history.context_records] == [
        ("n2", "e2")
    ]


def test_unreadable_lines_are_named(logs):
    unreadable = read_history(logs, "r1").unreadable
    assert len(unreadable) == 2
    assert "one.log: 1 unreadable lines, such as 5" in unreadable[0]


def test_command(logs, capsys):
    cli.main(["explain", *map(str, logs), "--request", "r1"])
    out = capsys.readouterr()
    assert out.out.index("placed") < out.out.index("detour") < out.out.index("ended")
    assert "suspected" in out.out and "unreadable" in out.err


def test_unknown_request(logs, capsys):
    with pytest.raises(SystemExit):
        cli.main(["explain", str(logs[0]), "--request", "none"])
    assert "no line of request none" in capsys.readouterr().err


def test_version(capsys):
    cli.main(["--version"])
    assert capsys.readouterr().out.startswith("tarragonrudder ")
