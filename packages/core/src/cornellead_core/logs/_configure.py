"""Set-up of structured logging for one process."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import structlog

from cornellead_core.logs._bounded_output import BoundedOutput

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import EventDict
    from structlog.typing import Processor


def configure_logs(*, process: str, as_json: bool) -> None:
    """Write log lines to standard error, as JSON or for a console.

    :param process: Name of this process, added to every line.
    """
    renderer: Processor = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    _configure(renderer, structlog.PrintLoggerFactory(sys.stderr))
    structlog.contextvars.bind_contextvars(process=process)


def configure_service_logs(*, process: str) -> BoundedOutput:
    """Write log lines to standard output as JSON, bounded in volume and without blocking.

    :param process: Name of this process, added to every line.
    """
    output = BoundedOutput(descriptor=sys.stdout.fileno())

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
