"""Demonstrates a small fleet of real processes; exits non-zero if a check fails.

Run it with ``make demo``.
"""

import concurrent.futures
import functools
import json
import pathlib
import signal
import sys
import tempfile
import time
import typing as t

import httpx

from tests.standins.caller import retry_until_accepted
from tests.standins.cluster import API_KEY, LAYER_COUNT, Cluster, wait_until
from tests.standins.journal import read_journal
from tests.standins.model import expect_answer

HEADERS = {"authorization": f"Bearer {API_KEY}"}
TIMEOUT = 30.0  # seconds
LOAD_REQUESTS = 24
LOAD_TIMEOUT = 30.0  # seconds until all of them run, retries of refusals included


class CheckFailed(Exception):
    """A check of the demo failed."""


def check(held: bool, what: str) -> None:
    """Print the result of a check; raise if it failed."""
    print(f"   {'ok' if held else 'FAILED'}: {what}", flush=True)
    if not held:
        raise CheckFailed(what)


def ask(
    cluster: Cluster, node: str, text: str, length: int, **options: t.Any
) -> httpx.Response:
    """Send a chat request to a node and return the response."""
    body = {
        "model": "jury",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": length,
        **options,
    }
    url = cluster.addresses[node] + "/v1/chat/completions"
    return httpx.post(url, json=body, headers=HEADERS, timeout=TIMEOUT)


def read_stream(response: httpx.Response) -> tuple[str, bool]:
    """Return the text of a streamed answer and whether it was terminated."""
    parts = []
    done = False
    for line in response.text.splitlines():
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            item = json.loads(line[6:])
            for choice in item.get("choices", []):
                parts.append(choice["delta"].get("content") or "")
    return "".join(parts), done


def expect_text(text: str, length: int) -> str:
    """Return the text of the correct answer."""
    messages = [{"role": "user", "content": text}]
    return "".join(expect_answer(messages, "1", LAYER_COUNT, length))


def read_choices(cluster: Cluster, node: str) -> list[dict[str, t.Any]]:
    """Return the ``chain_chosen`` entries of a node's log."""
    found = []
    for line in (cluster.folder / f"{node}.log").read_text().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if entry.get("event") == "chain_chosen":
            found.append(entry)
    return found


def find_chains(cluster: Cluster) -> list[str]:
    """Return the chains chosen by all nodes, ordered by time."""
    found = []
    for node in cluster.nodes:
        for entry in read_choices(cluster, node):
            found.append((entry["time"], f"{node}: {entry['chain']}"))
    return [text for _, text in sorted(found)]


def count_running(cluster: Cluster, node: str) -> int:
    """Return the number of distinct requests for which a node chose a chain."""
    return len({entry["request"] for entry in read_choices(cluster, node)})


def show_answers(cluster: Cluster) -> None:
    """Request a streamed and an unstreamed answer."""
    print("1. a streamed and a whole answer")
    text, done = read_stream(ask(cluster, "node-0", "stream", 12, stream=True))
    check(text == expect_text("stream", 12) and done, "the streamed answer is whole")
    whole = ask(cluster, "node-1", "whole", 12).json()
    content = whole["choices"][0]["message"]["content"]
    check(content == expect_text("whole", 12), "the whole answer is correct")
    for chain in find_chains(cluster):
        print(f"   chain {chain}")


def show_configuration(cluster: Cluster) -> None:
    """Apply a configuration change and wait until all nodes use it."""
    print("2. one change of configuration")
    later = cluster.folder / "configuration" / "20-alias.ini"
    later.write_text("[route:jury-new]\nmodel = jury@1\n")
    cluster.apply()
    begun = time.monotonic()

    def in_force(node: str) -> bool:
        url = cluster.addresses[node] + "/v1/models"
        items = httpx.get(url, headers=HEADERS, timeout=5.0).json()["data"]
        return "jury-new" in [item["id"] for item in items]

    for node in cluster.nodes:
        wait_until(lambda node=node: in_force(node), 14.0, f"change on {node}")
    check(True, f"in force on all nodes after {time.monotonic() - begun:.1f} s")


