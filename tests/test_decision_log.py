"""The decision log: rate limits, whole lines, readers that are stuck or gone."""

import fcntl
import json
import os
import time

import pytest

from tarragonrudder.edges.decision_log import BUFFER_BYTES, DecisionLog
from tarragonrudder.edges.telemetry import Telemetry


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += part


def test_a_line_has_its_fields(pipe):
    reader, writer = pipe
    DecisionLog("n1", writer).write("refused", "r1", status=503, reason="full")
    (line,) = read_lines(reader)
    assert line["event"] == "refused" and line["request"] == "r1"
    assert (line["node"], line["status"], line["reason"]) == ("n1", 503, "full")
    assert abs(line["time"] - time.time()) < 5.0


def test_too_many_lines_are_counted(pipe):
    reader, writer = pipe
    decision_log = DecisionLog("n1", writer)
    for _ in range(60):
        decision_log.write("placed", "r")
    lines = read_lines(reader)
    assert 0 < len(lines) < 60
    assert decision_log.dropped == 60 - len(lines)


def test_a_stuck_reader_delays_nothing(pipe):
    reader, writer = pipe
    decision_log = DecisionLog("n1", writer)
    begun = time.perf_counter()
    for number in range(20_000):
        decision_log.write(f"event-{number % 500}", "r", text="x" * 200)
    assert time.perf_counter() - begun < 5.0
    assert decision_log.dropped > 0
    assert len(decision_log._buffer) < BUFFER_BYTES + 1024
    first = read_lines_partly(reader)
    assert first["node"] == "n1"


def read_lines_partly(reader):
    return json.loads(os.read(reader, 65536).splitlines()[0])


def test_failures_go_before_routine(pipe):
    _, writer = pipe
    decision_log = DecisionLog("n1", writer)
    number = 0
    while len(decision_log._buffer) <= BUFFER_BYTES // 2:
        decision_log.write(f"event-{number}", "r", text="x" * 2000)
        number += 1
    held = len(decision_log._buffer)
    decision_log.write("ended", "r")
    assert len(decision_log._buffer) == held
    decision_log.write("refused", "r")
    assert len(decision_log._buffer) > held


def test_a_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    decision_log = DecisionLog("n1", writer)
    decision_log.write("refused", "r")
    assert decision_log.dropped == 1
    os.close(writer)


def test_decisions_are_counted(pipe):
    telemetry = Telemetry(DecisionLog("n1", pipe[1]))
    telemetry.log_event("refused", "r1", reason="all paths are full")
    telemetry.log_event("ended", "r2", events=3, first=0.1, worst_gap=0.2, took=1.0)
    telemetry.log_event("ended", "r3", took=0.05)
    telemetry.observe_store_call("kv", "200", 0.004)
    text = telemetry.render().decode()
    assert 'tarragonrudder_decisions_total{event="refused"} 1.0' in text
    assert 'tarragonrudder_refusals_total{reason="all paths are full"} 1.0' in text
    assert "tarragonrudder_worst_gap_seconds_count 1.0" in text
    assert "tarragonrudder_call_seconds_count 1.0" in text
