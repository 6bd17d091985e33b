"""Cells of the fault matrix and how each is printed."""

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
