import pytest

from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain.event import Event, StopRequested
from tarragonrudder.core.node.node import Node
from tests.matrix.stop import Scenario


def stop_at_once(node: Node, event: Event, now: float) -> list[actions.Action]:
    """Stop without draining."""
    if isinstance(event, StopRequested):
        return [actions.StopNode()]
    return _HANDLE(node, event, now)


def refuse_at_once(node: Node, event: Event, now: float) -> list[actions.Action]:
    """Refuse new work while the load balancer still sends it."""
    decided = _HANDLE(node, event, now)
    if isinstance(event, StopRequested):
        node._drain._closed_at = now
    return decided


def never_stop(node: Node, event: Event, now: float) -> list[actions.Action]:
    """Drain but never stop."""
    decided = _HANDLE(node, event, now)
    return [item for item in decided if not isinstance(item, actions.StopNode)]


_HANDLE = Node.handle


@pytest.mark.parametrize(
    ("variant", "finding"),
    [
        (stop_at_once, "ended with ConnectionLost"),
        (refuse_at_once, "ended with Failed"),
        (never_stop, "did not come to hold"),
    ],
)
def test_broken_stop_is_caught(
    monkeypatch: pytest.MonkeyPatch, variant: object, finding: str
) -> None:
    monkeypatch.setattr(Node, "handle", variant)
    scenario = Scenario("announce", ("no fault",), 1)
    try:
        scenario.execute()
        findings = scenario.find_faults()
    except TimeoutError as error:
        findings = [str(error)]
    assert any(finding in item for item in findings), findings
