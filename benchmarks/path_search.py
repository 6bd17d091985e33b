"""Time of one path search by the number of engines; prints a table.

Run ``python -m benchmarks.path_search``.
"""

import random
import time

from tests.forwarding.fleet import PROFILE, make_mixed_fleet

from tarragonrudder.core.forwarding.path import PathFinder, ResourceDemand
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker

ENGINE_COUNTS = (37, 86, 205, 602)
SEARCHES = 30


def measure_search(engine_count: int, seed: int = 1) -> float:
    """Return the shortest time of a search in seconds."""
    source = random.Random(seed)
    engines = make_mixed_fleet(engine_count, source)
    usage_tracker = UsageTracker()
    for engine in engines:
        for _ in range(source.randrange(8)):
            usage_tracker.start((engine.name,), 900)
    finder = PathFinder(
        "engines",
        PROFILE,
        usage_tracker,
        SlownessTracker(),
        UpstreamLimits("node-1", source),
        source,
    )
    demand = ResourceDemand(760, 216, "a")
    times = []
    for _ in range(SEARCHES):
        started_at = time.perf_counter()
        finder.find(engines, demand)
        times.append(time.perf_counter() - started_at)
    return min(times)


def main() -> None:
    print("| engines | ms a search |")
    print("|---|---|")
    for count in ENGINE_COUNTS:
        print(f"| {count} | {1000.0 * measure_search(count):.2f} |")


if __name__ == "__main__":
    main()
