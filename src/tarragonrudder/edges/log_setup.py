"""Setup of the JSON logger."""

import logging
import sys
import typing as t
from dataclasses import asdict

from pythonjsonlogger.json import JsonFormatter

from tarragonrudder.edges.background import TaskFailure

LOGGER_NAME = "tarragonrudder"


def make_failure_log(logger: logging.Logger) -> t.Callable[[TaskFailure], None]:
    """Return a function that logs failures of tasks."""

    def log(failure: TaskFailure) -> None:
        logger.error("task_failed", extra=asdict(failure))

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
