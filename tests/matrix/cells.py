"""The cells of all areas.

The module of each area provides ``list_cells``, which ``AREAS`` lists.
"""

import typing as t

from tests.matrix import answers, configuration, placement, records, stop
from tests.matrix.table import Cell

AREAS: tuple[t.Callable[[], list[Cell]], ...] = (
    answers.list_cells,
    configuration.list_cells,
    placement.list_cells,
    records.list_cells,
    stop.list_cells,
)


def list_cells() -> list[Cell]:
    """Return the cells of all areas."""
    cells: list[Cell] = []
    for list_area in AREAS:
        cells.extend(list_area())
    return cells
