"""A machine is partitioned from all workers; idempotent requests run on too many.

Four nodes of a small site, three plain workers whose status look-ups fail as often as
the site's do. One node loses its links to all workers for a while, three times; the
clients, the store and the other nodes still reach it. Its clients look up statuses all
the while.
"""

import collections
import pathlib

import trio
from review.harness.client import DEADLINE, Call, Client
from review.harness.deployment import (
    Deployment,
    Node,
    find_ports,
    make_configuration,
    run_case,
)
from review.harness.worker import Worker, group_by_request
from tests.soak.proxy import Cut, Link

ERROR_SHARE = 0.14  # of status look-ups, as the site file has it
MAX_ATTEMPTS = 2  # of the route, as the site file has it
MOST_REQUESTS = 3  # the rule's bound
CUTS = (3.0, 20.0, 37.0)  # seconds from the start of traffic
CUT_LENGTH = 12.0  # seconds
LENGTH = 52.0  # seconds of traffic
CLIENTS = 15
PAUSE = 0.15  # seconds between two requests of a client


async def start_nodes(deployment: Deployment, links: list[Link]) -> Node:
    """Start four nodes; return the one that has links of its own to the workers."""
    view = {}
    for worker in deployment.workers:
        link = Link(worker.address)
        await deployment.nursery.start(link.run)
        links.append(link)
        view[worker.address] = link.address
    (port,) = find_ports("127.0.0.1", 1)
    store = deployment.store
    await deployment.nursery.start(store.run_view, port, view)
    for number in range(4):
        address = store.address if number else f"127.0.0.1:{port}"
        seeds = [f"{node.ip}:{node.control}" for node in deployment.nodes[:3]]
        node = Node(f"edge-{number}", deployment.folder, address, seeds)
        deployment.nodes.append(node)
    for node in deployment.nodes:
        node.start()
    for node in deployment.nodes:
        await node.wait_ready()
    return deployment.nodes[0]


async def look_up(
    node: Node, deployment: Deployment, calls: list[Call], until: float
) -> None:
    """Look up statuses on a kept connection."""
    client = Client(node, deployment.record)
    while trio.current_time() < until:
        calls.append(await client.ask("GET", "/status/1", b"", DEADLINE))
        await trio.sleep(PAUSE)
    await client.close()


async def play(deployment: Deployment, trouble: bool) -> str:
    """Play the case; return the rule that was broken, if any."""
    record = deployment.record
    await deployment.start_store(make_configuration(7))
    workers = [
        Worker(f"i-{number}", error_share=ERROR_SHARE, note=record.note)
        for number in range(3)
    ]
    await deployment.add_workers(*workers)
    links: list[Link] = []
    node = await start_nodes(deployment, links)
    begun = trio.current_time()
    calls: list[Call] = []
    async with trio.open_nursery() as nursery:
        for _ in range(CLIENTS):
            nursery.start_soon(look_up, node, deployment, calls, begun + LENGTH)
        for at in CUTS if trouble else ():
            await trio.sleep_until(begun + at)
            record.say(f"{node.name} is partitioned from all workers")
            for link in links:
                link.cut(Cut.RESET)
            await trio.sleep(CUT_LENGTH)
            record.say(f"{node.name} reaches the workers again")
            for link in links:
                link.restore()
    passed_on = group_by_request(workers)
    counts: collections.Counter[int] = collections.Counter()
    for call in calls:
        ran_on = {each.worker for each in passed_on.get(call.name, ()) if each.ran}
        counts[len(ran_on)] += 1
        if len(ran_on) > MAX_ATTEMPTS:
            record.say(f"{call.name} ran on {', '.join(sorted(ran_on))}")
    record.say(f"requests by the number of workers that ran them: {dict(counts)}")
    broken = sum(count for ran_on, count in counts.items() if ran_on > MAX_ATTEMPTS)
    if broken > MOST_REQUESTS:
        record.say(f"BUDGET is broken: {broken} requests ran on more than two workers")
        return "BUDGET"
    record.say("BUDGET held")
    return ""


if __name__ == "__main__":
    raise SystemExit(run_case(play, pathlib.Path(__file__).parent / "record.txt"))
