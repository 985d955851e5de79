"""Handlers for liveness, readiness and the Prometheus metrics."""

from collections.abc import Callable
from typing import Any

from limpetstream.border import handler
from limpetstream.entry import lifecycle
from limpetstream.telemetry import metrics


class LivenessHandler(handler.BaseHandler):
    """Liveness probe: any answer shows that the event loop runs."""

    def initialize(self, *, state: Callable[[], str]) -> None:
        """Store the function that returns the instance's state."""
        self._state = state

    def get(self) -> None:
        """Answer 200 with the current state."""
        self.reply(200, {"state": self._state()})


class ReadinessHandler(LivenessHandler):
    """Readiness probe: whether a load balancer should send callers here."""

    def get(self) -> None:
        """Answer 200 if the instance serves callers, 503 otherwise.

        While the log is unreachable, idempotent desk requests are still
        served, so the instance stays ready.
        """
        state = self._state()
        ready = state in (lifecycle.SERVING, lifecycle.LOG_UNREACHABLE)
        self.reply(200 if ready else 503, {"state": state})


class MetricsHandler(handler.BaseHandler):
    """Metrics in the Prometheus text format."""

    def initialize(
        self, *, collected: metrics.Metrics, refresh: Callable[[], None]
    ) -> None:
        """Store the metrics and the function that updates their gauges."""
        self._metrics = collected
        self._refresh = refresh

    def get(self) -> None:
        """Answer with all metrics; gauges are updated first."""
        self._refresh()
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.scrape())


def routes(
    *,
    state: Callable[[], str],
    collected: metrics.Metrics,
    refresh: Callable[[], None],
) -> list[Any]:
    """Return the routes of the health and metrics endpoints.

    Args:
        state: Returns the instance's state.
        collected: Metrics of the process.
        refresh: Updates the gauges; called at each scrape.
    """
    return [
        (r"/live", LivenessHandler, {"state": state}),
        (r"/ready", ReadinessHandler, {"state": state}),
        (r"/metrics", MetricsHandler, {"collected": collected, "refresh": refresh}),
    ]
