"""Setup of the JSON logger."""

import logging
import sys
import typing as t

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "tarragonrudder"


def make_failure_log(logger: logging.Logger) -> t.Callable[..., None]:
    """Return a function that logs failures of tasks as errors."""

    def log(event: str, request: str | None, **fields: t.Any) -> None:
        logger.error(event, extra={"request": request, **fields})

    return log


def configure_logger(
    node: str, level: str, stream: t.TextIO | None = None
) -> logging.Logger:
    """Return the logger of a node; each record becomes one JSON line."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        static_fields={"node": node},
        timestamp="time",
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger
