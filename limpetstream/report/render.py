"""Renders a burn report as plain text or as a self-contained HTML page."""

import dataclasses
import html
from collections.abc import Iterable

from limpetstream.report import burn

PLOT_WIDTH = 640
PLOT_HEIGHT = 160
MAX_CAUSES = 5

ADVICE_BY_VERDICT = {
    "ok": "Nothing to do.",
    "ticket": "The budget burns slowly but steadily: investigate in working hours.",
    "page": "The budget is burning fast: act now on the worst cause below.",
}

STYLE = (
    "body{font:16px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:.3em .7em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    ".ok{color:#060}.ticket{color:#850}.page{color:#a00;font-weight:bold}"
    "svg{background:#f6f6f6}"
)


@dataclasses.dataclass(slots=True)
class Point:
    """One minute of one service, for the plot.

    Args:
        start_ms: Start of the minute, in milliseconds since the Unix epoch.
        p99_ms: 99th percentile of the latency of answered requests.
        bad_share: Share of requests that missed the objective.
    """

    start_ms: int
    p99_ms: float
    bad_share: float


@dataclasses.dataclass(slots=True)
class Report:
    """Burn report of all services.

    Args:
        made_at: Time of the report in ISO format.
        services: Burn of each service.
        points_by_service: Minutes of each service in order of time.
        comparisons: Burn before and after an event, if one was given.
        missing: Instances that did not answer; their latest slices may be
            missing.
    """

    made_at: str
    services: list[burn.ServiceBurn]
    points_by_service: dict[str, list[Point]]
    comparisons: list[burn.Comparison]
    missing: list[str]


def format_hours(hours: float) -> str:
    """Format a span of time in minutes, hours or days.

    >>> format_hours(5 / 60), format_hours(6), format_hours(100)
    ('5 min', '6 h', '4.2 days')
    """
    if hours < 1:
        return f"{hours * 60:.0f} min"
    return f"{hours:.0f} h" if hours < 48 else f"{hours / 24:.1f} days"


def window_row(label: str, window: burn.Window) -> list[str]:
    """Return the table cells of one window."""
    return [
        label,
        str(window.requests),
        str(window.bad),
        f"{window.burn_rate:.2f}",
        f"{window.p50_ms:.1f}",
        f"{window.p99_ms:.1f}",
    ]


WINDOW_HEADER = ["window", "requests", "bad", "burn rate", "p50 ms", "p99 ms"]
CAUSE_HEADER = ["cause", "data centre", "outcome", "bad", "share"]


def cause_rows(service: burn.ServiceBurn) -> list[list[str]]:
    """Return the table cells of the most frequent causes."""
    return [
        [
            cause.cause,
            cause.data_centre or "-",
            cause.outcome,
            str(cause.bad),
            f"{cause.share:.0%}",
        ]
        for cause in service.causes[:MAX_CAUSES]
    ]


def summary(service: burn.ServiceBurn) -> str:
    """Return objective, remaining budget and time to exhaustion as text."""
    hours_left = service.exhausted_in_hours
    exhaustion = (
        f"used up in {format_hours(hours_left)}"
        if hours_left is not None
        else "not burning"
    )
    return (
        f"Objective: {service.objective_share:.2%} within {service.objective_ms} ms. "
        f"Budget left: {service.budget_left:.1%}, {exhaustion} at the last hour's rate."
    )


def text_table(header: list[str], rows: Iterable[list[str]]) -> list[str]:
    """Return the lines of a table; only the first column is left-aligned."""
    lines = [header, *rows]
    widths = [max(len(row[i]) for row in lines) for i in range(len(header))]
    return [
        "  "
        + row[0].ljust(widths[0])
        + "".join(
            "  " + cell.rjust(width)
            for cell, width in zip(row[1:], widths[1:], strict=True)
        )
        for row in lines
    ]


def render_text(report: Report) -> str:
    """Return the report as plain text."""
    lines = [f"Service-level burn, {report.made_at}"]
    if report.missing:
        lines.append(f"INCOMPLETE: no answer from {', '.join(report.missing)}")
    for service in report.services:
        lines += ["", f"{service.service}: {service.verdict.upper()}"]
        lines += [f"  {ADVICE_BY_VERDICT[service.verdict]}", f"  {summary(service)}"]
        rows = [window_row(format_hours(w.hours), w) for w in service.windows]
        lines += text_table(WINDOW_HEADER, rows)
        if service.causes:
            lines += text_table(CAUSE_HEADER, cause_rows(service))
    for each in report.comparisons:
        lines += ["", f"{each.service}: before and after the event"]
        rows = [window_row("before", each.before), window_row("after", each.after)]
        lines += text_table(WINDOW_HEADER, rows)
    return "\n".join(lines) + "\n"


def html_table(header: list[str], rows: Iterable[list[str]]) -> str:
    """Return an HTML table with escaped cells."""
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in header)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{cells}</tr>{body}</table>"


def plot(points: list[Point], objective_ms: int) -> str:
    """Return an SVG plot of p99 over time; a dashed line is the objective."""
    if len(points) < 2:
        return "<p>Not enough minutes for a plot yet.</p>"
    first, last = points[0].start_ms, points[-1].start_ms
    top = max(objective_ms * 1.2, max(point.p99_ms for point in points))
    path = " ".join(
        f"{(point.start_ms - first) / (last - first) * PLOT_WIDTH:.1f},"
        f"{PLOT_HEIGHT - point.p99_ms / top * PLOT_HEIGHT:.1f}"
        for point in points
    )
    objective_y = PLOT_HEIGHT - objective_ms / top * PLOT_HEIGHT
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" role="img">'
        f"<title>p99 per minute, 0 to {top:.0f} ms</title>"
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{objective_y:.1f}" y2="{objective_y:.1f}" '
        'stroke="#a00" stroke-dasharray="4"/>'
        f'<polyline fill="none" stroke="#036" stroke-width="2" points="{path}"/></svg>'
        f"<p>p99 per minute, 0 to {top:.0f} ms; dashed: the objective.</p>"
    )


def render_html(report: Report) -> str:
    """Return the report as an HTML page that loads no other resource."""
    fragments = [f"<h1>Service-level burn</h1><p>{html.escape(report.made_at)}</p>"]
    if report.missing:
        names = html.escape(", ".join(report.missing))
        fragments.append(f'<p class="page">INCOMPLETE: no answer from {names}</p>')
    for service in report.services:
        name, verdict = html.escape(service.service), service.verdict
        fragments.append(
            f'<h2>{name}: <span class="{verdict}">{verdict.upper()}</span>'
        )
        fragments.append(
            f"</h2><p>{ADVICE_BY_VERDICT[verdict]}</p><p>{summary(service)}</p>"
        )
        rows = [window_row(format_hours(w.hours), w) for w in service.windows]
        fragments.append(html_table(WINDOW_HEADER, rows))
        points = report.points_by_service.get(service.service, [])
        fragments.append(plot(points, service.objective_ms))
        if service.causes:
            fragments.append(html_table(CAUSE_HEADER, cause_rows(service)))
    for each in report.comparisons:
        fragments.append(f"<h2>{html.escape(each.service)}: before and after</h2>")
        rows = [window_row("before", each.before), window_row("after", each.after)]
        fragments.append(html_table(WINDOW_HEADER, rows))
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>"
        + "".join(fragments)
        + "</body></html>\n"
    )
