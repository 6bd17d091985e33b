"""Which clients' connections are closed when they hold too much of a node."""

import enum
import math
from collections import Counter
from dataclasses import dataclass, field

# Bytes that a parsed header field takes beyond its text.
FIELD_BYTES = 400
# Share of a limit that is freed at a time, so that a flood of connections isn't
# compared with all others each time.
SHED_SHARE = 1 / 16


class IntakeState(enum.Enum):
    """What a connection is doing."""

    UNUSED = "unused"  # no request has been served on it
    READING = "reading"  # a part of a request has arrived
    SERVED = "served"
    IDLE = "idle"  # waits for another request


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits on what all clients' connections hold together.

    Attributes
    ----------
    total_bytes : int
        Bytes of requests that have arrived and whose answer has not ended.
    connections : int
        Open connections.
    """

    total_bytes: int
    connections: int


@dataclass(frozen=True, slots=True)
class IntakeShares:
    """Shares of a VM's memory and sockets that clients of a listener may hold."""

    memory: float
    sockets: float


# What is sent on to an upstream is held twice for a while. The rest of the sockets is
# for connections to upstreams and peers.
FRONT_SHARES = IntakeShares(memory=1 / 4, sockets=0.6)
SIDE_SHARES = IntakeShares(memory=1 / 16, sockets=0.1)
RESERVED_FDS = 200  # descriptors for files
MIN_CONNECTIONS = 16


def derive_limits(shares: IntakeShares, memory: int, max_fds: int) -> IntakeLimits:
    """Return the limits for a VM with `memory` bytes and `max_fds` descriptors."""
    sockets = max(0, max_fds - RESERVED_FDS)
    return IntakeLimits(
        total_bytes=int(shares.memory * memory),
        connections=max(MIN_CONNECTIONS, int(shares.sockets * sockets)),
    )


@dataclass(eq=False, slots=True)
class Holding:
    """What one connection holds.

    Attributes
    ----------
    client : str
        Address of the client, without its port.
    held : int
        Bytes that have arrived of its request.
    since : float
        When it entered its state.
    was_served : bool
        Whether a request has been served on it.
    """

    client: str
    since: float
    state: IntakeState = IntakeState.UNUSED
    held: int = 0
    was_served: bool = False


@dataclass(slots=True)
class _Client:
    held: int = 0
    states: Counter[IntakeState] = field(default_factory=Counter)

    @property
    def connections(self) -> int:
        return self.states.total()


