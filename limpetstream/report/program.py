"""Command line ``limpetstream-report``: error-budget burn of all services."""

import datetime
import json
import pathlib
import sys
import time

import msgspec

from limpetstream.admin import client, messages
from limpetstream.report import burn, render
from limpetstream.telemetry import histograms

EXIT_BURNING = 5
MAX_SPAN_HOURS = 720


def fetch_latencies(
    first: client.Client,
) -> tuple[messages.LatencyReport, list[str]]:
    """Fetch the latency slices of all entry instances.

    Args:
        first: Client of any entry instance; its answer lists the others.

    Returns:
        The first answer with the slices of all instances, and the ids of the
        instances that did not answer.
    """
    answer = client.json_or_exit(first.call("GET", "/admin/v1/latencies"))
    merged = msgspec.convert(answer, messages.LatencyReport)
    missing = []
    for member in merged.members:
        if member.instance == merged.instance:
            continue
        other = client.Client(member.url, first.key, first.ca, timeout_s=5)
        try:
            reply = other.call("GET", "/admin/v1/latencies?own=true")
        except client.Unreachable:
            reply = None
        if reply is None or reply.status != 200:
            missing.append(member.instance)
            continue
        member_report = msgspec.convert(reply.json(), messages.LatencyReport)
        merged.slices.extend(member_report.slices)
    return merged, missing


def minute_points(
    slices: list[histograms.Slice], service: str, objective_ms: int
) -> list[render.Point]:
    """Return one point for each minute with requests of a service, by time."""
    slices_by_start_ms: dict[int, list[histograms.Slice]] = {}
    for slice_ in slices:
        slices_by_start_ms.setdefault(slice_.start_ms, []).append(slice_)
    points = []
    for start_ms, minute_slices in sorted(slices_by_start_ms.items()):
        answered = histograms.make_histogram()
        total = bad = 0
        for key, histogram in histograms.merge_slices(minute_slices).items():
            if key.service != service:
                continue
            total += histogram.total_count
            bad += burn.count_bad(key, histogram, objective_ms)
            if key.outcome == "answered":
                answered.add(histogram)
        if total:
            p99 = answered.get_value_at_percentile(99) / 1000
            points.append(render.Point(start_ms, p99, bad / total))
    return points


def make_report(
    data: messages.LatencyReport,
    missing: list[str],
    *,
    now_ms: int,
    event_ms: int = 0,
    span_hours: float = 1.0,
) -> render.Report:
    """Compute the report from the slices of all instances.

    Args:
        data: Slices of all instances, and the settings of the services.
        missing: Instances that did not answer.
        now_ms: Time of the report, in milliseconds since the Unix epoch.
        event_ms: Time of an event to compare around, likewise; 0 for none.
        span_hours: Length of the span on each side of the event.
    """
    services = sorted(data.service_by_name.items())
    moment = datetime.datetime.fromtimestamp(now_ms / 1000, datetime.UTC)
    comparisons = []
    if event_ms:
        comparisons = burn.compare_around_event(
            data.slices, services, event_ms=event_ms, span_hours=span_hours
        )
    return render.Report(
        moment.isoformat(timespec="seconds"),
        [
            burn.measure_service(data.slices, name, objective, now_ms=now_ms)
            for name, objective in services
        ],
        {
            name: minute_points(data.slices, name, objective.objective_ms)
            for name, objective in services
        },
        comparisons,
        missing,
    )


def parse_time(text: str) -> int:
    """Parse an ISO time to milliseconds since the Unix epoch.

    A time without a time zone is in UTC. Exit if the text is not a time.

    >>> parse_time("1970-01-01T00:01:00+00:00")
    60000
    """
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        client.fail(f"--event must be an ISO time, got {text!r}", client.EXIT_USAGE)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * 1000)


def report(
    url: str = "",
    key: str = "",
    ca: str = "",
    format: str = "text",
    output: str = "",
    event: str = "",
    span_hours: float = 1.0,
) -> None:
    """Print the error-budget burn of all desk services.

    Exits 0 if all services are within their budgets, 5 if a service burns its
    budget too fast, and 3 if the entry instance does not answer.

    Args:
        url: Any entry instance; default LIMPETSTREAM_URL.
        key: Operator's key; default LIMPETSTREAM_KEY.
        ca: Certificate authority file for TLS.
        format: text, json or html.
        output: File to write to; standard output by default.
        event: ISO time of an event; the burn before and after it is compared.
        span_hours: Hours to compare on each side of the event.
    """
    if format not in ("text", "json", "html"):
        client.fail("--format must be text, json or html", client.EXIT_USAGE)
    if not 0 < span_hours <= MAX_SPAN_HOURS:
        client.fail(
            f"--span_hours must be above 0 and at most {MAX_SPAN_HOURS}",
            client.EXIT_USAGE,
        )
    event_ms = parse_time(event) if event else 0
    first = client.from_environment(url, key, ca, variable="LIMPETSTREAM_KEY")
    data, missing = fetch_latencies(first)
    merged = make_report(
        data,
        missing,
        now_ms=int(time.time() * 1000),
        event_ms=event_ms,
        span_hours=span_hours,
    )
    if format == "json":
        text = json.dumps(msgspec.to_builtins(merged), indent=1) + "\n"
    else:
        text = (render.render_html if format == "html" else render.render_text)(merged)
    if output:
        try:
            pathlib.Path(output).write_text(text)
        except OSError as error:
            client.fail(f"{output}: {error.strerror}", client.EXIT_USAGE)
    else:
        sys.stdout.write(text)
    burning = any(service.verdict != "ok" for service in merged.services)
    sys.exit(EXIT_BURNING if burning else 0)


def main() -> None:
    """Run the command line."""
    client.run_function(report, "limpetstream-report")


if __name__ == "__main__":
    main()