def show_record(cluster: Cluster) -> None:
    """Send a non-idempotent call twice with one key through two nodes."""
    print("3. a record sent twice with one key")
    key = f"excusal-{time.time_ns()}"
    answers = []
    for node in ("node-0", "node-1"):
        url = cluster.addresses[node] + "/services/register/excusals"
        headers = {**HEADERS, "idempotency-key": key}
        answer = httpx.post(url, json={"juror": 7}, headers=headers, timeout=TIMEOUT)
        print(f"   {node}: {answer.status_code} {answer.text}")
        answers.append(answer)
    same = answers[0].content == answers[1].content
    check(same and answers[0].status_code == 201, "both answers are the same")
    runs = 0
    for entry in read_journal(cluster.journal_path("register-1")):
        runs += entry["kind"] == "ran" and entry["key"] == key
    check(runs == 1, f"the register ran it {runs} time")


def show_recovery(cluster: Cluster) -> None:
    """Kill a stage while an answer is being generated."""
    print("4. a stage killed in mid-answer")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        future = pool.submit(
            ask, cluster, "node-0", "recover", 150, stream=True, priority=0
        )
        time.sleep(0.6)
        victim = find_chains(cluster)[-1].split()[1].partition("[")[0]
        cluster.signal(victim, signal.SIGKILL)
        text, done = read_stream(future.result())
    print(f"   killed {victim}")
    check(
        text == expect_text("recover", 150) and done, "the answer is whole and correct"
    )
    chains = find_chains(cluster)[-2:]
    check(victim in chains[0] and victim not in chains[1], "another chain went on")
    for chain in chains:
        print(f"   chain {chain}")
    cluster.start_process(victim)


def show_stop(cluster: Cluster) -> None:
    """Stop a node gracefully under load."""
    print("5. a planned stop under load")
    with concurrent.futures.ThreadPoolExecutor(LOAD_REQUESTS) as pool:
        futures = []
        for index in range(LOAD_REQUESTS):
            question = functools.partial(ask, cluster, "node-2", f"load {index}", 60)
            futures.append(pool.submit(retry_until_accepted, question, LOAD_TIMEOUT))
        wait_until(
            lambda: count_running(cluster, "node-2") >= LOAD_REQUESTS,
            LOAD_TIMEOUT,
            "load",
        )
        cluster.signal("node-2", signal.SIGTERM)
        answers = [future.result() for future in futures]
    whole = 0
    for index, answer in enumerate(answers):
        if answer.status_code != 200:
            print("  ", answer.status_code, answer.text[:200])
        else:
            content = answer.json()["choices"][0]["message"]["content"]
            whole += content == expect_text(f"load {index}", 60)
    check(whole == LOAD_REQUESTS, f"{whole} of {LOAD_REQUESTS} answers are whole")
    code = cluster.processes["node-2"].wait(15)
    check(code == 0, "the node ended with exit code 0")


def check_layers(cluster: Cluster) -> None:
    """Check by the engines' journals that no layer ran twice for one token."""
    print("6. the engines' journals")
    seen = set()
    doubled = 0
    for spec in cluster.engines:
        for entry in read_journal(cluster.journal_path(spec.name)):
            if entry["kind"] != "layers":
                continue
            for layer in range(entry["first"], entry["last"] + 1):
                key = (entry["request"], entry["attempt"], entry["position"], layer)
                doubled += key in seen
                seen.add(key)
    check(doubled == 0, f"no layer ran twice in {len(seen)} runs of a layer")


def main() -> int:
    """Run the demo."""
    begun = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder))
        try:
            cluster.start()
            print(f"started {len(cluster.processes)} processes")
            show_answers(cluster)
            show_configuration(cluster)
            show_record(cluster)
            show_recovery(cluster)
            show_stop(cluster)
            check_layers(cluster)
        except (CheckFailed, TimeoutError) as error:
            print(f"demo failed: {error}")
            return 1
        finally:
            cluster.close()
    print(f"demo passed in {time.monotonic() - begun:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
