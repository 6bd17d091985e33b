"""Rate limits of client accounts that hold over all nodes."""

from tarragonrudder.core.action import Action
from tarragonrudder.core.event import NodeAddress
from tarragonrudder.core.fleet import ClientAccount


class Limits:
    """Token buckets; each node holds its slice of an account's rate."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._share = 1.0
        self._levels: dict[str, tuple[float, float]] = {}

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the list of live nodes."""
        self._share = 1.0 / max(1, len(nodes))

    def take(self, account: ClientAccount, now: float) -> float:
        """Take one request from an account's bucket.

        Returns
        -------
        float
            0 if it was there, else the seconds after which to come back.
        """
        rate = account.requests_per_second * self._share
        burst = max(1.0, account.burst * self._share)
        level, since = self._levels.get(account.name, (burst, now))
        level = min(burst, level + (now - since) * rate)
        if level < 1.0:
            self._levels[account.name] = (level, now)
            return (1.0 - level) / rate
        self._levels[account.name] = (level - 1.0, now)
        return 0.0

    def handle_peer(self, node: str, message: object, now: float) -> list[Action]:
        """Handle a peer's message about limits."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Do the periodic work, once a second."""
        return []
