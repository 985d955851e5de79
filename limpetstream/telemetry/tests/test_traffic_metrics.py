"""Tests of the report on a client's traffic."""

import asyncio
import json

import loguru

from limpetstream.platform import http
from limpetstream.telemetry import logs, traffic_metrics
from standins import virtual_time


def test_traffic_is_logged_as_what_has_been_added() -> None:
    """Guards against totals in which a change of the traffic does not show."""
    rows: list[dict] = []

    async def main() -> None:
        client = http.Client(base_url="", clock=clock)
        client.traffic_by_call["start"] = http.Traffic(3, 1, 300, 30)
        report = asyncio.create_task(traffic_metrics.report(client, clock))
        await asyncio.sleep(traffic_metrics.REPORT_INTERVAL_S * 1.5)
        client.traffic_by_call["start"].calls += 2
        client.traffic_by_call["start"].sent_bytes += 200
        await asyncio.sleep(traffic_metrics.REPORT_INTERVAL_S * 2)
        report.cancel()
        client.close()

    loop = virtual_time.Loop()
    clock = virtual_time.make_clock(loop)
    logs.observers.append(lambda event, fields: rows.append(fields))
    try:
        virtual_time.run(main(), loop=loop)
    finally:
        logs.observers.pop()
        loguru.logger.remove()
    assert [row["sent_bytes"] for row in rows] == [300, 200]
    assert rows[1]["calls"]["start"]["calls"] == 2
    assert json.dumps(rows)


def test_traffic_is_rendered_by_kind_and_direction() -> None:
    """Guards against a metric that hides which calls fill a link."""
    text = traffic_metrics.render({"start": http.Traffic(3, 1, 300, 30)}).decode()
    assert 'limpetstream_calls_total{call="start",result="failed"} 1' in text
    assert 'limpetstream_call_bytes_total{call="start",direction="sent"} 300' in text
