"""Non-idempotent calls through real nodes that are killed, stopped or cut off."""

import concurrent.futures
import signal
import time
import typing as t
import uuid

import httpx
import pytest

from tests.standins.cluster import API_KEY, Cluster, wait_until
from tests.standins.journal import read_journal

TIMEOUT = 60.0  # seconds
FROZEN = 12.0  # seconds, past the node's lease and the time to send
PENDING_LIMIT = 40.0  # seconds for a key of a lost node to be settled
LOAD_KEYS = 90


@pytest.fixture
def cluster(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Cluster]:
    running = Cluster(tmp_path_factory.mktemp("cluster"), engines=())
    try:
        running.start()
        yield running
    finally:
        running.close()


def record(cluster: Cluster, node: str, key: str) -> httpx.Response:
    return httpx.post(
        cluster.addresses[node] + "/services/register/excusals",
        json={"citizen": 7},
        headers={"authorization": f"Bearer {API_KEY}", "idempotency-key": key},
        timeout=TIMEOUT,
    )


def count_runs(cluster: Cluster, key: str) -> int:
    entries = read_journal(cluster.journal_path("register-1"))
    return sum(entry["kind"] == "ran" and entry["key"] == key for entry in entries)


def settle(cluster: Cluster, node: str, key: str) -> httpx.Response:
    """Send a key again until its answer is final."""
    end = time.monotonic() + PENDING_LIMIT
    while True:
        response = record(cluster, node, key)
        final = "retry-after" not in response.headers
        if final or time.monotonic() > end:
            return response
        time.sleep(0.5)


def read_revision(cluster: Cluster) -> int:
    url = cluster.addresses["platform"] + "/counts"
    return int(httpx.get(url, timeout=5.0).json()["revision"])


def tell_outcomes(cluster: Cluster) -> None:
    """Say in the folder that the register tells outcomes."""
    later = cluster.folder / "configuration" / "20-outcomes.ini"
    later.write_text("[service:register-1]\noutcome_path = /outcomes/{key}\n")
    cluster.apply()
    for node in cluster.nodes:
        log = cluster.folder / f"{node}.log"
        wait_until(
            lambda log=log: '"generation": 2' in log.read_text(), 14.0, "generation 2"
        )


@pytest.mark.parametrize("told", [True, False], ids=["told", "not told"])
def test_node_killed_in_mid_call(cluster: Cluster, told: bool) -> None:
    if told:
        tell_outcomes(cluster)
    key = uuid.uuid4().hex
    cluster.set_faults("register-1", delay=3.0)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        first = pool.submit(record, cluster, "node-0", key)
        wait_until(lambda: count_runs(cluster, key) == 1, 10.0, "run")
        cluster.signal("node-0", signal.SIGKILL)
        assert isinstance(first.exception(), httpx.HTTPError)
    second = settle(cluster, "node-1", key)
    third = settle(cluster, "node-2", key)
    for response in (second, third):
        if told:
            assert response.status_code == 201, response.text
            assert response.headers["idempotent-replayed"] == "true"
        else:
            error = response.json()["error"]
            assert error["type"] == "outcome_unknown", response.text
    assert count_runs(cluster, key) == 1


def test_node_stopped_between_intent_and_send(cluster: Cluster) -> None:
    key = uuid.uuid4().hex
    before = read_revision(cluster)
    cluster.set_faults("platform", answer_delay=0.6)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        first = pool.submit(record, cluster, "node-0", key)
        wait_until(lambda: read_revision(cluster) > before, 10.0, "intent")
        cluster.signal("node-0", signal.SIGSTOP)
        stopped = time.monotonic()
        cluster.set_faults("platform")
        assert count_runs(cluster, key) == 0
        second = record(cluster, "node-1", key)
        assert second.json()["error"]["type"] == "idempotency_key_in_progress"
        time.sleep(max(0.0, stopped + FROZEN - time.monotonic()))
        assert count_runs(cluster, key) == 0
        cluster.signal("node-0", signal.SIGCONT)
        answer = first.result()
    assert answer.json()["error"]["run_state"] == "not_run", answer.text
    third = settle(cluster, "node-2", key)
    assert third.status_code == 201, third.text
    assert count_runs(cluster, key) == 1


def test_platform_down_under_load(cluster: Cluster) -> None:
    keys = [uuid.uuid4().hex for _ in range(LOAD_KEYS)]

    def send(index: int) -> httpx.Response:
        time.sleep(index * 0.1)
        return record(cluster, f"node-{index % 3}", keys[index])

    with concurrent.futures.ThreadPoolExecutor(LOAD_KEYS) as pool:
        futures = [pool.submit(send, index) for index in range(LOAD_KEYS)]
        time.sleep(2.0)
        cluster.set_faults("platform", down=True)
        time.sleep(4.0)
        cluster.set_faults("platform")
        answers = [future.result() for future in futures]
    refused = 0
    for key, answer in zip(keys, answers, strict=True):
        if answer.status_code == 201:
            assert count_runs(cluster, key) == 1
            continue
        assert answer.json()["error"]["run_state"] == "not_run", answer.text
        assert "retry-after" in answer.headers
        assert count_runs(cluster, key) == 0
        refused += 1
    assert 0 < refused < LOAD_KEYS
    for index, key in enumerate(keys):
        again = settle(cluster, f"node-{(index + 1) % 3}", key)
        assert again.status_code == 201, again.text
        assert count_runs(cluster, key) == 1
