"""History of one request, collected from the logs of many nodes."""

import pathlib
import typing as t
from dataclasses import dataclass

import orjson

MAX_REPORTED_LINES = 3  # line numbers reported for each file with unreadable lines
# Seconds before and after a request in which log lines about its upstreams may
# explain what happened to it.
CONTEXT_PERIOD = 3.0
COMMON_FIELDS = ("time", "node", "event", "request")


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A parsed log line."""

    time: float
    node: str
    event: str
    request: str
    fields: t.Mapping[str, t.Any]

    def describe(self, start: float) -> str:
        """Return a human-readable line with the seconds since `start`."""
        parts = []
        for name, value in self.fields.items():
            if value is not None:
                parts.append(f"{name}={value}")
        offset = self.time - start
        return f"{offset:+9.3f} s  {self.node}  {self.event}  {' '.join(parts)}"


@dataclass(frozen=True, slots=True)
class History:
    """Log records that belong to one request or may explain it.

    Attributes
    ----------
    request_records : tuple of LogRecord
        Records of the request itself, ordered by time.
    context_records : tuple of LogRecord
        Records of its upstreams and of configuration changes, shortly before,
        during and after it.
    unreadable : tuple of str
        One sentence for each file that has unreadable lines.
    """

    request_records: tuple[LogRecord, ...]
    context_records: tuple[LogRecord, ...]
    unreadable: tuple[str, ...]


def read_history(paths: t.Iterable[pathlib.Path], request: str) -> History:
    """Return the history of a request from log files."""
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
    """Return the record in a line, or None if there is no valid one.

    Log collectors may prepend their own fields to the JSON object.
    """
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
