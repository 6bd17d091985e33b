"""Checks the invariants of a run from its journals and receipts alone.

The stand-ins write the journals; a receipt holds what one caller received. Each
check returns its findings, an empty list if the invariant holds.
"""

import collections
import typing as t
from dataclasses import dataclass, field

from tests.standins.model import expect_answer

Entry: t.TypeAlias = t.Mapping[str, t.Any]


@dataclass(frozen=True, slots=True)
class Completed:
    """The answer was terminated properly."""

    finish_reason: str = "length"


@dataclass(frozen=True, slots=True)
class Failed:
    """The answer ended with a typed error."""

    kind: str
    run_state: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class CallerClosed:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The node died, which broke the caller's connection."""


Ending: t.TypeAlias = Completed | Failed | CallerClosed | ConnectionLost


@dataclass(slots=True)
class Receipt:
    """What one caller requested and received; `ending` is None until it ends."""

    request: str
    messages: t.Any
    length: int
    tokens: list[str] = field(default_factory=list)
    ending: Ending | None = None


def check_layer_order(entries: t.Sequence[Entry], layer_count: int) -> list[str]:
    """Find tokens whose layers did not run exactly once and in order."""
    findings = []
    next_layer: dict[tuple[str, int, int], int] = {}
    last_position: dict[tuple[str, int], int] = {}
    for entry in sorted(entries, key=lambda entry: entry["time"]):
        if entry["kind"] != "layers":
            continue
        run = (entry["request"], entry["attempt"])
        position = entry["position"]
        expected = next_layer.get((*run, position), 0)
        if entry["first"] != expected:
            findings.append(f"{run} token {position}: layer {expected} was expected")
        next_layer[(*run, position)] = entry["last"] + 1
        before = last_position.get(run)
        if before is not None and position != before:
            whole = next_layer[(*run, before)] == layer_count
            if position != before + 1 or not whole:
                findings.append(f"{run} token {position} ran after {before}")
        last_position[run] = position
    return findings


def check_answers(
    receipts: t.Iterable[Receipt], version: str, layer_count: int
) -> list[str]:
    """Find callers whose tokens deviate from their own answer in order."""
    findings = []
    for receipt in receipts:
        expected = expect_answer(receipt.messages, version, layer_count, receipt.length)
        name = receipt.request
        if receipt.tokens != expected[: len(receipt.tokens)]:
            findings.append(f"{name} received tokens of another answer")
        if isinstance(receipt.ending, Completed) and receipt.tokens != expected:
            findings.append(f"{name} received a terminator after a partial answer")
        if receipt.ending is None:
            findings.append(f"{name} received neither a terminator nor an error")
    return findings


def check_token_source(
    entries: t.Sequence[Entry], receipts: t.Iterable[Receipt], layer_count: int
) -> list[str]:
    """Find delivered tokens for which no attempt ran all layers."""
    layers: collections.Counter[tuple[str, int, int]] = collections.Counter()
    whole: set[tuple[str, int]] = set()
    for entry in entries:
        if entry["kind"] != "layers":
            continue
        key = (entry["request"], entry["attempt"], entry["position"])
        layers[key] += entry["last"] - entry["first"] + 1
        if layers[key] == layer_count:
            whole.add((entry["request"], entry["position"]))
    findings = []
    for receipt in receipts:
        for position in range(len(receipt.tokens)):
            if (receipt.request, position) not in whole:
                findings.append(
                    f"{receipt.request} token {position} was run by no attempt"
                )
    return findings


def check_run_states(
    entries: t.Sequence[Entry], receipts: t.Iterable[Receipt]
) -> list[str]:
    """Find failures whose reported run state contradicts the journals."""
    ran = {entry["request"] for entry in entries if entry["kind"] == "layers"}
    findings = []
    for receipt in receipts:
        if not isinstance(receipt.ending, Failed):
            continue
        if receipt.ending.run_state == "not_run" and receipt.request in ran:
            findings.append(f"{receipt.request} ran but was reported as not run")
        if receipt.tokens and receipt.ending.run_state != "run":
            findings.append(
                f"{receipt.request} sent tokens but was not reported as run"
            )
    return findings


def check_leaving_upstreams(
    entries: t.Sequence[Entry], left: t.Mapping[str, float], grace: float = 5.0
) -> list[str]:
    """Find new work on an upstream over `grace` seconds after it began to leave."""
    findings = []
    seen: set[tuple[str, str, int]] = set()
    for entry in sorted(entries, key=lambda entry: entry["time"]):
        if entry["kind"] != "layers":
            continue
        upstream = entry["upstream"]
        work = (upstream, entry["request"], entry["attempt"])
        new = work not in seen
        seen.add(work)
        if new and entry["time"] > left.get(upstream, float("inf")) + grace:
            findings.append(f"{upstream} was leaving and got {work[1:]}")
    return findings


def check_crash_limit(entries: t.Sequence[Entry], limit: int = 2) -> list[str]:
    """Find prompts that crashed more than `limit` upstreams."""
    crashed: dict[str, set[str]] = {}
    for entry in entries:
        if entry["kind"] == "crashing":
            name = str(entry["messages"])
            crashed.setdefault(name, set()).add(entry["upstream"])
    findings = []
    for name, upstreams in crashed.items():
        if len(upstreams) > limit:
            findings.append(f"{name} crashed {sorted(upstreams)}")
    return findings


def check_quarantine_refusals(
    entries: t.Sequence[Entry], receipts: t.Iterable[Receipt], limit: int = 2
) -> list[str]:
    """Find quarantine refusals of prompts with fewer than `limit` crashes."""
    seen: collections.Counter[str] = collections.Counter()
    for entry in entries:
        if entry["kind"] == "crashed":
            seen.update(set(entry["requests"]))
    prompts: collections.Counter[str] = collections.Counter()
    all_receipts = list(receipts)
    for receipt in all_receipts:
        prompts[str(receipt.messages)] += seen[receipt.request]
    findings = []
    for receipt in all_receipts:
        match receipt.ending:
            case Failed(kind="request_quarantined"):
                if prompts[str(receipt.messages)] < limit:
                    findings.append(
                        f"{receipt.request} was refused with too few crashes"
                    )
    return findings


def measure_extra_work(entries: t.Sequence[Entry]) -> tuple[float, float]:
    """Return the work of replay and of generation, in layers times tokens."""
    extra = 0.0
    load = 0.0
    for entry in entries:
        if entry["kind"] == "replayed":
            extra += entry["work"]
        if entry["kind"] == "layers":
            load += entry["last"] - entry["first"] + 1
    return extra, load


def check_all(
    entries: t.Sequence[Entry],
    receipts: t.Sequence[Receipt],
    version: str,
    layer_count: int,
) -> list[str]:
    """Return the findings about layers, answers, token sources and run states."""
    return [
        *check_layer_order(entries, layer_count),
        *check_answers(receipts, version, layer_count),
        *check_token_source(entries, receipts, layer_count),
        *check_run_states(entries, receipts),
    ]
