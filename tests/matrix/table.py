"""Cells of the fault matrix and their verdicts."""

import functools
import typing as t
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Proved:
    """A check on a virtual clock covers the cell; it raises if the cell fails."""

    check: t.Callable[[], None]


@dataclass(frozen=True, slots=True)
class ProvedByProcesses:
    """A test with real processes covers the cell; `test` is its pytest node ID."""

    test: str


@dataclass(frozen=True, slots=True)
class Impossible:
    """The fault can't occur at this step."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotProved:
    """Nothing covers the cell yet."""

    reason: str


Verdict: t.TypeAlias = Proved | ProvedByProcesses | Impossible | NotProved


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault or pair of faults at one step of an area."""

    area: str
    step: str
    fault: str
    verdict: Verdict

    @property
    def name(self) -> str:
        """Stable name, such as ``records: write intent: answer lost``."""
        return f"{self.area}: {self.step}: {self.fault}"


def prove(check: t.Callable[..., None], *arguments: str) -> Proved:
    """Return the verdict of a cell that is covered by a check of these arguments."""
    bound: t.Any = functools.partial(check, *arguments)
    bound.__name__ = check.__name__
    return Proved(bound)


def cross(
    area: str,
    steps: t.Sequence[str],
    faults: t.Sequence[tuple[str, ...]],
    decide_verdict: t.Callable[[str, tuple[str, ...]], Verdict],
) -> list[Cell]:
    """Return a cell for each step and each combination of faults."""
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
