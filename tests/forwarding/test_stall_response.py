import pytest

from tarragonrudder.core.forwarding.stall_response import (
    Detour,
    KeepWaiting,
    Retry,
    choose_stall_response,
)

NAMES = ("a", "b", "c", "d", "e", "f")


@pytest.mark.parametrize(
    ("silent", "culprits", "timeouts", "may_retry", "response"),
    [
        # Others' events pass all stages: a slow path or a silent connection.
        ((), (), 1.0, True, KeepWaiting(ask=False)),
        ((), (), 3.9, True, KeepWaiting(ask=False)),
        ((), (), 4.0, True, Retry(frozenset())),
        ((), (), 9.0, False, KeepWaiting(ask=False)),
        # Few stages are silent.
        (("d",), (), 1.0, True, Detour(frozenset("d"))),
        (("d", "e"), (), 1.0, False, Detour(frozenset("de"))),
        # Too many stages are silent, or the first one is: probe.
        (("c", "d", "e"), (), 1.0, True, KeepWaiting(ask=True)),
        (("a",), (), 1.0, True, KeepWaiting(ask=True)),
        (NAMES, (), 3.9, True, KeepWaiting(ask=True)),
        # Probing named no culprit for long.
        (NAMES, (), 4.0, True, Retry(frozenset(NAMES))),
        (NAMES, (), 9.0, False, KeepWaiting(ask=True)),
        # The culprit is known.
        (NAMES, ("d",), 1.0, True, Detour(frozenset("d"))),
        (NAMES, ("a",), 1.0, True, Retry(frozenset("a"))),
        (NAMES, ("a",), 1.0, False, KeepWaiting(ask=False)),
    ],
)
def test_stall_response(silent, culprits, timeouts, may_retry, response):
    # Load pattern: a stage dies under tens of streams, while others are slow.
    assert (
        choose_stall_response(NAMES, silent, culprits, timeouts, may_retry) == response
    )
