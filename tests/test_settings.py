import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.commands.tool_settings import read_tool_settings
from tarragonrudder.edges.settings import read_settings
from tarragonrudder.errors import SettingsError

GOOD = """\
[node]
name = node-0
data_center = mi-1
caller_bind = 0.0.0.0:8080
peer_bind = 0.0.0.0:8081
peer_address = http://10.0.0.1:8081/
peer_secret_file = /run/secret
peers = http://10.0.0.2:8081 http://10.0.0.3:8081

[platform]
address = http://10.0.1.1:2379
"""


def test_good_settings_are_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.ini"
    path.write_text(GOOD)
    settings = read_settings(path)
    assert settings.node.peer_address == "http://10.0.0.1:8081"
    assert settings.node.peers.split()[1] == "http://10.0.0.3:8081"
    assert settings.statsd.host is None


@pytest.mark.parametrize(
    ("old", "new", "finding"),
    [
        ("name = node-0", "nam = node-0", ":2: [node] nam: unknown; did you mean name"),
        ("name = node-0\n", "", ":1: [node] name: missing; add it"),
        ("[platform]", "[platfrom]", "[platfrom]: unknown; did you mean platform?"),
        ("0.0.0.0:8080", "8080", ":4: [node] caller_bind: write HOST:PORT; mend"),
        ("0.0.0.0:8080", "h:0", ":4: [node] caller_bind: write HOST:PORT; mend"),
        ("http://10.0.1.1:2379", "10.0.1.1", ":11: [platform] address: write http"),
        ("http://10.0.0.2:8081", "x", ":8: [node] peers: write http"),
        ("[platform]\n", "[platform]\ntimeout = nan\n", ":11: [platform] timeout:"),
        ("[platform]\n", "[platform]\ntimeout = 0\n", ":11: [platform] timeout:"),
        ("[node]\n", "[node]\nlog_level = LOUD\n", ":2: [node] log_level:"),
        ("[node]\n", "", ":1: a key before the first section"),
        ("[node]\n", "[node]\njunk\n", ":2: neither a section nor key = value"),
    ],
)
def test_finding_names_line_and_fix(
    tmp_path: pathlib.Path, old: str, new: str, finding: str
) -> None:
    path = tmp_path / "node.ini"
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    assert finding in str(caught.value)


@given(text=st.text(max_size=300) | st.binary(max_size=300))
def test_any_file_is_read_or_refused(
    tmp_path_factory: pytest.TempPathFactory, text: str | bytes
) -> None:
    path = tmp_path_factory.mktemp("settings") / "node.ini"
    data = text.encode(errors="replace") if isinstance(text, str) else text
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        read_settings(path)


def test_a_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsError, match="mend the file"):
        read_settings(tmp_path / "none.ini")


def test_the_tool_finds_its_settings(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "tool.ini"
    path.write_text("[operator]\nplatform = http://10.0.1.1:2379\n")
    monkeypatch.setenv("TARRAGONRUDDER_SETTINGS", str(path))
    assert read_tool_settings(None).operator.platform == "http://10.0.1.1:2379"
