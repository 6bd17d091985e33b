"""Quarantine of crashing requests, on one node and across several."""

import random

import pytest

from tarragonrudder.core.answers.quarantine import (
    GOSSIP_DELAY,
    MAX_SUSPECTS,
    QUARANTINE_PERIOD,
    SUSPECT_PERIOD,
    Quarantine,
)
from tarragonrudder.core.answers.recovery import Recovery
from tarragonrudder.core.domain.event import UpstreamProbed
from tarragonrudder.core.domain.message import CrashNoted, FingerprintBlocked
from tarragonrudder.core.membership.gossip import Gossip
from tests import invariants
from tests.standins.fleet_configuration import LAYER_COUNT, make_configuration
from tests.standins.virtual_fleet import VirtualFleet

REFUSAL_TIME = 2.0  # seconds until all nodes refuse
A, B, C, D = "a" * 64, "b" * 64, "c" * 64, "d" * 64


def make_quarantine() -> Quarantine:
    return Quarantine(Gossip(random.Random(1)))


@pytest.mark.parametrize(
    ("crashes", "blocked"),
    [
        ([(A, "u1", True)], set()),
        ([(A, "u1", False), (A, "u2", True)], {A}),
        ([(A, "u1", True), (A, "u1", True)], set()),
        # B has not got past the token of the first crash either.
        ([(A, "u1", True), (B, "u1", True), (A, "u2", True), (B, "u2", True)], set()),
        ([(A, "u1", True), (B, "u1", True), (A, "u2", True), (B, "u3", False)], {A}),
        # B had received tokens before the first crash.
        ([(A, "u1", True), (B, "u1", False), (A, "u2", True), (B, "u2", True)], {A}),
        # B ran on only one crashed upstream.
        ([(A, "u1", True), (B, "u2", True), (A, "u2", True)], {A}),
        # A rack fails.
        (
            [
                (A, "u1", True),
                (B, "rack-0", False),
                (C, "rack-1", False),
                (D, "rack-2", False),
                ("e" * 64, "rack-3", False),
                ("f" * 64, "rack-4", False),
                (A, "u2", True),
            ],
            set(),
        ),
        # Other upstreams crash too, but too few for a shared cause.
        (
            [(A, "u1", True), (B, "u3", False), (C, "u4", False), (A, "u2", True)],
            {A},
        ),
    ],
)
def test_second_crash_blocks_crashing_request(
    crashes: list[tuple[str, str, bool]], blocked: set[str]
) -> None:
    quarantine = make_quarantine()
    for index, (fingerprint, upstream, strong) in enumerate(crashes):
        quarantine.record_crash(fingerprint, upstream, strong, 10.0 + index / 100)
    quarantine.handle_timer(10.1 + GOSSIP_DELAY)
    named = {
        name for name in (A, B, C) if quarantine.get_remaining_block(name, 11.0) > 0
    }
    assert named == blocked


def test_block_clears_other_suspects_and_expires() -> None:
    quarantine = make_quarantine()
    for name in (A, B):
        quarantine.record_crash(name, "u1", False, 10.0)
    quarantine.record_crash(A, "u2", True, 11.0)
    quarantine.handle_timer(12.0)
    assert not quarantine.is_suspect(B)
    assert quarantine.get_remaining_block(A, 12.0) == pytest.approx(QUARANTINE_PERIOD)
    assert quarantine.get_remaining_block(A, 12.0 + QUARANTINE_PERIOD) == 0.0
    # A late report of the explained crash creates no new suspect.
    quarantine.merge(CrashNoted(B, "u1", True, 1.5), 12.5)
    assert not quarantine.is_suspect(B)


def test_relayed_report_does_not_renew_cleared_suspicion() -> None:
    quarantine = make_quarantine()
    quarantine.record_crash(A, "u1", True, 10.0)
    quarantine.clear(A, 11.0)
    quarantine.merge(CrashNoted(A[:32], "u1", True, 2.0), 12.0)
    assert not quarantine.is_suspect(A)


def test_suspicion_expires() -> None:
    quarantine = make_quarantine()
    quarantine.record_crash(A, "u1", True, 10.0)
    quarantine.tick(10.0 + SUSPECT_PERIOD)
    assert len(quarantine) == 0


