"""Daemon that runs one router node on the platform."""

import os
import pathlib
import random
import signal
import socket
import sys
from dataclasses import asdict

import orjson
import trio
from hypercorn.config import Config
from quart import Response
from quart_trio import QuartTrio

from tarragonrudder.core.domain.forwarded_request import Trait
from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.core.forwarding.peer_table import PeerReport
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.windowed_retry_budget import WindowedRetryBudget
from tarragonrudder.edges.background import BackgroundTasks, TaskFailure
from tarragonrudder.edges.decision_log import DecisionLog
from tarragonrudder.edges.guarded_server import GuardedServer
from tarragonrudder.edges.intake_gate import IntakeGate
from tarragonrudder.edges.reach_checker import ReachChecker
from tarragonrudder.edges.relay import Relay
from tarragonrudder.edges.telemetry import Telemetry
from tarragonrudder.errors import SettingsError
from tarragonrudder.platform import protocol
from tarragonrudder.platform.ingress import BALANCER_LAG, Ingress
from tarragonrudder.platform.loading_planner import LoadingPlanner
from tarragonrudder.platform.metadata_store import Lease, MetadataStore, StoreError
from tarragonrudder.platform.node_settings import (
    PlatformNodeSettings,
    read_platform_settings,
)
from tarragonrudder.platform.peer_gossip import PeerGossip
from tarragonrudder.platform.peer_message import MAX_STATE_BYTES
from tarragonrudder.platform.registry import Registry
from tarragonrudder.platform.upstream_client import PlatformUpstreamClient

# The metrics address in deploy/system.toml must match these two.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
MAINTENANCE_PERIOD = 1.0  # seconds between maintenance runs
# A stopping node exits this many seconds before the platform would kill it.
STOP_MARGIN = 0.3
NODE_LEASE_TTL = 6.0  # seconds; peers stop contacting a node that is silent longer
NODE_RENEW_PERIOD = 2.0  # seconds; the lease survives two lost renewals
MAX_SIDE_BODY_BYTES = MAX_STATE_BYTES  # no other body is as long
SIDE_BODY_TIMEOUT = 5  # seconds; peers give up much sooner
DRAIN_POLL_PERIOD = 0.05  # seconds between checks for running requests