class IntakeBudget:
    """Counts what connections hold, and chooses whom to close beyond the limits.

    Load pattern: clients outside the limits send many bodies, heads or connections that
    never end. A request that is being served isn't given up for them, and of the
    others those go first that hold most for longest, of the client address that holds
    most. Connections on which requests were served go last.

    Parameters
    ----------
    limits : IntakeLimits
        Limits in force.

    Attributes
    ----------
    held : int
        Bytes that all connections hold.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self.limits = limits
        self.held = 0
        self._holdings: dict[Holding, None] = {}
        self._clients: dict[str, _Client] = {}

    def __len__(self) -> int:
        return len(self._holdings)

    def open(self, client: str, now: float) -> tuple[Holding, list[Holding]]:
        """Add a connection.

        Returns
        -------
        holding : Holding
            The new connection; it is among the others if it is to be refused.
        closing : list of Holding
            Connections to close, no longer counted.
        """
        holding = Holding(client, now)
        self._holdings[holding] = None
        self._clients.setdefault(client, _Client()).states[holding.state] += 1
        if len(self._holdings) <= self.limits.connections:
            return holding, []
        return holding, self._shed_connections(holding, now)

    def hold(self, holding: Holding, size: int, now: float) -> list[Holding]:
        """Set the bytes that a connection holds; return the connections to close.

        The connection itself is among them if nothing else can be freed. One that is
        being served, or alone holds anything, is never closed.
        """
        if holding not in self._holdings:
            return [holding]
        if holding.state in (IntakeState.UNUSED, IntakeState.IDLE):
            self._enter(holding, IntakeState.READING, now)
        has_grown = size > holding.held
        self._change(holding, size - holding.held)
        if not has_grown or not self.is_full or self.held == holding.held:
            return []
        return self._shed_bytes(holding, now)

    @property
    def is_full(self) -> bool:
        """Whether connections hold more than the limit."""
        return self.held > self.limits.total_bytes

    def serve(self, holding: Holding, now: float) -> bool:
        """Note that a request has arrived in whole; False if it can't be served.

        Its connection has been closed then.
        """
        if holding not in self._holdings:
            return False
        self._enter(holding, IntakeState.SERVED, now)
        return True

    def end(self, holding: Holding, now: float) -> None:
        """Note that the answer has ended; the connection holds nothing any more."""
        if holding in self._holdings:
            holding.was_served = True
            self._change(holding, -holding.held)
            self._enter(holding, IntakeState.IDLE, now)

    def close(self, holding: Holding) -> None:
        """Remove a connection; does nothing if it has been removed."""
        if holding not in self._holdings:
            return
        del self._holdings[holding]
        self._change(holding, -holding.held)
        client = self._clients[holding.client]
        client.states[holding.state] -= 1
        if not client.connections:
            del self._clients[holding.client]

    def count(self, state: IntakeState) -> int:
        """Return the number of connections in a state."""
        return sum(client.states[state] for client in self._clients.values())

    def _change(self, holding: Holding, size: int) -> None:
        holding.held += size
        self.held += size
        self._clients[holding.client].held += size

    def _enter(self, holding: Holding, state: IntakeState, now: float) -> None:
        states = self._clients[holding.client].states
        states[holding.state] -= 1
        states[state] += 1
        holding.state = state
        holding.since = now

    def _shed_connections(self, newest: Holding, now: float) -> list[Holding]:
        """Close connections of the kind that is missed least, the longest open first.

        Load pattern: connections that are opened and never used, or kept after a
        request that never ends.
        """
        ranked = []
        for holding in self._holdings:
            rank = self._rank(holding)
            if rank is None or holding is newest:
                continue
            client = self._clients[holding.client]
            weight = (now - holding.since) * client.connections
            ranked.append((rank, weight, holding))
        if not ranked:
            self.close(newest)
            return [newest]
        least_missed = max(rank for rank, _, _ in ranked)
        chosen = [entry for entry in ranked if entry[0] == least_missed]
        chosen.sort(key=lambda entry: entry[1], reverse=True)
        count = max(1, math.floor(self.limits.connections * SHED_SHARE))
        closing = [holding for _, _, holding in chosen[:count]]
        for holding in closing:
            self.close(holding)
        return closing

    def _rank(self, holding: Holding) -> int | None:
        """Return how little a connection would be missed; None if it must stay."""
        if holding.state is IntakeState.SERVED:
            return None
        if not holding.was_served:
            return 2 if holding.state is IntakeState.UNUSED else 1
        return 0

    def _shed_bytes(self, newest: Holding, now: float) -> list[Holding]:
        """Close connections with unfinished requests until a share is free.

        None is closed in vain: where that doesn't suffice, the newest one is refused.

        Load pattern: bodies of legal size that stop short of their end.
        """
        candidates = []
        for holding in self._holdings:
            if holding.state is not IntakeState.READING or holding is newest:
                continue
            client = self._clients[holding.client]
            weight = holding.held * (now - holding.since) * client.held
            candidates.append((not holding.was_served, weight, holding))
        is_served = newest.state is IntakeState.SERVED
        freeable = sum(holding.held for _, _, holding in candidates)
        if self.held - freeable > self.limits.total_bytes:
            if is_served or self.held == newest.held:
                return []
            self.close(newest)
            return [newest]
        candidates.sort(key=lambda entry: entry[:2], reverse=True)
        aim = self.limits.total_bytes * (1 - SHED_SHARE)
        closing = []
        for _, _, holding in candidates:
            if self.held <= aim:
                break
            self.close(holding)
            closing.append(holding)
        return closing
