"""Command line ``limpetstream-stages``: where the time of jobs goes."""

import html
import itertools
import pathlib
import sys

from limpetstream.admin import client
from limpetstream.report import render, stages

HEAD = ["stage", "count", "half within ms", "95 of 100 within ms", "longest ms"]


def stage_rows(queue: stages.Queue) -> list[list[str]]:
    """Return the cells of a queue's stages, in the order of a job."""
    found = []
    for stage in stages.STAGES:
        histogram = queue.histogram_by_title.get(stage.title)
        if histogram is not None:
            found.append(
                [
                    stage.title,
                    str(histogram.get_total_count()),
                    str(histogram.get_value_at_percentile(50)),
                    str(histogram.get_value_at_percentile(95)),
                    str(histogram.get_max_value()),
                ]
            )
    return found


def outcome_summary(queue: stages.Queue) -> str:
    """Return what else happened, most frequent first."""
    counts = queue.count_by_outcome.most_common()
    return ", ".join(f"{name}: {count}" for name, count in counts)


def render_text(found: stages.StageReport) -> str:
    """Return the stages as plain text."""
    lines = [f"{found.lines} lines, {found.unreadable} of them unreadable"]
    for name, queue in sorted(found.queue_by_name.items()):
        lines += ["", name, *render.text_table(HEAD, stage_rows(queue))]
        if queue.count_by_outcome:
            lines.append(f"  {outcome_summary(queue)}")
    return "\n".join(lines) + "\n"


def render_html(found: stages.StageReport) -> str:
    """Return the stages as one self-contained page."""
    parts = [
        "<!doctype html><meta charset='utf-8'><title>Stages of jobs</title>",
        f"<style>{render.STYLE}</style><h1>Where the time of jobs goes</h1>",
        f"<p>{found.lines} lines, {found.unreadable} of them unreadable</p>",
    ]
    for name, queue in sorted(found.queue_by_name.items()):
        parts.append(f"<h2>{html.escape(name)}</h2><table><tr>")
        parts += [f"<th>{html.escape(cell)}</th>" for cell in HEAD]
        for row in stage_rows(queue):
            parts.append("</tr><tr>")
            parts += [f"<td>{html.escape(cell)}</td>" for cell in row]
        parts.append(f"</tr></table><p>{html.escape(outcome_summary(queue))}</p>")
    return "\n".join(parts) + "\n"


def report(*logs: str, format: str = "text", output: str = "") -> None:
    """Print where the time of jobs goes, by queue and stage.

    Args:
        logs: Files of log lines of any instances.
        format: text or html.
        output: File to write to; standard output by default.
    """
    if format not in ("text", "html"):
        client.fail("--format is text or html", client.EXIT_USAGE)
    if not logs:
        client.fail("name one log file or more", client.EXIT_USAGE)
    try:
        texts = [
            pathlib.Path(str(log)).read_text(errors="replace").splitlines()
            for log in logs
        ]
        found = stages.collect(itertools.chain.from_iterable(texts))
        text = (render_html if format == "html" else render_text)(found)
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
