"""Logs what a server refuses at its bounds, together for each second."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from limpetstream.border import events
from limpetstream.telemetry import logs

REPORT_INTERVAL_S = 1.0


class RefusalReports:
    """Counts refusals by their reasons.

    Args:
        describe: Returns further fields of each line, such as the state of
            the server.
    """

    def __init__(self, describe: Callable[[], dict[str, Any]]) -> None:
        self._describe = describe
        self._count_by_reason: collections.Counter[str] = collections.Counter()

    def note(self, reason: str) -> None:
        """Count a refusal."""
        if not self._count_by_reason:
            loop = asyncio.get_running_loop()
            loop.call_later(REPORT_INTERVAL_S, self._report)
        self._count_by_reason[reason] += 1

    def _report(self) -> None:
        counts = dict(self._count_by_reason)
        self._count_by_reason.clear()
        logs.emit(events.REQUESTS_REFUSED, counts=counts, **self._describe())
