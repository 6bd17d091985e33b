"""Faults in mid-answer with real processes, judged from the journals."""

import json
import pathlib
import signal
import typing as t

import httpx
import pytest

from tests import invariants
from tests.standins.cluster import API_KEY, LAYER_COUNT, Cluster, EngineSpec
from tests.standins.journal import read_journal

HEADERS = {"authorization": f"Bearer {API_KEY}"}
LENGTH = 60
FAULT_AT = 10  # tokens
TIMEOUT = 30.0  # seconds
ENGINES = (
    EngineSpec("head-1", "0-5", 300.0),
    EngineSpec("head-2", "0-5", 300.0),
    EngineSpec("tail-1", "6-11", 300.0),
    EngineSpec("tail-2", "6-11", 300.0),
)


@pytest.fixture
def cluster(tmp_path: pathlib.Path) -> t.Iterator[Cluster]:
    running = Cluster(tmp_path, node_count=1, engines=ENGINES)
    try:
        running.start()
        yield running
    finally:
        running.close()


def read_answer(
    cluster: Cluster, messages: list[dict[str, str]], disturb: t.Callable[[], None]
) -> invariants.Receipt:
    """Stream one answer and call `disturb` in its middle."""
    receipt = invariants.Receipt("", messages, LENGTH)
    body = {"model": "jury", "messages": messages, "max_tokens": LENGTH, "stream": True}
    url = cluster.addresses["node-0"] + "/v1/chat/completions"
    with httpx.stream(
        "POST", url, json=body, headers=HEADERS, timeout=TIMEOUT
    ) as response:
        for line in response.iter_lines():
            if line == "data: [DONE]":
                receipt.ending = invariants.Completed()
            elif line.startswith("data: "):
                take_chunk(receipt, json.loads(line[6:]))
                if len(receipt.tokens) == FAULT_AT:
                    disturb()
    return receipt


def take_chunk(receipt: invariants.Receipt, item: dict[str, t.Any]) -> None:
    """Add what one chunk carries to a receipt."""
    if "error" in item:
        error = item["error"]
        receipt.ending = invariants.Failed(error["type"], error["run_state"])
        return
    receipt.request = item["id"]
    content = item["choices"][0]["delta"].get("content")
    if content:
        receipt.tokens.append(content)


def find_tail(cluster: Cluster) -> str:
    """Return the last stage that ran something."""
    for name in ("tail-1", "tail-2"):
        if read_journal(cluster.journal_path(name)):
            return name
    raise AssertionError("no tail ran")


@pytest.mark.parametrize("fault", ["stage killed", "stage stopped", "connection cut"])
def test_recovery(cluster: Cluster, fault: str) -> None:
    def disturb() -> None:
        match fault:
            case "stage killed":
                cluster.signal(find_tail(cluster), signal.SIGKILL)
            case "stage stopped":
                cluster.signal(find_tail(cluster), signal.SIGSTOP)
            case "connection cut":
                for name in ("head-1", "head-2"):
                    cluster.set_faults(name, cut=2 * FAULT_AT)

    messages = [{"role": "user", "content": f"after {fault}"}]
    receipt = read_answer(cluster, messages, disturb)
    entries = []
    for spec in ENGINES:
        entries.extend(read_journal(cluster.journal_path(spec.name)))
    assert invariants.check_all(entries, [receipt], "1", LAYER_COUNT) == []
    assert isinstance(receipt.ending, invariants.Completed)
    attempts = {entry["attempt"] for entry in entries if entry["kind"] == "layers"}
    assert attempts >= {1, 2}, "the fault did not meet the answer"
