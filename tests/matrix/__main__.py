"""Runs and prints the fault matrix.

Exits non-zero if a cell fails that is not listed in ``KNOWN-RED.txt``.
"""

import collections
import pathlib
import sys

from tests.matrix.cells import list_cells
from tests.matrix.table import Cell, Impossible, NotProved, Proved, ProvedByProcesses

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def run_cell(cell: Cell) -> tuple[str, str]:
    """Run a cell; return its result and a remark."""
    match cell.verdict:
        case Proved(check=check):
            try:
                check()
            except Exception as error:  # any exception of a check fails the cell
                return "failed", f"{type(error).__name__}: {error}"
            return "proved", check.__name__
        case ProvedByProcesses(test=test):
            return "by processes", test
        case Impossible(reason=reason):
            return "impossible", reason
        case NotProved(reason=reason):
            return "not proved", reason


def main() -> int:
    """Print all cells and the number of each result; return the exit code."""
    known = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    counts: collections.Counter[str] = collections.Counter()
    unexpected = 0
    for cell in list_cells():
        result, remark = run_cell(cell)
        if result == "failed" and cell.name in known:
            result = "known red"
        unexpected += result == "failed"
        counts[result] += 1
        print(f"{result:12}  {cell.name}  ({remark[:90]})")
    print(", ".join(f"{count} {result}" for result, count in sorted(counts.items())))
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
