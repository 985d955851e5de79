"""Keeps the newest figures of each organisation as labelled metrics.

They come from the log events of the owner, so that an instance that owns no
shard has none. Refusals are counted by every instance.
"""

import collections
from typing import Any

from limpetstream.organisations import owner_events
from limpetstream.shard import events as shard_events
from limpetstream.telemetry import events

# Of organisations, as each label costs memory and a line of each scrape.
MAX_ORGANISATIONS = 100
OTHERS = "(others)"  # Label of the organisations beyond that number.
LABEL = "organisation"


class OrganisationMetrics:
    """Gauges of organisations and counters of refusals, by organisation."""

    __slots__ = ("_fields_by_name", "_refusals")

    def __init__(self) -> None:
        self._fields_by_name: dict[str, dict[str, float]] = {}
        self._refusals: collections.Counter[tuple[str, str]] = collections.Counter()

    def observe(self, event: events.Event, fields: dict[str, Any]) -> None:
        """Take the figures from an event, if it is one of an organisation.

        An instance that no longer owns the shard knows no figures.
        """
        if event is owner_events.ORGANISATION_STATE:
            self._keep(fields)
        elif event is shard_events.SHARD_RELEASED:
            self._fields_by_name.clear()
        elif event.number in owner_events.REFUSAL_NUMBERS and "reason" in fields:
            self._count_refusal(fields)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format; none if unused."""
        lines = []
        rows = sorted(self._fields_by_name.items())
        if rows:
            for field in rows[0][1]:
                metric = f"limpetstream_organisation_{field}"
                lines.append(f"# TYPE {metric} gauge")
                lines.extend(
                    f'{metric}{{organisation="{_escape(name)}"}} {values[field]}'
                    for name, values in rows
                )
        if self._refusals:
            metric = "limpetstream_organisation_refusals_total"
            lines.append(f"# TYPE {metric} counter")
            lines.extend(
                f'{metric}{{organisation="{_escape(name)}",'
                f'reason="{_escape(reason)}"}} {count}'
                for (name, reason), count in sorted(self._refusals.items())
            )
        return "".join(line + "\n" for line in lines).encode()

    def _keep(self, fields: dict[str, Any]) -> None:
        name = str(fields[LABEL])
        self._fields_by_name.pop(name, None)
        if len(self._fields_by_name) >= MAX_ORGANISATIONS:
            # The one reported least recently, which may have no work now.
            del self._fields_by_name[next(iter(self._fields_by_name))]
        self._fields_by_name[name] = {
            field: value for field, value in fields.items() if field != LABEL
        }

    def _count_refusal(self, fields: dict[str, Any]) -> None:
        name, reason = str(fields.get(LABEL) or ""), str(fields["reason"])
        if (name, reason) not in self._refusals:
            known = {each for each, _reason in self._refusals}
            if name not in known and len(known) >= MAX_ORGANISATIONS:
                name = OTHERS
        count = fields.get("requests", 1)
        self._refusals[name, reason] += count if isinstance(count, int) else 1


def _escape(value: str) -> str:
    """Escape a label's value as the text format requires.

    >>> _escape('a"b')
    'a\\\\"b'
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
