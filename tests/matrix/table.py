"""Cells of the fault matrix and how each is printed."""

import functools
import typing as t
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Proved:
    """The cell's check runs on a virtual clock and raises if it fails."""

    check: t.Callable[[], None]


@dataclass(frozen=True, slots=True)
class ProvedByProcesses:
    """A test with real processes proves it; `test` is its pytest name."""

    test: str


@dataclass(frozen=True, slots=True)
class Impossible:
    """The fault can't happen at this step."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotProved:
    """Nothing proves the cell yet."""

    reason: str


Verdict: t.TypeAlias = Proved | ProvedByProcesses | Impossible | NotProved


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault, or a pair of them, at one step of an area's work."""

    area: str
    step: str
    fault: str
    verdict: Verdict

    @property
    def name(self) -> str:
        """Stable name, such as ``records: write intent: answer lost``."""
        return f"{self.area}: {self.step}: {self.fault}"


def prove(check: t.Callable[..., None], *arguments: str) -> Proved:
    """Return the verdict of a cell that a check of these arguments proves."""
    bound: t.Any = functools.partial(check, *arguments)
    bound.__name__ = check.__name__
    return Proved(bound)


def cross(
    area: str,
    steps: t.Sequence[str],
    faults: t.Sequence[tuple[str, ...]],
    decide_verdict: t.Callable[[str, tuple[str, ...]], Verdict],
) -> list[Cell]:
    """Return the cells of each step with each fault or pair of faults."""
    cells = []
    for step in steps:
        for combination in faults:
            cells.append(
                Cell(
                    area,
                    step,
                    " and ".join(combination),
                    decide_verdict(step, combination),
                )
            )
    return cells
