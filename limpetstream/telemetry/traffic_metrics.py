"""Reports the traffic of a client in the log and as metrics."""

import copy
import dataclasses
from typing import Any

from limpetstream import clock as clock_module
from limpetstream.platform import events, http
from limpetstream.telemetry import logs

REPORT_INTERVAL_S = 5.0
# Left out of the log line while they do not grow.
RARE_COUNTERS = frozenset({"cut_off", "opened_connections"})


async def report(client: http.Client, clock: clock_module.Clock) -> None:
    """Log what a client has sent and received, from time to time.

    Args:
        client: Client whose traffic is logged.
        clock: Source of time.
    """
    before: dict[str, http.Traffic] = {}
    reported_at = clock.monotonic()
    while True:
        await clock.sleep(REPORT_INTERVAL_S)
        now = clock.monotonic()
        rows = changes(before, client.traffic_by_call)
        before = copy.deepcopy(client.traffic_by_call)
        if rows:
            logs.emit(
                events.TRAFFIC,
                seconds=round(now - reported_at, 1),
                sent_bytes=sum(row["sent_bytes"] for row in rows.values()),
                received_bytes=sum(row["received_bytes"] for row in rows.values()),
                calls=rows,
            )
        reported_at = now


def changes(
    before: dict[str, http.Traffic], after: dict[str, http.Traffic]
) -> dict[str, dict[str, Any]]:
    """Return by how much the counters of each kind of call have grown.

    Kinds without a new call are left out, and so are most counters that have
    not grown: a broken connection is rare.

    >>> grown = changes({}, {"start": http.Traffic(calls=2, sent_bytes=9)})
    >>> grown["start"]
    {'calls': 2, 'failures': 0, 'sent_bytes': 9, 'received_bytes': 0}
    """
    rows = {}
    for name, traffic in after.items():
        old = dataclasses.asdict(before.get(name, http.Traffic()))
        growth = {
            field: value - old[field]
            for field, value in dataclasses.asdict(traffic).items()
        }
        if any(growth.values()):
            rows[name] = {
                field: value
                for field, value in growth.items()
                if value or field not in RARE_COUNTERS
            }
    return rows


def render(traffic_by_call: dict[str, http.Traffic]) -> bytes:
    """Return the counters in the Prometheus text format."""
    lines = ["# TYPE limpetstream_calls_total counter"]
    byte_lines = ["# TYPE limpetstream_call_bytes_total counter"]
    cut_off_lines = ["# TYPE limpetstream_calls_cut_off_total counter"]
    for name, traffic in sorted(traffic_by_call.items()):
        for result, count in (
            ("answered", traffic.calls - traffic.failures),
            ("failed", traffic.failures),
        ):
            labels = f'call="{name}",result="{result}"'
            lines.append(f"limpetstream_calls_total{{{labels}}} {count}")
        for direction, size in (
            ("sent", traffic.sent_bytes),
            ("received", traffic.received_bytes),
        ):
            labels = f'call="{name}",direction="{direction}"'
            byte_lines.append(f"limpetstream_call_bytes_total{{{labels}}} {size}")
        labels = f'call="{name}"'
        cut_off_lines.append(
            f"limpetstream_calls_cut_off_total{{{labels}}} {traffic.cut_off}"
        )
    return ("\n".join(lines + byte_lines + cut_off_lines) + "\n").encode()
