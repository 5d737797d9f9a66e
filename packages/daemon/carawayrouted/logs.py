"""Logging with structlog."""

import logging
import sys
from typing import TextIO

import structlog


def configure(log_format: str, level: str, instance: str, output: TextIO = sys.stderr) -> None:
    """Set up log lines as JSON or as text for a console.

    :param log_format: ``json`` or ``console``.
    :param level: lowest level that is written.
    :param instance: added to each line.
    :param output: stream that lines are written to.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(output),
    )
    structlog.contextvars.bind_contextvars(instance=instance)


get_logger = structlog.get_logger
