"""Structured logs: one JSON object per line, on standard error."""

import logging
import math
import sys
from collections.abc import Callable
from typing import Any, TextIO

import loguru
import msgspec

from limpetstream.telemetry import events


class LibraryHandler(logging.Handler):
    """Logs warnings of libraries as events, so that every line is JSON."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one message of a library, without its traceback."""
        emit(events.LIBRARY_WARNING, library=record.name, detail=record.getMessage())


def configure(
    *, instance: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Write all events of this process to ``stream`` as JSON lines.

    Args:
        instance: Id of this instance, a field of every line.
        level: Lowest level that is written.
        stream: Stream to write to; standard error by default.
    """
    target = stream if stream is not None else sys.stderr

    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "instance": instance,
            "message": record["message"],
            **record["extra"],
        }
        target.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
        target.flush()

    loguru.logger.remove()
    # ``write`` reads the record; the text that loguru makes of it is not used.
    loguru.logger.add(write, level=level, format="{message}", catch=True)
    tornado_log = logging.getLogger("tornado")
    tornado_log.handlers = [LibraryHandler(logging.WARNING)]
    tornado_log.propagate = False


# Functions that are called with each event and its fields before it is logged,
# whatever its level.
observers: list[Callable[[events.Event, dict[str, Any]], None]] = []


def emit(event: events.Event, **fields: Any) -> None:
    """Log an event with its number, its name and the given fields."""
    for observe in observers:
        observe(event, fields)
    bound = loguru.logger.bind(event=event.number, name=event.name, **fields)
    bound.opt(depth=1).log(event.level, event.message)


def ms_since(now: float, then: float) -> int | None:
    """Return the milliseconds since a time; None if it is not finite."""
    return round((now - then) * 1000) if math.isfinite(then) else None
