"""Accuracy of rate limits across all nodes, in steady state and after faults.

Run it with ``python -m benchmarks.limit``.
"""

import sys

from tests.rate_limiter_fleet import RateLimiterFleet, count_ideal, make_arrivals

SIZES = (7, 50, 100)
RATES = ((20.0, 20.0), (200.0, 100.0))  # requests a second, burst
PATTERNS = ("even", "one", "half", "moving")
LOAD_FACTORS = (0.95, 2.0)  # offered requests as multiples of the rate
STEADY_FROM, END = 30.0, 100.0  # seconds
FAULT_AT = 20.0  # seconds
WINDOWS = (15, 20, 25, 30, 40, 45, 55)  # starts of 5 s windows


def print_steady() -> None:
    """Print admitted requests relative to one token bucket and to the rate."""
    print("nodes  rate  traffic  offered  of one bucket  of the rate  messages/s/node")
    for count in SIZES:
        for rate, burst in RATES:
            for pattern in PATTERNS:
                for factor in LOAD_FACTORS:
                    bench = RateLimiterFleet(rate, burst, 0, count=count)
                    arrivals = make_arrivals(bench, factor, END, pattern)
                    bench.run(arrivals, END)
                    admitted = bench.count_admitted(STEADY_FROM, END)
                    ideal = count_ideal(arrivals, rate, burst, STEADY_FROM)
                    share = admitted / (END - STEADY_FROM) / rate
                    print(
                        f"{count:5}  {rate:4.0f}  {pattern:7}  {factor:7.2f}"
                        f"  {admitted / ideal:13.3f}  {share:11.3f}"
                        f"  {bench.messages / END / count:15.2f}"
                    )


def print_faults() -> None:
    """Print admission around a fault, at 3 times the rate on 7 nodes."""
    print("\nfault at 20 s; admitted of the rate in the 5 s from " + str(WINDOWS))
    for fault in ("owner dies", "owner cut off", "owner cut off with the platform"):
        for rate, burst in RATES:
            for pattern in ("even", "one"):
                bench = RateLimiterFleet(rate, burst, 0)
                arrivals = make_arrivals(bench, 3.0, 60.0, pattern)
                owner = bench.owner
                other_nodes = [name for name in bench.names if name != owner]
                if fault == "owner dies":
                    bench.kill(owner, FAULT_AT)
                else:
                    loses_platform = fault.endswith("platform")
                    bench.cut(FAULT_AT, [owner, *other_nodes[:2]], loses_platform)
                bench.run(arrivals, 60.0)
                shares = [
                    bench.count_admitted(start, start + 5) / 5 / rate
                    for start in WINDOWS
                ]
                text = " ".join(f"{share:.2f}" for share in shares)
                print(f"{fault:31}  {rate:4.0f}  {pattern:4}  {text}")


def main() -> int:
    """Print both tables."""
    print_steady()
    print_faults()
    return 0


if __name__ == "__main__":
    sys.exit(main())
