"""Where the time of jobs goes, by stage and queue, from the log lines.

Every instance logs the stages that it sees. A job's queue is named by
``submission-stored`` and ``job-loaded``; lines of runs name the job in front
of the task's other numbers.
"""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Iterator

import hdrh.histogram
import msgspec

from limpetstream.shard import events
from limpetstream.telemetry import events as telemetry_events

MAX_STAGE_MS = 3_600_000  # An hour; longer stages count as one.
SIGNIFICANT_DIGITS = 3
UNKNOWN_QUEUE = "(unknown)"  # Queue of a job whose first lines are not in the logs.


@dataclasses.dataclass(slots=True)
class Stage:
    """One stage of a job and the log field that measures it.

    Args:
        title: What happens in it.
        event: Event that ends it.
        field: Field of its milliseconds.
        how: Value that the field ``how`` or ``outcome`` must have; empty for
            any.
    """

    title: str
    event: telemetry_events.Event
    field: str
    how: str = ""


STAGES = (
    Stage("until the job is durable", events.SUBMISSION_STORED, "took_ms"),
    Stage("until the owner has it", events.JOB_LOADED, "waited_ms"),
    Stage("until a task gets room", events.RUN_ORDERED, "waited_ms"),
    Stage("until the order is sent", events.RUN_ORDERED, "placed_ms_ago"),
    Stage("until a run is seen to end", events.RUN_ENDED, "ran_ms", "done"),
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


@dataclasses.dataclass(slots=True)
class Queue:
    """What the logs say of one queue.

    Args:
        histogram_by_title: Milliseconds of each stage.
        count_by_outcome: How often something else than the usual happened.
    """

    histogram_by_title: dict[str, hdrh.histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )
    count_by_outcome: Counter[str] = dataclasses.field(default_factory=Counter)

    def record(self, title: str, milliseconds: float) -> None:
        """Add one measured stage."""
        histogram = self.histogram_by_title.get(title)
        if histogram is None:
            histogram = self.histogram_by_title[title] = hdrh.histogram.HdrHistogram(
                1, MAX_STAGE_MS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(MAX_STAGE_MS, max(0, round(milliseconds))))


@dataclasses.dataclass(slots=True)
class StageReport:
    """What the logs say.

    Args:
        queue_by_name: Queues.
        lines: Lines that were read.
        unreadable: Lines that hold no event.
    """

    queue_by_name: dict[str, Queue] = dataclasses.field(default_factory=dict)
    lines: int = 0
    unreadable: int = 0


def collect(texts: Iterable[str]) -> StageReport:
    """Read log lines of any instances, in any order.

    Args:
        texts: Lines; what stands before the first brace is passed over.
    """
    found = StageReport()
    lines = list(_parse(texts, found))
    queue_by_job = {
        line["job"]: line["queue"]
        for line in lines
        if "job" in line and "queue" in line
    }
    for line in lines:
        name = queue_by_job.get(_job_of(line)) or line.get("queue") or UNKNOWN_QUEUE
        queue = found.queue_by_name.setdefault(name, Queue())
        how = str(line.get("how") or line.get("outcome") or "")
        for stage in STAGES_BY_EVENT.get(line["name"], ()):
            value = line.get(stage.field)
            if isinstance(value, int | float) and stage.how in ("", how):
                queue.record(stage.title, value)
        if line["name"] in COUNTED_EVENT_NAMES and how not in ("done", "completed"):
            queue.count_by_outcome[f"{line['name']} {how}".strip()] += 1
    return found


def _parse(texts: Iterable[str], found: StageReport) -> Iterator[dict]:
    wanted = STAGES_BY_EVENT.keys() | COUNTED_EVENT_NAMES
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        found.lines += 1
        try:
            line = msgspec.json.decode(text[start:])
        except (msgspec.DecodeError, UnicodeError):
            found.unreadable += 1
            continue
        if isinstance(line, dict) and line.get("name") in wanted:
            yield line


def _job_of(line: dict) -> str:
    job = line.get("job") or str(line.get("task", "")).partition(".")[0]
    return str(job)
