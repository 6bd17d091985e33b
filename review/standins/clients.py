"""Stand-in of clients that send requests at a steady rate."""

import asyncio
import time
import typing as t
from dataclasses import dataclass

from review.standins.deployment import Deployment

PERIOD = 0.1  # seconds between two requests
# Headers that requests to models have; plain services don't read them.
HEADERS = (("Model", "model-a"), ("Token-Usage", "775,216"))


@dataclass(frozen=True)
class Call:
    """A request, and whether it got a whole success."""

    at: float
    route: str
    is_served: bool


async def call_regularly(
    deployment: Deployment, key: str, routes: t.Sequence[str], calls: list[Call]
) -> None:
    """Send requests on routes in turn, whatever becomes of the earlier ones.

    They go to the nodes in rotation in turn; without any, a request isn't served.
    """

    async def call(number: int) -> None:
        at = time.monotonic()
        route = routes[number % len(routes)]
        ready = [node for node in deployment.nodes if node.in_rotation]
        is_served = False
        if ready:
            node = ready[number // len(routes) % len(ready)]
            name = f"{route}-{number}"
            answer = await deployment.request(
                node, name, f"/{route}/{number}", key, headers=HEADERS
            )
            is_served = answer.status == 200 and answer.whole
        calls.append(Call(at, route, is_served))

    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            group.create_task(call(number))
            await asyncio.sleep(PERIOD)


def measure_share(calls: t.Iterable[Call]) -> float:
    """Return the share of calls that were served, 0 without any."""
    served = [call.is_served for call in calls]
    return sum(served) / max(1, len(served))