def test_memory_is_bounded() -> None:
    quarantine = make_quarantine()
    for index in range(2 * MAX_SUSPECTS):
        quarantine.record_crash(f"{index:064}"[::-1], "u1", True, 10.0)
        block = FingerprintBlocked(f"{index:032}"[::-1] + "x", ("u9",), 0.0)
        quarantine.merge(block, 10.0)
    assert len(quarantine) <= 2 * MAX_SUSPECTS


def play_crash(
    text: str, seed: int, node_count: int = 7, loss: float = 0.0
) -> VirtualFleet:
    """Run a crashing request among others, then send it to every node."""
    fleet = VirtualFleet(make_configuration(13), node_count, seed)
    fleet.peer_loss = loss
    for index in range(70):
        fleet.ask(f"node-{index % node_count}", f"question {index}", 50)
        fleet.run(0.01)
    first = fleet.ask("node-0", text, 50)
    receipt = fleet.callers[first].receipt
    fleet.run_until(lambda: receipt.ending is not None)
    fleet.run(REFUSAL_TIME)
    for index in range(node_count):
        again = fleet.ask(f"node-{index}", text, 50)
        ending = fleet.callers[again].receipt.ending
        assert isinstance(ending, invariants.Failed), "not refused at once"
        assert (ending.kind, ending.run_state) == ("request_quarantined", "not_run")
        assert ending.retry_after is not None
        assert 0 < ending.retry_after <= QUARANTINE_PERIOD
    fleet.run(40)
    return fleet


def find_faults(fleet: VirtualFleet) -> list[str]:
    findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
    findings += invariants.check_crash_limit(fleet.journal)
    findings += invariants.check_quarantine_refusals(fleet.journal, fleet.receipts)
    for receipt in fleet.receipts:
        guilty = "CRASH@" in receipt.messages[0]["content"]
        whole = isinstance(receipt.ending, invariants.Completed)
        if whole == guilty:
            findings.append(f"{receipt.request} ended with {receipt.ending}")
    return findings


@pytest.mark.parametrize("text", ["CRASH@0", "CRASH@1", "CRASH@10"])
@pytest.mark.parametrize(("seed", "loss"), [(1, 0.0), (2, 0.0), (3, 0.3)])
def test_only_crashing_request_is_refused(text: str, seed: int, loss: float) -> None:
    assert find_faults(play_crash(text, seed, loss=loss)) == []


@pytest.mark.parametrize("seed", range(4, 12))
def test_two_crashing_requests_at_once(seed: int) -> None:
    fleet = VirtualFleet(make_configuration(13), 7, seed)
    for index in range(35):
        fleet.ask(f"node-{index % 7}", f"question {index}", 50)
    fleet.run(0.3)
    fleet.ask("node-1", "one CRASH@0", 50)
    fleet.ask("node-2", "two CRASH@0", 50)
    fleet.run(60)
    assert find_faults(fleet) == []


def test_fast_restarts_do_not_hide_crashing_request() -> None:
    quarantine = make_quarantine()
    now = 10.0
    for index in range(6):
        now += 1.0
        quarantine.record_crash(A, f"u{index}", True, now)
        quarantine.handle_probe(UpstreamProbed(f"u{index}", True), now + 0.1)
        quarantine.handle_timer(now + 0.5)
        if quarantine.get_remaining_block(A, now + 0.5) > 0:
            break
    assert index < 4


@pytest.mark.parametrize("seed", range(5))
def test_cut_connections_are_not_crashes(seed: int) -> None:
    fleet = VirtualFleet(make_configuration(4), 3, seed)
    fleet.ask("node-0", "one", 30)
    for _ in range(4):
        fleet.run(0.6)
        fleet.engines.cut_stream("request-1")
        fleet.run(0.002)
        fleet.engines.cut_stream("request-1")
    fleet.run(20)
    assert find_faults(fleet) == []


def test_missing_isolation_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Recovery, "_find_excluded", lambda *args: frozenset())
    findings = []
    for seed in range(3):
        fleet = VirtualFleet(make_configuration(4), 7, seed)
        for index in range(42):
            fleet.ask(f"node-{index % 7}", f"question {index}", 50)
        fleet.ask("node-0", "CRASH@5", 50)
        fleet.run(60)
        findings += find_faults(fleet)
    assert findings != []
