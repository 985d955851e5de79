"""Tests of the event catalogue, the logs and the latency slices."""

import ast
import io
import json
import logging
import pathlib

import pytest
from hypothesis import given, settings, strategies

import limpetstream
from limpetstream.telemetry import catalogue, events, histograms, logs

ROOT = pathlib.Path(limpetstream.__file__).parent


def test_events_page_matches_the_code():
    """Guards against events that are missing from the operators' page."""
    page = (ROOT.parent / "docs" / "EVENTS.md").read_text()
    assert page == catalogue.render()


def test_every_declared_event_is_emitted_somewhere():
    """Guards against catalogue entries for events that are never emitted."""
    folders = (ROOT, ROOT.parent / "platform")
    sources = {
        path: path.read_text() for folder in folders for path in folder.rglob("*.py")
    }
    never_emitted = []
    for path in ROOT.rglob("events.py"):
        others = [text for other, text in sources.items() if other != path]
        for node in ast.parse(sources[path]).body:
            if isinstance(node, ast.Assign) and "declare(" in ast.unparse(node):
                name = f"events.{node.targets[0].id}"
                if not any(name in text for text in others):
                    never_emitted.append(f"{path.parent.name}: {name}")
    assert not never_emitted


def test_a_number_cannot_be_declared_twice():
    """Guards against an event number with two meanings."""
    declared = catalogue.load_events()[0]
    with pytest.raises(ValueError, match="declared twice"):
        events.declare(declared.number, "another-name", "INFO", "Message.", "Nothing.")


def test_warnings_of_libraries_are_json_events():
    """Guards against plain-text lines of libraries among the JSON lines."""
    stream = io.StringIO()
    logs.configure(instance="e1", stream=stream)
    logging.getLogger("tornado.general").warning("SSL error on %d", 7)
    line = json.loads(stream.getvalue())
    assert (line["event"], line["detail"]) == (1400, "SSL error on 7")


def test_log_lines_are_json_with_number_and_fields():
    """Guards against log lines that a log collector cannot parse."""
    stream = io.StringIO()
    logs.configure(instance="e1", stream=stream)
    logs.emit(catalogue.load_events()[0], path='a"b\n', value=3)
    line = json.loads(stream.getvalue())
    assert line["event"] == catalogue.load_events()[0].number
    assert (line["instance"], line["path"], line["value"]) == ("e1", 'a"b\n', 3)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 200),
            strategies.integers(1, 5000),
            strategies.sampled_from(["e1", "e2", "e3"]),
        ),
        max_size=60,
    )
)
def test_merged_slices_equal_one_histogram_of_all_samples(samples):
    """Guards against counts lost or doubled when slices close or repeat."""
    now = [0.0]
    recorder_by_instance = {
        name: histograms.LatencyRecorder(instance=name, wall=lambda: now[0])
        for name in ("e1", "e2", "e3")
    }
    reference = histograms.make_histogram()
    for at, milliseconds, name in sorted(samples):
        now[0] = float(at)
        recorder_by_instance[name].record(
            "s", milliseconds, outcome="answered", cause="executor", data_centre="d"
        )
        reference.record_value(milliseconds * 1000)
    slices = [
        slice_ for each in recorder_by_instance.values() for slice_ in each.slices()
    ]
    merged = histograms.merge_slices(slices + slices)
    assert sum(each.total_count for each in merged.values()) == len(samples)
    for histogram in merged.values():
        assert histogram.get_value_at_percentile(
            99
        ) == reference.get_value_at_percentile(99)
