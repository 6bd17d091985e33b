"""One node on the users' platform, as a process."""

import os
import pathlib
import random
import signal
import sys

import orjson
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response
from quart_trio import QuartTrio

from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.core.forwarding.retry_budget import WindowedRetryBudget
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.edges.decision_log import DecisionLog
from tarragonrudder.edges.relay import Relay
from tarragonrudder.edges.telemetry import Telemetry
from tarragonrudder.errors import SettingsError
from tarragonrudder.platform import names
from tarragonrudder.platform.exchange import PlatformUpstreamClient
from tarragonrudder.platform.ingress import TAKING_AFTER_STOP, Ingress
from tarragonrudder.platform.peers import Peers
from tarragonrudder.platform.planning import Planning
from tarragonrudder.platform.registry import Registry
from tarragonrudder.platform.settings import (
    PlatformNodeSettings,
    read_platform_settings,
)
from tarragonrudder.platform.store import Store, StoreError

# Named in deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
SWEEP_PERIOD = 1.0  # seconds between looks for idle connections
# Seconds before the platform kills a stopping process by which it leaves itself.
STOP_MARGIN = 0.3
NODE_LEASE = 6.0  # seconds; a node that fell silent is asked for nothing after it
NODE_RENEWAL = 2.0  # seconds; two renewals may be lost
STOP_PERIOD = 0.05  # seconds between looks whether the last answer has left


