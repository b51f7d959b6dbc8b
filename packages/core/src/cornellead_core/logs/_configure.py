"""Configuration of structured logging for one process."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import structlog

from cornellead_core.logs._rate_limited_output import RateLimitedOutput

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import EventDict
    from structlog.typing import Processor


def configure_logs(*, process: str, as_json: bool) -> None:
    """Configure logging to standard error, as JSON or as plain text for a console.

    :param process: Name of this process, added to every line.
    """
    renderer: Processor = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    _configure(renderer, structlog.PrintLoggerFactory(sys.stderr))
    structlog.contextvars.bind_contextvars(process=process)


def configure_service_logs(*, process: str) -> RateLimitedOutput:
    """Configure logging to standard output as JSON, non-blocking and limited in rate.

    :param process: Name of this process, added to every line.
    """
    output = RateLimitedOutput(descriptor=sys.stdout.fileno())

    def add_process(_: object, __: str, fields: EventDict) -> EventDict:
        fields["process"] = process
        return fields

    _configure(structlog.processors.JSONRenderer(), lambda *_: output, add_process)
    return output


def _configure(
    renderer: Processor, logger_factory: Callable[..., object], *processors: Processor
) -> None:
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            *processors,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=logger_factory,
        cache_logger_on_first_use=True,
    )
