"""The router's daemon, ``tarragonrudderd``."""

import os
import pathlib
import random
import resource
import signal
import sys
import typing as t

import trio
from hypercorn.config import Config

from tarragonrudder.core.admission.intake_budget import (
    FRONT_SHARES,
    SIDE_SHARES,
    IntakeLimits,
    IntakeShares,
    derive_limits,
)
from tarragonrudder.core.domain.event import StopRequested
from tarragonrudder.core.node.node import Node, NodeOptions
from tarragonrudder.edges.caller import MAX_BODY_BYTES, make_caller_app
from tarragonrudder.edges.clock import Clock
from tarragonrudder.edges.driver import Driver
from tarragonrudder.edges.exchange import (
    ExchangeClient,
    NodeStatus,
    add_exchange_route,
)
from tarragonrudder.edges.guarded_server import GuardedServer
from tarragonrudder.edges.intake_gate import IntakeGate
from tarragonrudder.edges.log_setup import configure_logger
from tarragonrudder.edges.peer import (
    MAX_MESSAGE_BYTES,
    PeerClient,
    make_peer_app,
    parse_secrets,
)
from tarragonrudder.edges.platform_client import PlatformClient
from tarragonrudder.edges.settings import Settings, read_settings
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.sync import PlatformSync
from tarragonrudder.edges.tls import (
    make_peer_context,
    secure_caller_port,
    secure_peer_port,
)
from tarragonrudder.errors import RouterError

MAX_HEADER_BYTES = 32 * 1024
MAX_FDS = 1 << 20  # where the VM names no limit
KEEP_ALIVE_TIMEOUT = 5.0  # seconds until the next request's headers are complete
GRACEFUL_TIMEOUT = 5.0  # seconds for connections to close after the last response


class Daemon:
    """A node with its ports, clients and timers."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        node = settings.node
        self._logger = configure_logger(node.name, node.log_level)
        self._metrics = StatsdMetrics(settings.statsd.host, settings.statsd.port)
        self._secrets = parse_secrets(node.peer_secret_file.read_bytes())
        self._platform = PlatformClient(
            settings.platform.address, settings.platform.timeout
        )
        context = make_peer_context(settings.tls)
        peers = PeerClient(node.name, self._secrets, context, self._metrics)
        options = NodeOptions(node.name, node.data_center, node.balancer_lag)
        core = Node(options, random.Random())
        self._driver = Driver(
            core,
            Clock(),
            self._platform,
            self._logger,
            self._metrics,
            peers,
            ExchangeClient(self._secrets, context, self._metrics),
        )
        self._driver.loader.set_seeds(tuple(node.peers.split()))
        self._sync = PlatformSync(
            settings,
            self._platform,
            self._driver,
            self._logger,
            self._metrics,
            random.Random(),
        )

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        async with trio.open_nursery() as nursery:
            await self._sync.register_once()
            self._driver.start(nursery)
            nursery.start_soon(self._sync.run)
            nursery.start_soon(self._watch_signals)
            await self._serve_ports()
            nursery.cancel_scope.cancel()
        await self.close()

    def report_end(self, error: Exception) -> None:
        """Log the unexpected error by which the process ends."""
        self._logger.error("ended_by_error", extra={"reason": repr(error)})

    async def close(self) -> None:
        """Close all clients."""
        await self._driver.close()
        await self._sync.close()
        await self._platform.close()
        self._metrics.close()
        self._logger.info("node_stopped")

    async def _serve_ports(self) -> None:
        """Serve both ports until the last response is sent."""
        caller_app = make_caller_app(self._driver, self._logger)
        node = self._settings.node
        peer_app = make_peer_app(
            node.name, self._secrets, self._metrics, self._driver.post
        )
        add_exchange_route(
            peer_app,
            self._secrets,
            self._metrics,
            self._read_status,
            self._driver.loader.store.pieces.find,
        )
        caller_config = self._make_config(node.caller_bind)
        secure_caller_port(caller_config, self._settings.tls)
        peer_config = self._make_config(node.peer_bind)
        secure_peer_port(peer_config, self._settings.tls)
        caller_gate = self._make_gate("callers", FRONT_SHARES)
        peer_gate = self._make_gate("peers", SIDE_SHARES)
        fields = self._settings.intake.max_fields
        callers = GuardedServer(
            caller_app, caller_config, caller_gate, MAX_BODY_BYTES, fields
        )
        nodes = GuardedServer(
            peer_app, peer_config, peer_gate, MAX_MESSAGE_BYTES, fields
        )
        async with trio.open_nursery() as ports:
            ports.start_soon(callers.run, self._driver.wait_stopped)
            ports.start_soon(nodes.run, self._driver.wait_stopped)

    def _read_status(self) -> NodeStatus:
        core = self._driver.node
        return NodeStatus(
            node=self._settings.node.name,
            generation=core.configuration.generation,
            digest=core.configuration.digest,
            ready=core.ready,
            stopping=core.stopping,
            in_flight=core.in_flight,
            platform_error=self._platform.last_error,
        )

    def _make_config(self, bind: str) -> Config:
        config = Config()
        config.bind = [bind]
        config.graceful_timeout = GRACEFUL_TIMEOUT
        config.accesslog = None
        config.errorlog = self._logger
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        # No read timeout: a caller sends nothing while it waits for a long response.
        config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT
        return config

    def _make_gate(self, name: str, shares: IntakeShares) -> IntakeGate:
        limits = self._derive_limits(shares)

        def log(event: str, _: str | None, **fields: t.Any) -> None:
            if event == "intake_closed":
                self._metrics.count("intake.closed", fields["closed"])
                self._logger.warning("intake_closed", extra=fields)
                return
            self._logger.error("connection_failed", extra=fields)

        return IntakeGate(name, limits, log)

    def _derive_limits(self, shares: IntakeShares) -> IntakeLimits:
        intake = self._settings.intake
        memory = int(intake.memory_mb * 2**20)
        if not memory:
            memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        max_fds = intake.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if max_fds == resource.RLIM_INFINITY:
            max_fds = MAX_FDS
        return derive_limits(shares, memory, max_fds)

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self._driver.post(StopRequested())


def main() -> None:
    """Run a node: ``tarragonrudderd SETTINGS``."""
    if len(sys.argv) != 2:
        print("usage: tarragonrudderd SETTINGS", file=sys.stderr)
        raise SystemExit(2)
    try:
        settings = read_settings(pathlib.Path(sys.argv[1]))
        daemon = Daemon(settings)
    except (RouterError, OSError) as error:
        print(f"tarragonrudderd: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    try:
        trio.run(daemon.run)
    except Exception as error:
        daemon.report_end(error)
        raise


if __name__ == "__main__":
    main()
