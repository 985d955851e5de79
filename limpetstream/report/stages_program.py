"""Command line ``limpetstream-stages``: durations of the stages of jobs."""

import html
import itertools
import pathlib
import sys

from limpetstream.admin import client
from limpetstream.report import organisations, render, stages

HEADER = ["stage", "count", "p50 ms", "p95 ms", "max ms"]


def stage_rows(queue: stages.Queue) -> list[list[str]]:
    """Return the table cells of a queue's stages, in the order of STAGES."""
    rows = []
    for stage in stages.STAGES:
        histogram = queue.histogram_by_title.get(stage.title)
        if histogram is not None:
            rows.append(
                [
                    stage.title,
                    str(histogram.get_total_count()),
                    str(histogram.get_value_at_percentile(50)),
                    str(histogram.get_value_at_percentile(95)),
                    str(histogram.get_max_value()),
                ]
            )
    return rows


def outcome_summary(queue: stages.Queue) -> str:
    """Return the counts of exceptional events, most frequent first."""
    counts = queue.count_by_outcome.most_common()
    return ", ".join(f"{name}: {count}" for name, count in counts)


def render_text(stage_report: stages.StageReport) -> str:
    """Return the stages as plain text."""
    lines = [
        f"{stage_report.lines} lines, {stage_report.unreadable} of them unreadable"
    ]
    for name, queue in sorted(stage_report.queue_by_name.items()):
        lines += ["", name, *render.text_table(HEADER, stage_rows(queue))]
        if queue.count_by_outcome:
            lines.append(f"  {outcome_summary(queue)}")
    rows = organisations.table_rows(stage_report.organisation_by_name)
    if rows:
        lines += ["", *render.text_table(organisations.HEADER, rows)]
    return "\n".join(lines) + "\n"


def render_html(stage_report: stages.StageReport) -> str:
    """Return the stages as a self-contained HTML page."""
    fragments = [
        "<!doctype html><meta charset='utf-8'><title>Stages of jobs</title>",
        f"<style>{render.STYLE}</style><h1>Duration of the stages of jobs</h1>",
        f"<p>{stage_report.lines} lines, "
        f"{stage_report.unreadable} of them unreadable</p>",
    ]
    for name, queue in sorted(stage_report.queue_by_name.items()):
        fragments.append(f"<h2>{html.escape(name)}</h2><table><tr>")
        fragments += [f"<th>{html.escape(cell)}</th>" for cell in HEADER]
        for row in stage_rows(queue):
            fragments.append("</tr><tr>")
            fragments += [f"<td>{html.escape(cell)}</td>" for cell in row]
        fragments.append(f"</tr></table><p>{html.escape(outcome_summary(queue))}</p>")
    rows = organisations.table_rows(stage_report.organisation_by_name)
    if rows:
        fragments.append("<h2>Organisations</h2>")
        fragments.append(render.html_table(organisations.HEADER, rows))
    return "\n".join(fragments) + "\n"


def report(*logs: str, format: str = "text", output: str = "") -> None:
    """Print how long the stages of jobs take, by queue.

    Args:
        logs: Log files of any instances.
        format: text or html.
        output: File to write to; standard output by default.
    """
    if format not in ("text", "html"):
        client.fail("--format must be text or html", client.EXIT_USAGE)
    if not logs:
        client.fail("at least one log file is required", client.EXIT_USAGE)
    try:
        texts = [
            pathlib.Path(str(log)).read_text(errors="replace").splitlines()
            for log in logs
        ]
        stage_report = stages.collect(itertools.chain.from_iterable(texts))
        text = (render_html if format == "html" else render_text)(stage_report)
        if output:
            pathlib.Path(output).write_text(text)
            return
    except OSError as error:
        client.fail(f"{error.filename}: {error.strerror}", client.EXIT_USAGE)
    sys.stdout.write(text)


def main() -> None:
    """Run the command line."""
    client.run_function(report, "limpetstream-stages")


if __name__ == "__main__":
    main()
