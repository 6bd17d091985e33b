import pytest

from tests.matrix.cells import list_cells
from tests.matrix.table import Cell, Proved


@pytest.mark.parametrize(
    "cell",
    [cell for cell in list_cells() if isinstance(cell.verdict, Proved)],
    ids=lambda cell: cell.name,
)
def test_cell(cell: Cell) -> None:
    assert isinstance(cell.verdict, Proved)
    cell.verdict.check()


def test_names_differ() -> None:
    names = [cell.name for cell in list_cells()]
    assert len(names) == len(set(names))
