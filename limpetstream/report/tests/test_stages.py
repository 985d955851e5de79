"""Tests of the stages of jobs, read from log lines."""

import msgspec
import pytest

from limpetstream.report import stages, stages_program

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.1"


def line(name, **fields):
    return msgspec.json.encode({"name": name, **fields}).decode()


LINES = [
    line("run-ordered", task=TASK, waited_ms=12, placed_ms_ago=3),
    line("submission-stored", job=JOB, queue="desk", took_ms=24),
    line("job-loaded", job=JOB, queue="desk", waited_ms=30),
    line("run-ended", task=TASK, how="done", ran_ms=800),
    line("run-ended", task=TASK, how="failed", ran_ms=5),
    line("job-finished", job=JOB, queue="desk", outcome="completed", took_ms=900),
    line("call-refused", queue="", call="waiting", outcome="not-run"),
]


def test_stages_are_told_apart_by_queue_in_any_order_of_lines():
    """Guards against lines of runs that are lost, since they name no queue."""
    found = stages.collect(LINES)
    desk = found.queue_by_name["desk"]
    assert [row[:3] for row in stages_program.stage_rows(desk)] == [
        ["until the job is durable", "1", "24"],
        ["until the owner has it", "1", "30"],
        ["until a task gets room", "1", "12"],
        ["until the order is sent", "1", "3"],
        ["until a run is seen to end", "1", "800"],
        ["until the job is finished", "1", "900"],
    ]
    assert desk.count_by_outcome == {"run-ended failed": 1}
    unknown = found.queue_by_name[stages.UNKNOWN_QUEUE]
    assert unknown.count_by_outcome == {"call-refused not-run": 1}


def test_lines_cut_off_are_counted():
    """Guards against a report that hides what it could not read."""
    found = stages.collect(['12.1 front-1 {"name": "run-ord', "no event", LINES[1]])
    assert (found.lines, found.unreadable) == (2, 1)


@pytest.mark.parametrize("render", ["render_text", "render_html"])
def test_report_names_queue_stage_and_figures(render):
    """Guards against an empty page."""
    text = getattr(stages_program, render)(stages.collect(LINES))
    for wanted in ("desk", "until the order is sent", "800", "run-ended failed: 1"):
        assert wanted in text


def test_missing_file_is_a_usage_error(capsys):
    """Guards against a stack trace in place of a message."""
    with pytest.raises(SystemExit) as stopped:
        stages_program.report("/nonexistent")
    assert stopped.value.code == 2
    assert "/nonexistent" in capsys.readouterr().err
