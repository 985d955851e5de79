"""Liveness, readiness and the scrape page."""

from collections.abc import Callable
from typing import Any

from limpetstream.border import handler
from limpetstream.entry import lifecycle
from limpetstream.telemetry import metrics


class LivenessHandler(handler.Handler):
    """Says that the process runs its event loop."""

    def initialize(self, *, state: Callable[[], str]) -> None:
        """Keep what the handler needs."""
        self._state = state

    def get(self) -> None:
        """Answer with the present state."""
        self.reply(200, {"state": self._state()})


class ReadinessHandler(LivenessHandler):
    """Says whether the balancer should send callers here."""

    def get(self) -> None:
        """Answer 200 when callers are served, 503 otherwise.

        With the log out of reach, idempotent desk requests are still
        served, so the instance stays in the balancer.
        """
        state = self._state()
        ready = state in (lifecycle.SERVING, lifecycle.LOG_UNREACHABLE)
        self.reply(200 if ready else 503, {"state": state})


class MetricsHandler(handler.Handler):
    """Metrics in the text format of Prometheus."""

    def initialize(
        self, *, collected: metrics.Metrics, refresh: Callable[[], None]
    ) -> None:
        """Keep what the handler needs."""
        self._metrics = collected
        self._refresh = refresh

    def get(self) -> None:
        """Answer with all metrics."""
        self._refresh()
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.scrape())


def routes(
    *,
    state: Callable[[], str],
    collected: metrics.Metrics,
    refresh: Callable[[], None],
) -> list[Any]:
    """Return the routes of this module."""
    return [
        (r"/live", LivenessHandler, {"state": state}),
        (r"/ready", ReadinessHandler, {"state": state}),
        (r"/metrics", MetricsHandler, {"collected": collected, "refresh": refresh}),
    ]
