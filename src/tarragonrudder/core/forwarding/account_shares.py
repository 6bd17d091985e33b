"""Streams of each client account that run, and whose turn comes first for it."""


class AccountShares:
    """Counts what runs of each account on this node.

    Load pattern: one account of many sends many times its usual. Among requests as
    urgent, those of the accounts of which fewest run get the room that is freed.
    """

    def __init__(self) -> None:
        self._running: dict[tuple[str, str], int] = {}

    def start(self, service: str, account: str) -> None:
        """Count a stream that begins."""
        key = (service, account)
        self._running[key] = self._running.get(key, 0) + 1

    def finish(self, service: str, account: str) -> None:
        """Uncount a stream that has ended."""
        key = (service, account)
        count = self._running.get(key, 0) - 1
        if count > 0:
            self._running[key] = count
        else:
            self._running.pop(key, None)

    def get_rank(self, service: str, account: str) -> int:
        """Return a rank that rises by one each time twice as many streams run."""
        return self._running.get((service, account), 0).bit_length()
