"""The life of one request, from the logs of many nodes."""

import pathlib
import typing as t
from dataclasses import dataclass

import orjson

MAX_REPORTED_LINES = 3  # unreadable lines of one file that are named
# Seconds around a request in which findings on its upstreams may explain it.
CONTEXT_PERIOD = 3.0
COMMON_FIELDS = ("time", "node", "event", "request")


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One log line."""

    time: float
    node: str
    event: str
    request: str
    fields: t.Mapping[str, t.Any]

    def describe(self, start: float) -> str:
        """Return a line for a person, with seconds since `start`."""
        parts = []
        for name, value in self.fields.items():
            if value is not None:
                parts.append(f"{name}={value}")
        offset = self.time - start
        return f"{offset:+9.3f} s  {self.node}  {self.event}  {' '.join(parts)}"


@dataclass(frozen=True, slots=True)
class History:
    """What the logs say of one request.

    Attributes
    ----------
    request_records : tuple of LogRecord
        Its own lines, in order of time.
    context_records : tuple of LogRecord
        Findings on its upstreams, and changes of configuration, around it.
    unreadable : tuple of str
        What could not be read, one sentence for each file.
    """

    request_records: tuple[LogRecord, ...]
    context_records: tuple[LogRecord, ...]
    unreadable: tuple[str, ...]


def read_history(paths: t.Iterable[pathlib.Path], request: str) -> History:
    """Return what log files say of a request."""
    records: list[LogRecord] = []
    unreadable = []
    for path in paths:
        unreadable_lines: list[int] = []
        with path.open("rb") as lines:
            for number, line in enumerate(lines, 1):
                record = _parse_line(line)
                if record is not None:
                    records.append(record)
                elif b"{" in line:
                    unreadable_lines.append(number)
        if unreadable_lines:
            named = ", ".join(
                str(number) for number in unreadable_lines[:MAX_REPORTED_LINES]
            )
            unreadable.append(
                f"{path}: {len(unreadable_lines)} unreadable lines, such as {named}"
            )
    records.sort(key=lambda record: record.time)
    request_records = [record for record in records if record.request == request]
    context_records = _find_context(records, request_records) if request_records else []
    return History(tuple(request_records), tuple(context_records), tuple(unreadable))


def _parse_line(line: bytes) -> LogRecord | None:
    """Return a line's record; collectors may have put something before it."""
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(line[start:])
        return LogRecord(
            float(fields["time"]),
            str(fields["node"]),
            str(fields["event"]),
            str(fields.get("request") or ""),
            {k: v for k, v in fields.items() if k not in COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _find_context(
    records: t.Iterable[LogRecord], request_records: t.Sequence[LogRecord]
) -> t.Iterator[LogRecord]:
    upstreams = _find_upstreams(request_records)
    nodes = {record.node for record in request_records}
    begin, end = (
        request_records[0].time - CONTEXT_PERIOD,
        request_records[-1].time + CONTEXT_PERIOD,
    )
    for record in records:
        if record.request or not begin <= record.time <= end:
            continue
        if record.fields.get("upstream") in upstreams or (
            record.node in nodes and "upstream" not in record.fields
        ):
            yield record


def _find_upstreams(request_records: t.Iterable[LogRecord]) -> set[str]:
    names: set[str] = set()
    for record in request_records:
        for part in str(record.fields.get("path", "")).split():
            names.add(part.rpartition(":")[0])
        names.add(str(record.fields.get("upstream", "")))
    return names - {""}
