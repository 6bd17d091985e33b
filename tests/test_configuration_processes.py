import concurrent.futures
import json
import pathlib
import shutil
import signal
import subprocess
import time
import typing as t

import httpx
import pytest
import trio

from tarragonrudder.edges.platform_client import PlatformClient
from tarragonrudder.edges.store import ConfigurationStore
from tests.standins.cluster import API_KEY, Cluster, wait_until

TARGET = 14.0  # seconds until a change is in force everywhere
HEADERS = {"authorization": f"Bearer {API_KEY}"}
BAD = "[route:bad]\nmodle = jury@1\n"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[Cluster]:
    folder: pathlib.Path = tmp_path_factory.mktemp("cluster")
    running = Cluster(folder)
    try:
        running.start()
        yield running
    finally:
        running.close()


def list_routes(cluster: Cluster, node: str) -> list[str]:
    url = cluster.addresses[node] + "/v1/models"
    items = httpx.get(url, headers=HEADERS, timeout=5.0).json()["data"]
    return [item["id"] for item in items]


def run_tool(
    cluster: Cluster, command: str, *arguments: object
) -> subprocess.CompletedProcess[str]:
    platform = f"--platform={cluster.addresses['platform']}"
    given = [str(item) for item in arguments]
    return cluster.run_tool(command, *given, platform, check=False)


def pull(cluster: Cluster, name: str) -> pathlib.Path:
    path = cluster.folder / name
    shutil.rmtree(path, ignore_errors=True)
    assert run_tool(cluster, "pull", path).returncode == 0
    return path


def wait_in_force(cluster: Cluster, route: str, begun: float) -> None:
    for node in cluster.nodes:
        left = begun + TARGET - time.monotonic()
        wait_until(lambda n=node: route in list_routes(cluster, n), left, route)


def report(cluster: Cluster) -> dict[str, t.Any]:
    secret = f"--secret-file={cluster.folder / 'peer-secret'}"
    return json.loads(run_tool(cluster, "status", secret, "--json").stdout)


def test_a_change_is_in_force_on_all_nodes(cluster: Cluster) -> None:
    mine = pull(cluster, "mine")
    (mine / "20.ini").write_text("[route:new]\nmodel = jury@1\n")
    begun = time.monotonic()
    done = run_tool(cluster, "apply", mine)
    assert done.returncode == 0, done.stderr
    wait_in_force(cluster, "new", begun)
    found = report(cluster)
    assert found["in_force"], found
    assert len({node["status"]["generation"] for node in found["nodes"]}) == 1


def test_one_of_two_operators_loses(cluster: Cluster) -> None:
    copies = [pull(cluster, f"racer-{index}") for index in range(2)]
    for index, path in enumerate(copies):
        (path / "30.ini").write_text(f"[route:race-{index}]\nmodel = jury@1\n")
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        done = list(pool.map(lambda path: run_tool(cluster, "apply", path), copies))
    assert sorted(item.returncode for item in done) == [0, 4], done
    winner = [item.returncode for item in done].index(0)
    assert "pull, merge your change" in done[1 - winner].stderr
    wait_in_force(cluster, f"race-{winner}", begun)
    for node in cluster.nodes:
        assert f"race-{1 - winner}" not in list_routes(cluster, node)


def write_bad_folder(cluster: Cluster) -> None:
    """Write past the tool's own check, as an older tool might."""

    async def write() -> None:
        client = PlatformClient(cluster.addresses["platform"], 5.0)
        store = ConfigurationStore(client)
        known = await store.read_folder()
        await store.write_folder(known.revision, {**known.files, "90.ini": BAD})
        await client.close()

    trio.run(write)


def test_a_bad_folder_is_rejected_whole(cluster: Cluster) -> None:
    before = report(cluster)
    write_bad_folder(cluster)
    wait_until(lambda: bool(report(cluster)["rejected"]), TARGET, "rejection")
    found = report(cluster)
    assert found["rejected"][0].startswith("90.ini:1: [route:bad] model: missing")
    assert found["rejected"][1].startswith("90.ini:2: [route:bad] modle: unknown key")
    assert found["generation"] == before["generation"]
    logged = (cluster.folder / "node-0.log").read_text()
    logged += (cluster.folder / "node-1.log").read_text()
    logged += (cluster.folder / "node-2.log").read_text()
    assert "configuration_rejected" in logged
    mended = pull(cluster, "mended")
    (mended / "90.ini").write_text("[route:mended]\nmodel = jury@1\n")
    begun = time.monotonic()
    assert run_tool(cluster, "apply", mended).returncode == 0
    wait_in_force(cluster, "mended", begun)


def test_an_empty_node_starts_while_the_platform_is_down(cluster: Cluster) -> None:
    before = report(cluster)["generation"]
    routes = list_routes(cluster, "node-1")
    cluster.set_faults("platform", down=True)
    try:
        cluster.signal("node-0", signal.SIGKILL)
        cluster.processes["node-0"].wait()
        cluster.start_process("node-0")
        cluster.wait_ready("node-0")
        assert list_routes(cluster, "node-0") == routes
    finally:
        cluster.set_faults("platform")
    wait_until(lambda: report(cluster)["in_force"], TARGET + 1.0, "all in force")
    assert report(cluster)["generation"] == before


def test_a_frozen_node_catches_up(cluster: Cluster) -> None:
    cluster.signal("node-1", signal.SIGSTOP)
    try:
        mine = pull(cluster, "frozen")
        (mine / "95.ini").write_text("[route:thawed]\nmodel = jury@1\n")
        assert run_tool(cluster, "apply", mine).returncode == 0
    finally:
        cluster.signal("node-1", signal.SIGCONT)
    wait_in_force(cluster, "thawed", time.monotonic())


def test_no_secret_is_logged(cluster: Cluster) -> None:
    secret = (cluster.folder / "peer-secret").read_text()
    for node in cluster.nodes:
        text = (cluster.folder / f"{node}.log").read_text()
        assert API_KEY not in text
        assert secret not in text
        for line in text.splitlines():
            json.loads(line)