class PlatformDaemon:
    """One node with its ports, clients and loops.

    Parameters
    ----------
    path : pathlib.Path or None
        Settings file that is read again on a signal.
    metrics_port : int
        Port on the node's address at which metrics are served.

    Attributes
    ----------
    state : ForwardingState
        What the node knows and decides.
    registry : Registry
        Its view of the store.
    peers : Peers
        Its exchange with other nodes.
    """

    def __init__(
        self,
        path: pathlib.Path | None,
        settings: PlatformNodeSettings,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self._path = path
        self._metrics_address = f"{settings.ip}:{metrics_port}"
        self._settings = settings
        source = random.Random()
        self._telemetry = Telemetry(DecisionLog(settings.node))
        log = self._telemetry.log_event
        bounds = settings.bounds
        budget = WindowedRetryBudget(
            bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
        )
        self.state = ForwardingState(settings.zone, source, budget)
        self._store = Store(
            settings.platform.address, self._telemetry.observe_store_call
        )
        self._upstreams = PlatformUpstreamClient()
        self._relay = Relay(self.state, self._upstreams, log)
        self._ingress = Ingress(self._relay, self._find_limits, log)
        self.registry = Registry(
            self._store,
            self.state,
            log,
            source,
            min(bounds.config_ms, bounds.drain_ms) / 1000.0,
            settings.platform.reads_per_s,
        )
        control = settings.listen.control or settings.listen.ready
        self.peers = Peers(
            settings.node,
            control,
            settings.seeds,
            self.state,
            self.registry,
            log,
            source,
            self._relay.notify_streams,
        )
        self.registry.on_adopted = self.peers.announce
        self.state.on_culprit = self.peers.announce
        self.registry.on_leaving = self._relay.notify_streams
        self._planning = Planning(
            settings.node,
            control,
            self._store,
            self.registry,
            self.state,
            self._upstreams,
            log,
            source,
        )
        self._control = control
        self._lease = 0

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections."""
        if self._ingress.is_stopping or self.state.table is None:
            return False
        return bool(self.registry.entries)

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        settings = self._settings
        self._telemetry.log_event("started", zone=settings.zone, ip=settings.ip)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._ingress.run, settings.listen.front)
            nursery.start_soon(self._serve_control)
            self._relay.start(nursery)
            self.registry.start(nursery)
            self.peers.start(nursery)
            self._planning.start(nursery)
            nursery.start_soon(self._keep_registered)
            nursery.start_soon(self._tend)
            await self._watch_signals()
            nursery.cancel_scope.cancel()
        await self._upstreams.close()
        await self.peers.close()
        await self._store.close()
        self._telemetry.log_event("stopped")
        self._telemetry.flush()

    def _find_limits(self) -> CallerLimits:
        table = self.state.table
        return table.limits if table is not None else CallerLimits()

    async def _serve_control(self) -> None:
        app = QuartTrio("tarragonrudder")

        @app.get(names.READY_PATH)
        async def tell_ready() -> Response:
            # An answer without a body would be sent in chunks and cut short.
            if self.is_ready:
                return Response(b"ready\n")
            return Response(b"not ready\n", 503)

        @app.get(METRICS_PATH)
        async def tell_metrics() -> Response:
            self._measure()
            return Response(self._telemetry.render(), content_type="text/plain")

        self.peers.add_routes(app)
        config = Config()
        ready = self._settings.listen.ready
        config.bind = sorted({ready, self._control, self._metrics_address})
        config.accesslog = None
        config.errorlog = None
        await serve(app, config, shutdown_trigger=trio.sleep_forever)

    async def _keep_registered(self) -> None:
        """Keep this node's entry, by which others find it."""
        key = names.NODE_PREFIX + self._settings.node
        value = orjson.dumps({"address": self._control, "zone": self._settings.zone})
        while True:
            try:
                if not self._lease or not await self._store.keep(self._lease):
                    self._lease = await self._store.grant(NODE_LEASE)
                    await self._store.write(key, value, lease=self._lease)
            except StoreError as error:
                self._lease = 0
                self._telemetry.log_event("registration_failed", reason=str(error))
            await trio.sleep(NODE_RENEWAL)

    def _measure(self) -> None:
        """Set the gauges to what they are now."""
        telemetry = self._telemetry
        now = trio.current_time()
        ready = leaving = 0
        for upstream in self.state.upstream_table:
            ready += upstream.ready
            leaving += not upstream.ready
        suspected = len(self.state.upstream_table.list_suspected(now))
        telemetry.set("upstreams", ready, "ready")
        telemetry.set("upstreams", leaving, "leaving")
        telemetry.set("upstreams", suspected, "suspected")
        telemetry.set("requests_running", self._ingress.active)
        telemetry.set("configuration_version", self.state.version)
        telemetry.set("store_away", self.registry.is_away)
        telemetry.set("peers", len(self.peers.list_nodes()))

    async def _tend(self) -> None:
        while True:
            due = trio.current_time() + SWEEP_PERIOD
            await trio.sleep_until(due)
            now = trio.current_time()
            self._telemetry.observe("loop_delay_seconds", now - due)
            self._upstreams.sweep()
            self.state.upstream_table.expire(now)
            self.state.load_tracker.set_node_count(self.registry.node_count)
            self.state.budget.set_node_count(1 + len(self.peers.list_nodes()))
            self._telemetry.flush()

    async def _watch_signals(self) -> None:
        """Return once a planned stop has ended."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
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

    async def stop(self) -> None:
        """Take no new work, and return once the last answer has left."""
        begun = trio.current_time()
        latest = begun + self._settings.bounds.grace_s - STOP_MARGIN
        self._telemetry.log_event("stopping", active=self._ingress.active)
        self._ingress.stop()
        await self._planning.release()
        await trio.sleep_until(begun + TAKING_AFTER_STOP)
        while trio.current_time() < latest:
            self._ingress.close_idle()
            if self._ingress.active == 0:
                break
            await trio.sleep(STOP_PERIOD)
        if self._lease:
            with trio.move_on_after(STOP_MARGIN):
                try:
                    await self._store.end(self._lease)
                except StoreError as error:
                    self._telemetry.log_event("registration_kept", reason=str(error))


def main() -> None:
    """Run a node with the settings file that the environment names."""
    text = os.environ.get(names.SETTINGS_VARIABLE, "")
    if not text:
        print(f"set {names.SETTINGS_VARIABLE} to a settings file", file=sys.stderr)
        raise SystemExit(2)
    path = pathlib.Path(text)
    try:
        settings = read_platform_settings(path)
    except SettingsError as error:
        print(f"tarragonrudder: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    trio.run(PlatformDaemon(path, settings).run)
