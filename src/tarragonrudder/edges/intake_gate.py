"""Applies an intake budget to the connections of a listener."""

import typing as t

import trio

from tarragonrudder.core.admission.intake_budget import (
    Holding,
    IntakeBudget,
    IntakeLimits,
)

LOG_PERIOD = 1.0  # seconds; closes in between are told with the next line
UNLIMITED = IntakeLimits(total_bytes=1 << 62, connections=1 << 31)


class IntakeTicket:
    """One connection's account with the gate of its listener."""

    def __init__(self, gate: "IntakeGate", holding: Holding) -> None:
        self._gate = gate
        self._holding = holding

    @property
    def has_room(self) -> bool:
        """Whether connections hold less than the limit."""
        return not self._gate.budget.is_full

    def hold(self, size: int) -> bool:
        """Set the bytes that the connection holds; False if it must be refused."""
        return self._gate.hold(self._holding, size)

    def serve(self) -> bool:
        """Note that a whole request has arrived; False if the gate has closed it."""
        return self._gate.budget.serve(self._holding, trio.current_time())

    def end(self) -> None:
        """Note that the answer has ended."""
        self._gate.budget.end(self._holding, trio.current_time())

    def close(self) -> None:
        """Note that the connection has closed."""
        self._gate.forget(self._holding)


class IntakeGate:
    """Counts a listener's connections, and closes those that the budget chooses.

    Parameters
    ----------
    name : str
        Name of the listener in the log.
    log : callable
        Receives the log lines, at most one each `LOG_PERIOD`.

    Attributes
    ----------
    closed : int
        Connections closed or refused since the start.
    """

    def __init__(
        self, name: str, limits: IntakeLimits, log: t.Callable[..., None]
    ) -> None:
        self.name = name
        self.budget = IntakeBudget(limits)
        self.closed = 0
        self._log = log
        self._logged = 0  # value of `closed` at the latest log line
        self._logged_at = -LOG_PERIOD
        self._close: dict[Holding, t.Callable[[], None]] = {}

    def open(self, client: str, close: t.Callable[[], None]) -> IntakeTicket | None:
        """Add a connection; return None if it must be closed at once.

        Parameters
        ----------
        client : str
            Address of the client, without its port.
        close : callable
            Closes the connection's socket.
        """
        holding, closing = self.budget.open(client, trio.current_time())
        self._close[holding] = close
        if self._shed(closing, holding):
            self.forget(holding)
            return None
        return IntakeTicket(self, holding)

    def hold(self, holding: Holding, size: int) -> bool:
        """Set the bytes that a connection holds; False if it must be refused."""
        closing = self.budget.hold(holding, size, trio.current_time())
        return not self._shed(closing, holding)

    def forget(self, holding: Holding) -> None:
        """Remove a connection that has closed."""
        self._close.pop(holding, None)
        self.budget.close(holding)

    def report_fault(self, error: Exception) -> None:
        """Log an unexpected error of one connection."""
        self._log("connection_failed", None, reason=repr(error))

    def _shed(self, closing: list[Holding], own: Holding) -> bool:
        """Close the chosen connections; return whether `own` is among them."""
        is_own = False
        for holding in closing:
            self.closed += 1
            if holding is own:
                is_own = True
                continue
            self._close.pop(holding)()
        if closing:
            self._report()
        return is_own

    def _report(self) -> None:
        now = trio.current_time()
        if now - self._logged_at < LOG_PERIOD:
            return
        self._log(
            "intake_closed",
            None,
            listener=self.name,
            closed=self.closed - self._logged,
            held=self.budget.held,
            connections=len(self.budget),
        )
        self._logged = self.closed
        self._logged_at = now


def make_unlimited_ticket() -> IntakeTicket:
    """Return an account of a connection that nothing limits."""
    gate = IntakeGate("", UNLIMITED, lambda *_, **__: None)
    holding, _ = gate.budget.open("", 0.0)
    return IntakeTicket(gate, holding)
