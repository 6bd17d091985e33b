"""Metrics sent to statsd over UDP."""

import statsd

PREFIX = "tarragonrudder"


class StatsdMetrics:
    """Counters, gauges and timings; a no-op without a statsd address."""

    def __init__(self, host: str | None, port: int) -> None:
        self._client: statsd.StatsClient | None = None
        if host is not None:
            self._client = statsd.StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration, given in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
