"""What the platform does to processes, and what its rules count."""

import signal
import typing as t

import trio
from review.harness.client import DEADLINE, Call
from review.harness.deployment import MEMORY_MB, Deployment, Node
from review.harness.worker import Worker, group_by_request

RESTART_DELAY = 0.5  # seconds
LOOK_PERIOD = 0.005  # seconds between looks at the memory
MOST_ENDS = 2  # of a machine's process, in the rule on faults
MOST_MACHINES = 1  # on which processes may end more often


async def watch_memory(node: Node, deployment: Deployment, ends: list[str]) -> None:
    """Do what the platform does to a process that exceeds its memory."""
    while True:
        await trio.sleep(LOOK_PERIOD)
        peak = node.measure_memory("VmHWM")
        if node.code is None and peak <= MEMORY_MB:
            continue
        ends.append(node.name)
        why = (
            f"exceeds {MEMORY_MB} MiB: {peak:.0f} MiB"
            if node.code is None
            else f"ended: {node.code}"
        )
        deployment.record.say(f"{node.name} {why}; it is killed and started again")
        node.signal(signal.SIGKILL)
        node.process.wait()
        await trio.sleep(RESTART_DELAY)
        node.start()


def find_lost(calls: t.Iterable[Call], workers: t.Iterable[Worker]) -> list[Call]:
    """Return the requests of kept connections that LOST counts.

    They reached a sound worker, and the connection ended without a complete answer
    before the client gave up.
    """
    passed_on = group_by_request(workers)
    return [
        call
        for call in calls
        if call.kept
        and call.name in passed_on
        and not call.whole
        and call.ended - call.begun < DEADLINE - 0.1
    ]


def judge_ends(deployment: Deployment, ends: t.Sequence[str]) -> str:
    """Return the rule that processes which ended by themselves broke, if any.

    Parameters
    ----------
    ends : sequence of str
        The node of each end.
    """
    counts = {node.name: ends.count(node.name) for node in deployment.nodes}
    deployment.record.say(f"processes that ended by themselves: {counts}")
    if sum(count > MOST_ENDS for count in counts.values()) > MOST_MACHINES:
        deployment.record.say("Fault: they ended three times on two machines or more")
        return "Fault"
    deployment.record.say("no fault")
    return ""
