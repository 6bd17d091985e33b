"""Tests of the platform's deploy file."""

import os
import pathlib
import subprocess
import tomllib

from tarragonrudder.platform.daemon import METRICS_PATH, METRICS_PORT

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
# Fake interpreter: records each call of pip and creates the target folder as pip does.
PYTHON = """#!/bin/sh
case "$*" in *"pip install"*) echo call >> pip-calls; mkdir -p target/deps;; esac
"""


def build(folder):
    """Run the build command; return how often pip was called so far."""
    path = f"{folder}/bin:{os.environ['PATH']}"
    subprocess.run(
        ["sh", "-c", DEPLOY["build"]],
        cwd=folder,
        env={"PATH": path},
        check=True,
        timeout=30.0,
    )
    calls = folder / "pip-calls"
    return len(calls.read_text().splitlines()) if calls.exists() else 0


def test_packages_follow_the_pins(tmp_path):
    # A pin was added, but the installed packages had a newer modification time.
    (tmp_path / "bin").mkdir()
    python = tmp_path / "bin" / "python3"
    python.write_text(PYTHON)
    python.chmod(0o755)
    pins = tmp_path / "requirements.lock"
    pins.write_text("a==1\n")
    assert build(tmp_path) == 1
    assert build(tmp_path) == 1
    pins.write_text("a==1\nb==2\n")
    os.utime(pins, (0, 0))
    assert build(tmp_path) == 2
    assert build(tmp_path) == 2


def test_metrics_address_is_the_one_served():
    assert DEPLOY["roles"]["node"]["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"
