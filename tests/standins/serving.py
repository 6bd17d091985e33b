"""Serves the application of a stand-in on loopback."""

import logging
import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio


async def serve_app(app: QuartTrio, port: int) -> None:
    """Serve an application on a loopback port until SIGTERM or SIGINT."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.graceful_timeout = 0.2
    config.errorlog = logging.getLogger("hypercorn.quiet")
    logging.getLogger("hypercorn.quiet").setLevel(logging.CRITICAL)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def wait_signal() -> None:
            async for _ in signals:
                return

        await serve(app, config, shutdown_trigger=wait_signal)
