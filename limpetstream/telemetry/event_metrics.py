"""Derives the counters and histograms of a process from its log events.

Every decision is logged as an event, so counting events counts decisions.
Fields that hold a duration are also recorded in histograms, and the newest
value of fields that hold a percentage is kept.
"""

import collections
from typing import Any

import hdrh.histogram

from limpetstream.telemetry import events

LOWEST_MS = 1
HIGHEST_MS = 3_600_000  # One hour; longer durations count as one hour.
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 100.0)
DURATION_SUFFIX = "_ms"
SHARE_SUFFIX = "_percent"
ORGANISATION_FIELD = "organisation"


class EventMetrics:
    """Event counts by name; durations and percentages by event and field."""

    def __init__(self) -> None:
        self.count_by_event: collections.Counter[str] = collections.Counter()
        self.histogram_by_event_and_field: dict[
            tuple[str, str], hdrh.histogram.HdrHistogram
        ] = {}
        self.percent_by_event_and_field: dict[tuple[str, str], float] = {}

    def observe(self, event: events.Event, fields: dict[str, Any]) -> None:
        """Count one event and record its durations.

        Percentages of an organisation are not kept here, as that of the last
        one would stand for all: see ``organisation_metrics``.

        Args:
            event: Event that is logged.
            fields: Fields of the event; those whose names end in ``_ms`` are
                durations in milliseconds, in ``_percent`` percentages.
        """
        self.count_by_event[event.name] += 1
        for field, value in fields.items():
            if field.endswith(DURATION_SUFFIX) and isinstance(value, int | float):
                self._histogram(event.name, field).record_value(
                    min(HIGHEST_MS, max(LOWEST_MS, int(value)))
                )
            elif (
                field.endswith(SHARE_SUFFIX)
                and isinstance(value, int | float)
                and ORGANISATION_FIELD not in fields
            ):
                self.percent_by_event_and_field[event.name, field] = value

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = ["# TYPE limpetstream_events_total counter"]
        for name, count in sorted(self.count_by_event.items()):
            lines.append(f'limpetstream_events_total{{event="{name}"}} {count}')
        lines.append("# TYPE limpetstream_event_milliseconds summary")
        for (name, field), histogram in sorted(
            self.histogram_by_event_and_field.items()
        ):
            labels = f'event="{name}",field="{field}"'
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile)
                lines.append(
                    f"limpetstream_event_milliseconds"
                    f'{{{labels},quantile="{quantile / 100:g}"}} {value}'
                )
            lines.append(
                f"limpetstream_event_milliseconds_count{{{labels}}} "
                f"{histogram.get_total_count()}"
            )
        lines.append("# TYPE limpetstream_event_percent gauge")
        lines.extend(
            f'limpetstream_event_percent{{event="{name}",field="{field}"}} {value}'
            for (name, field), value in sorted(self.percent_by_event_and_field.items())
        )
        return ("\n".join(lines) + "\n").encode()

    def _histogram(self, name: str, field: str) -> hdrh.histogram.HdrHistogram:
        histogram = self.histogram_by_event_and_field.get((name, field))
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
            self.histogram_by_event_and_field[name, field] = histogram
        return histogram
