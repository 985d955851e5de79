"""Tests of collecting the stages of jobs from log lines."""

import msgspec
import pytest

from limpetstream.report import organisations, stages, stages_program

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
    """Guards against losing the lines of runs, which do not name a queue."""
    stage_report = stages.collect(LINES)
    desk = stage_report.queue_by_name["desk"]
    assert [row[:3] for row in stages_program.stage_rows(desk)] == [
        ["until the job is durable", "1", "24"],
        ["until the owner has loaded it", "1", "30"],
        ["until a task gets capacity", "1", "12"],
        ["until the start request is sent", "1", "3"],
        ["until the end of a run is observed", "1", "800"],
        ["until the job is finished", "1", "900"],
    ]
    assert desk.count_by_outcome == {"run-ended failed": 1}
    unknown = stage_report.queue_by_name[stages.UNKNOWN_QUEUE]
    assert unknown.count_by_outcome == {"call-refused not-run": 1}


def test_lines_cut_off_are_counted():
    """Guards against a report that hides unreadable lines."""
    stage_report = stages.collect(
        ['12.1 front-1 {"name": "run-ord', "no event", LINES[1]]
    )
    assert (stage_report.lines, stage_report.unreadable) == (2, 1)


@pytest.mark.parametrize("render", ["render_text", "render_html"])
def test_report_names_queue_stage_and_figures(render):
    """Guards against a report that lacks queues or figures."""
    text = getattr(stages_program, render)(stages.collect(LINES))
    for wanted in (
        "desk",
        "until the start request is sent",
        "800",
        "run-ended failed: 1",
    ):
        assert wanted in text


def test_organisations_have_a_table_of_their_own():
    """Guards against waits and refusals that no log line tells by caller."""
    lines = [
        *[text for text in LINES if "job-loaded" not in text],
        line("job-loaded", job=JOB, queue="desk", waited_ms=30, organisation="mill"),
        line("request-refused", event=1601, organisation="mill", reason="not fresh"),
        line("request-refused", event=1601, reason="unknown key"),
    ]
    stage_report = stages.collect(lines)
    assert organisations.table_rows(stage_report.organisation_by_name) == [
        ["(unknown)", "0", "0", "0", "0", "-", "unknown key: 1"],
        ["mill", "1", "1", "12", "12", "completed: 1", "not fresh: 1"],
    ]
    assert stage_report.queue_by_name.keys() == {"desk", stages.UNKNOWN_QUEUE}
    for text in (
        stages_program.render_text(stage_report),
        stages_program.render_html(stage_report),
    ):
        assert "mill" in text
    assert not stages.collect(LINES).organisation_by_name


def test_missing_file_is_a_usage_error(capsys):
    """Guards against a traceback instead of a message."""
    with pytest.raises(SystemExit) as stopped:
        stages_program.report("/nonexistent")
    assert stopped.value.code == 2
    assert "/nonexistent" in capsys.readouterr().err