class PlatformDaemon:
    """A node: its listeners, its clients and its background tasks.

    Parameters
    ----------
    path : pathlib.Path or None
        Settings file, reloaded on SIGHUP; None disables reloading.
    metrics_port : int
        Port on the node's address that serves the metrics.
    listener : socket.socket or None
        Socket that listens at the callers' address already.

    Attributes
    ----------
    state : ForwardingState
        Routing state and decisions.
    registry : Registry
        Cached view of the metadata store.
    peers : PeerGossip
        State exchange with the other nodes.
    """

    def __init__(
        self,
        path: pathlib.Path | None,
        settings: PlatformNodeSettings,
        metrics_port: int = METRICS_PORT,
        listener: socket.socket | None = None,
    ) -> None:
        self._path = path
        self._listener = listener
        self._metrics_address = f"{settings.ip}:{metrics_port}"
        self._settings = settings
        source = random.Random()
        self._telemetry = Telemetry(DecisionLog(settings.node))
        log = self._telemetry.log_event
        bounds = settings.bounds
        budget = WindowedRetryBudget(
            bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
        )
        self.state = ForwardingState(settings.node, settings.zone, source, budget)
        self._store = MetadataStore(
            settings.platform.address, self._telemetry.observe_store_call
        )
        self._upstreams = PlatformUpstreamClient(
            settings.node, self.state.observe_backpressure, log
        )
        self._relay = Relay(self.state, self._upstreams, log)
        self._level_labels: frozenset[str] = frozenset()
        self._front_gate = IntakeGate("front", settings.front_limits, log)
        self._side_gate = IntakeGate("side", settings.side_limits, log)
        self._ingress = Ingress(
            settings.node,
            self._relay,
            self._get_limits,
            log,
            self._front_gate,
            settings.intake.max_fields,
        )
        self.registry = Registry(
            self._store,
            self.state,
            log,
            source,
            min(bounds.config_ms, bounds.drain_ms) / 1000.0,
            settings.platform.reads_per_s,
        )
        control_address = settings.listen.control or settings.listen.ready
        self.peers = PeerGossip(
            settings.node,
            control_address,
            settings.zone,
            settings.seeds,
            self.state,
            self.registry,
            log,
            source,
            self._relay.notify_streams,
            self._describe,
        )
        self._reach_checker = ReachChecker(
            self.state, self._upstreams, log, source, self._handle_reach_change
        )
        self.registry.on_adopted = self._handle_adopted
        self.registry.hears_peers = self.peers.hears_peers
        self.state.on_news = self.peers.announce
        self.state.on_blocked = self._log_blocked
        self.state.upstream_gate.on_limit = self._log_limit
        self.state.upstream_gate.on_rest = self._log_rest
        self.state.upstream_gate.on_leaving = self._handle_leaving
        self.registry.upstream_entries.on_draining = self._relay.notify_streams
        self._planner = LoadingPlanner(
            settings.node,
            control_address,
            self._store,
            self.registry,
            self.state,
            self._upstreams,
            log,
            source,
        )
        self._control_address = control_address
        self._lease: Lease | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections to this node."""
        if self._ingress.is_stopping or self.state.route_table is None:
            return False
        if not self.state.can_send_directly:
            now = trio.current_time()
            return self.state.peer_table.count_available(now) > 0
        return bool(self.registry.upstream_entries.values)

    async def run(self) -> None:
        """Serve until a planned stop has completed."""
        settings = self._settings
        self.state.retry_budget.start(trio.current_time())
        self._telemetry.log_event("started", zone=settings.zone, ip=settings.ip)
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self._ingress.run, settings.listen.front, False, self._listener
            )
            if settings.relay_address:
                await nursery.start(self._ingress.run, settings.relay_address, True)
            tasks = BackgroundTasks(nursery, self._log_task_failure)
            tasks.keep_running(self._serve_control)
            self._relay.start(tasks)
            self.registry.start(tasks)
            self.peers.start(tasks)
            self._planner.start(tasks)
            self._reach_checker.start(tasks)
            tasks.keep_running(self._maintain_registration)
            tasks.keep_running(self._run_maintenance)
            await self._watch_signals()
            nursery.cancel_scope.cancel()
        await self._upstreams.close()
        await self.peers.close()
        await self._store.close()
        self._telemetry.log_event("stopped")
        self._telemetry.flush()

    def _describe(self) -> PeerReport:
        """Return what other nodes need to know to pass requests on to this one."""
        is_cut = self.state.reachability.is_cut
        return PeerReport(
            self._settings.relay_address,
            self._settings.zone,
            self._ingress.active,
            self.is_ready and not is_cut,
        )

    def _handle_adopted(self) -> None:
        self._relay.notify_configured()
        self.peers.announce_configuration()

    def _handle_reach_change(self) -> None:
        self.peers.announce()
        self._relay.notify_all_streams()

    def _get_limits(self) -> CallerLimits:
        table = self.state.route_table
        return table.limits if table is not None else CallerLimits()

    async def _serve_control(self) -> None:
        app = QuartTrio("tarragonrudder")

        @app.get(protocol.READY_PATH)
        async def get_readiness() -> Response:
            # A response without a body would be sent chunked, and truncated.
            if self.is_ready:
                return Response(b"ready\n")
            return Response(b"not ready\n", 503)

        @app.get(METRICS_PATH)
        async def get_metrics() -> Response:
            self._update_gauges()
            return Response(self._telemetry.render(), content_type="text/plain")

        self.peers.add_routes(app)
        config = Config()
        ready = self._settings.listen.ready
        config.bind = sorted({ready, self._control_address, self._metrics_address})
        config.accesslog = None
        config.errorlog = None
        app.config["BODY_TIMEOUT"] = SIDE_BODY_TIMEOUT
        max_fields = self._settings.intake.max_fields
        server = GuardedServer(
            app, config, self._side_gate, MAX_SIDE_BODY_BYTES, max_fields
        )
        await server.run()

    async def _maintain_registration(self) -> None:
        """Keep this node's store entry alive, by which other nodes discover it."""
        key = protocol.NODE_PREFIX + self._settings.node
        value = orjson.dumps(
            {"address": self._control_address, "zone": self._settings.zone}
        )
        while True:
            try:
                if self._lease is None or not await self._store.renew_lease(
                    self._lease
                ):
                    self._lease = None
                    lease = await self._store.grant_lease(NODE_LEASE_TTL)
                    await self._store.write(key, value, lease=lease)
                    self._lease = lease
            except StoreError as error:
                # A lease that could not be renewed may still hold.
                self._telemetry.log_event("registration_failed", reason=str(error))
            await trio.sleep(NODE_RENEW_PERIOD)

    def _log_task_failure(self, failure: TaskFailure) -> None:
        self._telemetry.log_event("task_failed", **asdict(failure))

    def _log_blocked(self, trait: Trait, crashes: int) -> None:
        self._telemetry.log_event(
            "blocked", kind=trait.kind, key=trait.key, crashes=crashes
        )

    def _log_limit(self, incarnation: str, limit: float | None, origin: str) -> None:
        upstream = incarnation.rpartition("@")[0]
        if limit is None:
            self._telemetry.log_event("limit_ended", upstream=upstream, source=origin)
            return
        self._telemetry.log_event(
            "limit_named", upstream=upstream, limit=limit, source=origin
        )

    def _handle_leaving(self, upstream: str) -> None:
        self._telemetry.log_event("upstream_leaving", upstream=upstream)
        self._relay.notify_streams(upstream)

    def _log_rest(self, incarnation: str, asked: float | None, length: float) -> None:
        upstream = incarnation.rpartition("@")[0]
        length = round(length, 3)
        if asked is None:
            self._telemetry.log_event("rest_ended", upstream=upstream, length=length)
            return
        self._telemetry.log_event(
            "rest_asked", upstream=upstream, asked=asked, remaining=length
        )

    def _update_gauges(self) -> None:
        """Set all gauges to their current values."""
        telemetry = self._telemetry
        now = trio.current_time()
        ready = draining = 0
        for upstream in self.state.upstream_table:
            is_leaving = self.state.upstream_table.is_leaving(upstream.name)
            ready += not is_leaving
            draining += is_leaving
        suspected = len(self.state.upstream_table.list_suspected(now))
        telemetry.set("upstreams", ready, "ready")
        telemetry.set("upstreams", draining, "leaving")
        telemetry.set("upstreams", suspected, "suspected")
        telemetry.set("cut_off", self.state.reachability.is_cut)
        telemetry.set("requests_for_peers", self._ingress.active_for_peers)
        telemetry.set("upstreams_limited", len(self.state.limits))
        telemetry.set("upstreams_resting", len(self.state.upstream_gate.rests))
        learned = self.state.answer_lengths.count_learned()
        telemetry.set("routes_learned", learned)
        telemetry.set("requests_running", self._ingress.active)
        for gate in (self._front_gate, self._side_gate):
            telemetry.set("intake_connections", len(gate.budget), gate.name)
            telemetry.set("intake_bytes", gate.budget.held, gate.name)
            telemetry.set("intake_closed", gate.closed, gate.name)
        telemetry.set("requests_waiting", self._relay.waiting)
        self._update_line_gauges(now)
        self._update_retry_gauges(now)
        telemetry.set("configuration_version", self.state.version)
        telemetry.set("store_away", self.registry.is_store_unavailable)
        telemetry.set("store_epoch", self._store.epoch)
        if self.registry.has_snapshot:
            telemetry.set("store_view_age_seconds", self.registry.view_age)
        telemetry.set("store_views", self.peers.views_applied)
        telemetry.set("peers", len(self.peers.list_peer_addresses()))

    def _update_line_gauges(self, now: float) -> None:
        urgencies = self.state.urgencies
        starved = 0
        labels = dict.fromkeys(self._level_labels, 0)
        for service in urgencies.list_services():
            counts = self._relay.count_waiting(service)
            for level in urgencies.list_levels(service):
                labels[f"{service}.{level}"] = counts.get(level, 0)
                starved += urgencies.is_starved(service, level, now)
        # A level that a new configuration no longer names goes back to 0.
        self._level_labels = frozenset(labels)
        for label, count in labels.items():
            self._telemetry.set("requests_waiting_by_level", count, label)
        self._telemetry.set("levels_starved", starved)
        for service, rate in self.state.room.measure_rates(now).items():
            self._telemetry.set("room_freed", round(rate, 3), service)

    def _update_retry_gauges(self, now: float) -> None:
        budget = self.state.retry_budget
        for service in budget.list_services():
            allowance = budget.measure(service, now)
            self._telemetry.set("retries_spent", allowance.spent, service)
            self._telemetry.set("retries_allowed", allowance.allowed, service)
            self._telemetry.set("retry_nodes", allowance.nodes)

    async def _run_maintenance(self) -> None:
        while True:
            due = trio.current_time() + MAINTENANCE_PERIOD
            await trio.sleep_until(due)
            now = trio.current_time()
            self._telemetry.observe("loop_delay_seconds", now - due)
            self._upstreams.close_expired()
            self.state.upstream_table.expire(now)
            self.registry.upstream_entries.release_held()
            self.state.crash_tracker.expire(now)
            self.state.upstream_gate.expire(now)
            self.state.peer_table.expire(now)
            if self.registry.has_snapshot:
                self.state.note_listed_nodes(self.registry.node_names, now)
            self._telemetry.flush()

    async def _watch_signals(self) -> None:
        """Reload on SIGHUP; on SIGTERM stop the node, then return."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            self._reload()  # a signal that came before has been ignored
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                await self.stop()
                return

    def _reload(self) -> None:
        if self._path is None:
            return
        try:
            settings = read_platform_settings(self._path)
        except SettingsError as error:
            self._telemetry.log_event("settings_invalid", reason=str(error))
            return
        self._settings = settings
        self.peers.set_seeds(settings.seeds)
        self._telemetry.log_event("reloaded")

    def report_end(self, error: Exception) -> None:
        """Log the unexpected error by which the process ends."""
        self._telemetry.log_event("ended_by_error", reason=repr(error))
        self._telemetry.flush()

    async def stop(self) -> None:
        """Drain: stop accepting work, and return once all requests have completed.

        Requests are still accepted for `BALANCER_LAG` seconds; those still running
        `STOP_MARGIN` seconds before the end of the grace period are abandoned.
        """
        started_at = trio.current_time()
        drain_deadline = started_at + self._settings.bounds.grace_s - STOP_MARGIN
        self._telemetry.log_event("stopping", active=self._ingress.active)
        self._ingress.stop()
        await self._planner.release()
        await trio.sleep_until(started_at + BALANCER_LAG)
        while trio.current_time() < drain_deadline:
            self._ingress.close_idle()
            if self._ingress.active == 0:
                break
            await trio.sleep(DRAIN_POLL_PERIOD)
        if self._lease is not None:
            with trio.move_on_after(STOP_MARGIN):
                try:
                    await self._store.end_lease(self._lease)
                except StoreError as error:
                    self._telemetry.log_event("registration_kept", reason=str(error))


def main(listener: socket.socket | None = None) -> None:
    """Run a node with the settings file named by an environment variable.

    Parameters
    ----------
    listener : socket.socket or None
        Socket that listens at the callers' address already.
    """
    text = os.environ.get(protocol.SETTINGS_VARIABLE, "")
    if not text:
        print(f"set {protocol.SETTINGS_VARIABLE} to a settings file", file=sys.stderr)
        raise SystemExit(2)
    path = pathlib.Path(text)
    try:
        settings = read_platform_settings(path)
    except SettingsError as error:
        print(f"tarragonrudder: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    daemon = PlatformDaemon(path, settings, listener=listener)
    try:
        trio.run(daemon.run)
    except Exception as error:
        daemon.report_end(error)
        raise
