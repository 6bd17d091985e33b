import json
import pathlib
import shutil
import typing as t

import pytest

from tarragonrudder.cli import main
from tarragonrudder.commands.exit_code import DESCRIPTIONS, ExitCode
from tests.standins.cluster import Cluster, find_ports
from tests.test_folder import ACCOUNT, BASE, HASH

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "configuration.md"


@pytest.fixture(scope="module")
def platform(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Cluster]:
    cluster = Cluster(tmp_path_factory.mktemp("platform"))
    try:
        cluster.start_platform()
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "folder"
    path.mkdir()
    (path / "10-base.ini").write_text(BASE)
    (path / "20-accounts.ini").write_text(ACCOUNT + f"key_hashes = {HASH}\n")
    return path


def run(*arguments: object) -> int:
    try:
        main([str(item) for item in arguments])
    except SystemExit as stop:
        return int(stop.code or 0)
    return 0


def test_check(folder: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run("check", folder) == ExitCode.DONE
    assert "is valid" in capsys.readouterr().out
    assert run("check", folder, "--json") == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["valid"] is True


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (("check", "FOLDER/none"), ExitCode.INVALID, "name the right folder"),
        (("check", "FOLDER/20-accounts.ini"), ExitCode.INVALID, "name the right"),
        (("check",), ExitCode.USAGE, "folder"),
        (("chekc", "FOLDER"), ExitCode.USAGE, "chekc"),
        (("apply", "FOLDER"), ExitCode.USAGE, "give --platform=URL"),
        (("diff", "FOLDER", "--settings=/none.ini"), ExitCode.USAGE, "mend the file"),
        (("apply", "FOLDER", "--platform=AWAY"), ExitCode.UNAVAILABLE, "retry"),
        (("status", "--platform=AWAY"), ExitCode.UNAVAILABLE, "retry"),
        (("diff", "FOLDER", "--platform=nonsense"), ExitCode.UNAVAILABLE, "retry"),
        (
            ("status", "--platform=AWAY", "--secret-file=/none"),
            ExitCode.USAGE,
            "/none: No such file or directory; name another file",
        ),
        (
            ("route", "FOLDER", "x"),
            ExitCode.USAGE,
            "there is no route x; use one of: m",
        ),
        (("route", "FOLDER", "m", "--without=z"), ExitCode.USAGE, "no engine z"),
        (("route", "FOLDER", "m", "--account=z"), ExitCode.USAGE, "no account z"),
    ],
)
def test_bad_input_names_the_remedy(
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
    code: ExitCode,
    text: str,
) -> None:
    (port,) = find_ports(1)
    given = []
    for item in arguments:
        item = item.replace("FOLDER", str(folder))
        given.append(item.replace("AWAY", f"http://127.0.0.1:{port}"))
    assert run(*given) == code
    shown = capsys.readouterr()
    assert text in shown.err
    assert "Traceback" not in shown.err


def test_findings_are_shown(
    folder: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "30.ini").write_text("[route:m]\nmodle = x\n")
    assert run("check", folder) == ExitCode.INVALID
    assert "30.ini:2: [route:m] modle: unknown key" in capsys.readouterr().err
    (folder / "30.ini").write_bytes(b"\xff\xfe")
    assert run("check", folder) == ExitCode.INVALID
    assert "30.ini:1: can't be read: not UTF-8" in capsys.readouterr().err


def test_operators_write_in_turn(
    platform: Cluster, folder: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    address = f"--platform={platform.addresses['platform']}"
    assert run("diff", folder, address) == ExitCode.DIFFERENT
    assert HASH not in capsys.readouterr().out
    assert run("apply", folder, address, "--wait=0") == ExitCode.DONE
    assert run("diff", folder, address) == ExitCode.DONE
    first, second = folder.parent / "first", folder.parent / "second"
    assert run("pull", first, address) == ExitCode.DONE
    assert run("pull", second, address) == ExitCode.DONE
    assert (first / "10-base.ini").read_text() == BASE
    (first / "30.ini").write_text("[account:courts]\nburst = 1\n")
    (second / "30.ini").write_text("[account:courts]\nburst = 2\n")
    assert run("apply", first, address, "--wait=0") == ExitCode.DONE
    capsys.readouterr()
    assert run("apply", second, address, "--wait=0") == ExitCode.CONFLICT
    assert "pull, merge your change" in capsys.readouterr().err
    assert run("pull", second, address) == ExitCode.CONFLICT
    assert "give --force" in capsys.readouterr().err
    assert run("pull", second, address, "--force") == ExitCode.DONE
    assert (second / "30.ini").read_text() == "[account:courts]\nburst = 1\n"
    (second / "30.ini").write_text("[account:courts]\nburst = 3\n")
    capsys.readouterr()
    assert run("diff", second, address, "--json") == ExitCode.DIFFERENT
    assert json.loads(capsys.readouterr().out) == [
        {"section": "account:courts", "key": "burst", "before": "1", "after": "3"}
    ]
    assert run("apply", second, address, "--wait=0.3") == ExitCode.NOT_IN_FORCE
    assert "no node accepted or rejected it" in capsys.readouterr().err
    # A copy without a note of its revision can't overwrite what is there.
    shutil.copytree(second, folder.parent / "copy")
    (folder.parent / "copy" / ".revision").unlink()
    assert run("apply", folder.parent / "copy", address) == ExitCode.CONFLICT
    assert run("status", address) == ExitCode.NOT_IN_FORCE


def test_a_lost_answer_is_read_back(platform: Cluster, folder: pathlib.Path) -> None:
    address = f"--platform={platform.addresses['platform']}"
    settings = folder.parent / "tool.ini"
    settings.write_text("[operator]\ntimeout = 0.5\n")
    run("pull", folder, address, "--force")
    (folder / "40.ini").write_text("[account:courts]\nburst = 44\n")
    platform.set_faults("platform", lose_writes=3)
    try:
        code = run("apply", folder, address, "--wait=0", f"--settings={settings}")
    finally:
        platform.set_faults("platform")
    assert code == ExitCode.DONE
    assert run("diff", folder, address) == ExitCode.DONE


@pytest.mark.parametrize("text", ["", "junk", "[folder]\n", "[folder]\nrevision = x\n"])
def test_a_damaged_note_is_refused(
    folder: pathlib.Path, capsys: pytest.CaptureFixture[str], text: str
) -> None:
    (folder / ".revision").write_text(text)
    assert run("apply", folder, "--platform=http://127.0.0.1:9") == ExitCode.INVALID
    assert "pull into a new folder" in capsys.readouterr().err


def test_route(folder: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run("route", folder, "m", "--account=courts", "--json") == ExitCode.DONE
    found = json.loads(capsys.readouterr().out)
    assert [stage["upstream"] for stage in found["stages"]] == ["a", "b"]
    assert any("priority normal" in reason for reason in found["reasons"])
    assert run("route", folder, "m", "--without=b") == ExitCode.INVALID
    assert "no engine that is left holds layer 8" in capsys.readouterr().out


def test_exit_codes_are_documented() -> None:
    page = PAGE.read_text()
    for code in ExitCode:
        assert f"| {code.value} | {DESCRIPTIONS[code]} |" in page
