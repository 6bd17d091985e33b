"""Tables and JSON on standard output."""

import dataclasses
import typing as t

import orjson


def print_json(value: t.Any) -> None:
    """Print a data class or another value as one JSON document."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        value = dataclasses.asdict(value)
    text = orjson.dumps(value, option=orjson.OPT_INDENT_2, default=str)
    print(text.decode())


def print_table(header: t.Sequence[str], rows: t.Sequence[t.Sequence[str]]) -> None:
    """Print rows as a table; each column is as wide as its widest cell."""
    lines = [tuple(header), *[tuple(row) for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
