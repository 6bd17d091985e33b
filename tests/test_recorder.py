import pytest

from tarragonrudder.core.calls.record import (
    Claim,
    Finished,
    Pending,
    Record,
    encode_command,
    encode_record,
)
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.recorder import Recorder
from tarragonrudder.core.domain.action import (
    Action,
    LogDecision,
    ReadKey,
    SendPeerMessage,
    SwapKey,
)
from tarragonrudder.core.domain.event import NodeAddress
from tarragonrudder.core.domain.message import RecordDecided, RecordSubmitted
from tarragonrudder.core.domain.platform_event import KeyRead, Swapped

OPTIONS = RecordOptions(shards=1, slots=2, max_direct_nodes=0)
NODES = tuple(NodeAddress(name, name, "mi-1") for name in ("a", "b"))
CLAIM = Claim("id", "digest", "call-1")
NOW = 1000.0


def make_pair() -> tuple[Recorder, Recorder, str]:
    """Return the recorder of a node, its shard's owner and the owner's name."""
    recorders = {name: Recorder(name, OPTIONS) for name in ("a", "b")}
    for recorder in recorders.values():
        recorder.set_nodes(NODES)
    for name, recorder in recorders.items():
        sent = recorder.submit("probe", CLAIM, NOW + 3.0, NOW)
        owners = [item.node for item in sent if isinstance(item, SendPeerMessage)]
        if owners:
            other = Recorder(name, OPTIONS)
            other.set_nodes(NODES)
            owner = Recorder(owners[0], OPTIONS)
            owner.set_nodes(NODES)
            return other, owner, owners[0]
    raise AssertionError("no node forwards")


def serve(recorder: Recorder, actions: list[Action]) -> list[Action]:
    """Carry out platform calls on an empty platform; return the other actions."""
    left = []
    pending = list(actions)
    while pending:
        match pending.pop(0):
            case ReadKey(tag=tag, key=key):
                value = KeyRead(tag, key, None, 0)
                pending += recorder.handle_platform(value, NOW)
            case SwapKey(tag=tag, key=key):
                pending += recorder.handle_platform(Swapped(tag, key, 1), NOW)
            case other:
                left.append(other)
    return left


def test_owner_decides_for_a_peer() -> None:
    node, owner, name = make_pair()
    (sent, _) = node.submit("t", CLAIM, NOW + 3.0, NOW)
    assert sent == SendPeerMessage(name, RecordSubmitted("t", encode_command(CLAIM)))
    actions = serve(owner, owner.handle_peer("a", sent.message, NOW))
    (reply,) = [item for item in actions if isinstance(item, SendPeerMessage)]
    node.handle_peer(name, reply.message, NOW)
    (decided,) = node.take_results()
    assert decided.record == Record("id", "digest", NOW, Pending("call-1"))


@pytest.mark.parametrize("way", ["timer", "lost"])
def test_silent_owner_is_bypassed(way: str) -> None:
    node, _, name = make_pair()
    (sent, _) = node.submit("t", CLAIM, NOW + 3.0, NOW)
    if way == "timer":
        actions = node.handle_timer("record-forward:t", NOW)
    else:
        actions = node.handle_undelivered(sent.message, NOW)
    serve(node, actions)
    (decided,) = node.take_results()
    assert decided.record is not None
    # The owner's own decision arrives too late and is ignored.
    late = encode_record(Record("id", "digest", NOW, Finished(201, "", b"")))
    node.handle_peer(name, RecordDecided("t", late), NOW)
    assert node.take_results() == []
    # For a while, commands bypass this owner.
    again = node.submit("u", CLAIM, NOW + 3.0, NOW)
    assert not any(isinstance(item, SendPeerMessage) for item in again)


@pytest.mark.parametrize(
    ("sender", "message"),
    [
        ("owner", RecordSubmitted("x", "not JSON")),
        ("owner", RecordSubmitted("x", '["Claim"]')),
        ("owner", RecordDecided("t", "[1]")),
        ("owner", RecordDecided("other", "=")),
        ("stranger", RecordDecided("t", "=")),
    ],
)
def test_bad_message_changes_nothing(
    sender: str, message: RecordSubmitted | RecordDecided
) -> None:
    node, _, name = make_pair()
    node.submit("t", CLAIM, NOW + 3.0, NOW)
    source = name if sender == "owner" else sender
    actions = node.handle_peer(source, message, NOW)
    assert all(isinstance(item, LogDecision) for item in actions)
    assert node.take_results() == []
    # The owner's valid decision is still accepted.
    node.handle_peer(name, RecordDecided("t", "="), NOW)
    assert len(node.take_results()) == 1
