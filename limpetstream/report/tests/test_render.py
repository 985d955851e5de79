"""Tests of the report's three formats and of missing instances."""

import html.parser
import json
import re

import msgspec
import pytest

from limpetstream.admin import client, messages
from limpetstream.report import program, render
from limpetstream.report.tests import builders

HTML_SPECIAL = "<script src=//x>&\"'"


class Page(html.parser.HTMLParser):
    """Collects table cells, tags and references to other resources."""

    def __init__(self) -> None:
        super().__init__()
        self.cells: list[str] = []
        self.tags: set[str] = set()
        self.references: list[str] = []
        self.text = ""
        self.in_cell = False

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Record the tag and its references."""
        self.tags.add(tag)
        if tag == "td":
            self.cells.append("")
            self.in_cell = True
        for name, value in attrs:
            if name in ("src", "href", "srcset", "data", "action", "xlink:href"):
                self.references.append(value or "")

    def handle_data(self, data: str) -> None:
        """Record the text, and the text of table cells."""
        self.text += data
        if self.in_cell:
            self.cells[-1] += data

    def handle_endtag(self, tag: str) -> None:
        """Record the end of a cell."""
        self.in_cell = self.in_cell and tag != "td"


def make_report(service: str, missing: list[str]) -> render.Report:
    """Return a report with bad requests, and an event one hour ago."""
    outcomes = ["answered", "unknown", "answered", "not-run"]
    requests = [
        builders.Raw(
            -minute * builders.MINUTE_MS, 10.0 * minute, outcome, HTML_SPECIAL, "e1"
        )
        for minute, outcome in zip(range(1, 121), outcomes * 30, strict=True)
    ]
    slices = builders.slices_of(requests, service)
    data = messages.LatencyReport("e1", [], {service: builders.OBJECTIVE}, slices)
    hour_ago = builders.NOW_MS - 60 * builders.MINUTE_MS
    return program.make_report(data, missing, now_ms=builders.NOW_MS, event_ms=hour_ago)


def parsed(report: render.Report) -> Page:
    """Return the parsed HTML format of a report."""
    page = Page()
    page.feed(render.render_html(report))
    return page


def test_all_forms_show_the_same_figures():
    """Guards against formats that show different figures."""
    report = make_report("recover-desk", [])
    decoded = json.loads(json.dumps(msgspec.to_builtins(report)))
    service = msgspec.convert(decoded, render.Report).services[0]
    rows = [
        render.window_row(render.format_hours(each.hours), each)
        for each in service.windows
    ]
    rows += render.cause_rows(service)
    for each in report.comparisons:
        rows += [render.window_row("before", each.before)]
        rows += [render.window_row("after", each.after)]
    cells = [cell for row in rows for cell in row]
    assert parsed(report).cells == cells
    lines = [re.split(r"\s\s+", line.strip()) for line in text_lines(report)]
    for row in rows:
        assert row in lines


def text_lines(report: render.Report) -> list[str]:
    """Return the lines of the text format."""
    return render.render_text(report).splitlines()


def test_the_page_loads_nothing_and_escapes_names():
    """Guards against names that inject scripts or load resources."""
    page = parsed(make_report(HTML_SPECIAL, [HTML_SPECIAL]))
    assert page.references == []
    assert not page.tags & {"script", "link", "img", "iframe", "object", "base"}
    assert page.text.count(HTML_SPECIAL) >= 4
    raw = render.render_html(make_report("x", []))
    assert "@import" not in raw
    assert "url(" not in raw


def test_missing_instances_are_named_in_all_forms():
    """Guards against an incomplete report that looks complete."""
    report = make_report("recover-desk", ["entry-7", "entry-9"])
    for text in (render.render_text(report), render.render_html(report)):
        assert "INCOMPLETE: no answer from entry-7, entry-9" in text
    assert msgspec.to_builtins(report)["missing"] == ["entry-7", "entry-9"]


@pytest.mark.parametrize("status", [0, 401, 503])
def test_a_silent_or_refusing_instance_is_missing(
    monkeypatch: pytest.MonkeyPatch, status: int
):
    """Guards against a failing instance that ends or distorts the report."""
    members = [messages.MemberAddress(f"e{i}", f"http://e{i}") for i in (1, 2, 3)]
    services = {"recover-desk": builders.OBJECTIVE}

    def call(self: client.Client, method: str, path: str) -> client.Reply:
        if self.url == "http://e2" and status == 0:
            raise client.Unreachable("refused")
        if self.url == "http://e2":
            return client.Reply(status, {}, b'{"reason": "starting"}')
        own = self.url.removeprefix("http://")
        slices = builders.slices_of([builders.Raw(-60_000, 5, "answered", "q", own)])
        body = messages.LatencyReport(own, members, services, slices)
        return client.Reply(200, {}, msgspec.json.encode(body))

    monkeypatch.setattr(client.Client, "call", call)
    data, missing = program.fetch_latencies(client.Client("http://e1"))
    assert missing == ["e2"]
    report = program.make_report(data, missing, now_ms=builders.NOW_MS)
    assert report.services[0].windows[-1].requests == 2
