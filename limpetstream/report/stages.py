"""Collects from log lines how long each stage of jobs takes, by queue.

Every instance logs the stages that it observes. The events
``submission-stored`` and ``job-loaded`` name the queue of a job. Lines of runs
name a task, whose id begins with the job id, so their queue is looked up by
the job.
"""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Iterator

import hdrh.histogram
import msgspec

from limpetstream.report import organisations
from limpetstream.shard import events
from limpetstream.telemetry import events as telemetry_events

MAX_STAGE_MS = 3_600_000  # One hour; longer stages count as one hour.
SIGNIFICANT_DIGITS = 3
UNKNOWN_QUEUE = "(unknown)"  # For jobs whose lines with the queue are not in the logs.


@dataclasses.dataclass(slots=True)
class Stage:
    """One stage of a job and the log field with its duration.

    Args:
        title: Description of the stage in reports.
        event: Event that marks the end of the stage.
        field: Field of the event with the duration in milliseconds.
        how: Required value of the field ``how`` or ``outcome``; empty for
            any value.
    """

    title: str
    event: telemetry_events.Event
    field: str
    how: str = ""


STAGES = (
    Stage("until the job is durable", events.SUBMISSION_STORED, "took_ms"),
    Stage("until the owner has loaded it", events.JOB_LOADED, "waited_ms"),
    Stage("until a task has its first turn", events.RUN_ORDERED, "turn_ms"),
    Stage("until a task gets capacity", events.RUN_ORDERED, "waited_ms"),
    Stage("until the start request is sent", events.RUN_ORDERED, "placed_ms_ago"),
    Stage("until the end of a run is observed", events.RUN_ENDED, "ran_ms", "done"),
    Stage("until the job is finished", events.JOB_FINISHED, "took_ms", "completed"),
)
STAGES_BY_EVENT = {
    stage.event.name: [other for other in STAGES if other.event is stage.event]
    for stage in STAGES
}
COUNTED_EVENT_NAMES = {
    event.name
    for event in (
        events.CALL_REFUSED,
        events.RUN_LOST,
        events.RUN_ENDED,
        events.JOB_FINISHED,
        events.STOP_ORDERED,
        events.START_REFUSED,
        events.START_IN_DOUBT,
    )
}
EVENT_NAMES = STAGES_BY_EVENT.keys() | COUNTED_EVENT_NAMES


@dataclasses.dataclass(slots=True)
class Queue:
    """Stage durations and exceptional events of one queue.

    Args:
        histogram_by_title: Durations in milliseconds, by title of the stage.
        count_by_outcome: Number of exceptional events, such as lost runs and
            refused starts, by event and outcome.
    """

    histogram_by_title: dict[str, hdrh.histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )
    count_by_outcome: Counter[str] = dataclasses.field(default_factory=Counter)

    def record(self, title: str, milliseconds: float) -> None:
        """Record the duration of a stage."""
        histogram = self.histogram_by_title.get(title)
        if histogram is None:
            histogram = self.histogram_by_title[title] = hdrh.histogram.HdrHistogram(
                1, MAX_STAGE_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_STAGE_MS, max(0, round(milliseconds))))


@dataclasses.dataclass(slots=True)
class StageReport:
    """Stage durations and exceptional events of all queues.

    Args:
        queue_by_name: Queues by name.
        organisation_by_name: What the jobs of organisations met with, by name;
            empty if no line names one.
        lines: Number of lines with a JSON object.
        unreadable: Number of those lines that are not valid JSON.
    """

    queue_by_name: dict[str, Queue] = dataclasses.field(default_factory=dict)
    organisation_by_name: dict[str, organisations.Organisation] = dataclasses.field(
        default_factory=dict
    )
    lines: int = 0
    unreadable: int = 0


def collect(texts: Iterable[str]) -> StageReport:
    """Collect the stages from log lines of any instances, in any order.

    Args:
        texts: Lines; text before the first brace of a line is ignored.
    """
    report = StageReport()
    lines = list(_parse(texts, report))
    report.organisation_by_name = organisations.collect(lines, _job_of)
    queue_by_job = {
        line["job"]: line["queue"]
        for line in lines
        if "job" in line and "queue" in line
    }
    for line in lines:
        if line["name"] not in EVENT_NAMES:
            continue  # Only its organisation counts.
        name = queue_by_job.get(_job_of(line)) or line.get("queue") or UNKNOWN_QUEUE
        queue = report.queue_by_name.setdefault(name, Queue())
        how = str(line.get("how") or line.get("outcome") or "")
        for stage in STAGES_BY_EVENT.get(line["name"], ()):
            value = line.get(stage.field)
            if isinstance(value, int | float) and stage.how in ("", how):
                queue.record(stage.title, value)
        if line["name"] in COUNTED_EVENT_NAMES and how not in ("done", "completed"):
            queue.count_by_outcome[f"{line['name']} {how}".strip()] += 1
    return report


def _parse(texts: Iterable[str], report: StageReport) -> Iterator[dict]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        report.lines += 1
        try:
            line = msgspec.json.decode(text[start:])
        except (msgspec.DecodeError, UnicodeError):
            report.unreadable += 1
            continue
        if isinstance(line, dict) and (
            line.get("name") in EVENT_NAMES or organisations.is_refusal(line)
        ):
            yield line


def _job_of(line: dict) -> str:
    job = line.get("job") or str(line.get("task", "")).partition(".")[0]
    return str(job)
