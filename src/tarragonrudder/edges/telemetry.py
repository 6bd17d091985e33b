"""Records decisions as log lines and counters, latencies as histograms."""

import typing as t
from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from tarragonrudder.edges.decision_log import DecisionLog
from tarragonrudder.edges.statsd_metrics import StatsdMetrics

PREFIX = "tarragonrudder"
# Upper bounds of histogram buckets, in seconds: around the callers' latency targets
# (some hundred milliseconds) and their timeouts (seconds).
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0)
RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0)
DELAY_BUCKETS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """The definition of a metric; `buckets` is empty for a counter or gauge."""

    name: str
    kind: t.Literal["counter", "gauge", "histogram"]
    help: str
    label: str = ""
    buckets: tuple[float, ...] = ()


METRICS = (
    MetricSpec("decisions", "counter", "Decisions and findings by log event", "event"),
    MetricSpec("refusals", "counter", "Requests refused by the router", "reason"),
    MetricSpec("store_calls", "counter", "Calls of the platform's store", "outcome"),
    MetricSpec(
        "lines_dropped", "gauge", "Log lines that were left out since the start"
    ),
    MetricSpec("requests_running", "gauge", "Requests that have not ended"),
    MetricSpec("intake_connections", "gauge", "Clients' connections", "listener"),
    MetricSpec("intake_bytes", "gauge", "Bytes of unanswered requests", "listener"),
    MetricSpec(
        "intake_closed",
        "gauge",
        "Connections closed beyond a limit since the start",
        "listener",
    ),
    MetricSpec("requests_waiting", "gauge", "Requests that wait for a path"),
    MetricSpec(
        "requests_waiting_by_level",
        "gauge",
        "Requests that wait, by service and priority level",
        "level",
    ),
    MetricSpec("room_freed", "gauge", "Streams that ended, a second", "service"),
    MetricSpec("levels_starved", "gauge", "Priority levels that begin too seldom"),
    MetricSpec("retries_spent", "gauge", "Retries in the window", "service"),
    MetricSpec("retries_allowed", "gauge", "Retries allowed in it", "service"),
    MetricSpec("retry_nodes", "gauge", "Nodes taken to share the retry budget"),
    MetricSpec("upstreams", "gauge", "Registered upstreams by state", "state"),
    MetricSpec("upstreams_limited", "gauge", "Upstreams that named a limit"),
    MetricSpec("upstreams_resting", "gauge", "Upstreams that asked for a rest"),
    MetricSpec("cut_off", "gauge", "1 while this node reaches no upstream"),
    MetricSpec("requests_for_peers", "gauge", "Requests run for other nodes"),
    MetricSpec("configuration_version", "gauge", "Configuration in force"),
    MetricSpec("store_away", "gauge", "1 while the store does not answer this node"),
    MetricSpec("store_epoch", "gauge", "Restorations of the store, as it names them"),
    MetricSpec(
        "store_view_age_seconds", "gauge", "Time since when changes may be unknown"
    ),
    MetricSpec("store_views", "gauge", "Views of the store learned from peers"),
    MetricSpec("peers", "gauge", "Other nodes that are taken to be alive"),
    MetricSpec(
        "first_event_seconds", "histogram", "First event", buckets=LATENCY_BUCKETS
    ),
    MetricSpec(
        "worst_gap_seconds", "histogram", "Longest pause", buckets=LATENCY_BUCKETS
    ),
    MetricSpec(
        "answer_length_ratio",
        "histogram",
        "Answers' events over the expected ones",
        buckets=RATIO_BUCKETS,
    ),
    MetricSpec("routes_learned", "gauge", "Routes whose answers' length is learned"),
    MetricSpec("call_seconds", "histogram", "Plain answers", buckets=LATENCY_BUCKETS),
    MetricSpec(
        "store_seconds", "histogram", "Calls of the store", buckets=LATENCY_BUCKETS
    ),
    MetricSpec("loop_delay_seconds", "histogram", "Late timers", buckets=DELAY_BUCKETS),
)


class Telemetry:
    """Records decisions in the log and the metrics.

    Parameters
    ----------
    decision_log : DecisionLog
        Receives the log lines.
    statsd : StatsdMetrics or None
        Receives the same counters, gauges and timings, if given.
    """

    def __init__(
        self, decision_log: DecisionLog, statsd: StatsdMetrics | None = None
    ) -> None:
        self._decision_log = decision_log
        self._statsd = statsd
        self._registry = CollectorRegistry()
        self._metrics: dict[str, t.Any] = {}
        # A look-up by label costs the library more than the count itself.
        self._children: dict[tuple[str, str], t.Any] = {}
        for spec in METRICS:
            self._metrics[spec.name] = self._make_metric(spec)

    def log_event(
        self, event: str, request: str | None = None, **fields: t.Any
    ) -> None:
        """Count a decision and log it with its inputs."""
        self.count("decisions", event)
        if event == "refused":
            self.count("refusals", str(fields.get("reason")))
        if event == "ended":
            self._observe_completion(fields)
        self._decision_log.write(event, request, **fields)

    def count(self, name: str, label: str) -> None:
        """Add one to a counter."""
        self._find_child(name, label).inc()
        if self._statsd is not None:
            self._statsd.count(f"{name}.{label}")

    def set(self, name: str, value: float, label: str | None = None) -> None:
        """Set a gauge."""
        if label is None:
            self._metrics[name].set(value)
        else:
            self._find_child(name, label).set(value)
        if self._statsd is not None:
            self._statsd.gauge(name if label is None else f"{name}.{label}", value)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration, in seconds, or a ratio to a histogram."""
        self._metrics[name].observe(seconds)
        if self._statsd is not None:
            self._statsd.time(name, seconds)

    def observe_store_call(self, call: str, outcome: str, seconds: float) -> None:
        """Count a store call and time it, except for watches, which block."""
        self.count("store_calls", f"{call} {outcome}")
        if call != "watch":
            self.observe("store_seconds", seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.set("lines_dropped", self._decision_log.dropped)
        return generate_latest(self._registry)

    def flush(self) -> None:
        """Write buffered log lines, as far as the reader takes them."""
        self._decision_log.flush()

    def _find_child(self, name: str, label: str) -> t.Any:
        child = self._children.get((name, label))
        if child is None:
            child = self._children[name, label] = self._metrics[name].labels(label)
        return child

    def _observe_completion(self, fields: t.Mapping[str, t.Any]) -> None:
        if "events" in fields:
            self.observe("first_event_seconds", fields["first"])
            self.observe("worst_gap_seconds", fields["worst_gap"])
            if fields.get("ratio") is not None:
                self.observe("answer_length_ratio", fields["ratio"])
        else:
            self.observe("call_seconds", fields["took"])

    def _make_metric(self, spec: MetricSpec) -> t.Any:
        name = f"{PREFIX}_{spec.name}"
        labels = [spec.label] if spec.label else []
        match spec.kind:
            case "counter":
                return Counter(name, spec.help, labels, registry=self._registry)
            case "gauge":
                return Gauge(name, spec.help, labels, registry=self._registry)
            case "histogram":
                return Histogram(
                    name,
                    spec.help,
                    labels,
                    registry=self._registry,
                    buckets=spec.buckets,
                )
