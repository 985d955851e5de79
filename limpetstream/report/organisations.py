"""Collects from log lines what the jobs of each organisation met with.

``job-loaded`` names the organisation of a job that has one. Lines of runs and
ends name a task or job only, so their organisation is looked up by the job.
"""

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable

import hdrh.histogram

from limpetstream.organisations import owner_events
from limpetstream.shard import events

MAX_WAIT_MS = 3_600_000  # One hour; longer waits count as one hour.
SIGNIFICANT_DIGITS = 3
UNKNOWN_ORGANISATION = "(unknown)"  # Refusals of requests without a known key.
HEADER = ["organisation", "jobs", "waits", "p50 ms", "p95 ms", "ends", "refused"]


@dataclasses.dataclass(slots=True)
class Organisation:
    """What the jobs of one organisation met with.

    Args:
        job_ids: Ids of the jobs that an owner has loaded.
        waits: Milliseconds from when tasks could have been placed until they
            were.
        count_by_end: Number of finished jobs by their final state.
        count_by_refusal: Number of refused requests by the reason.
    """

    job_ids: set[str] = dataclasses.field(default_factory=set)
    waits: hdrh.histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(
            1, MAX_WAIT_MS, SIGNIFICANT_DIGITS
        )
    )
    count_by_end: Counter[str] = dataclasses.field(default_factory=Counter)
    count_by_refusal: Counter[str] = dataclasses.field(default_factory=Counter)


def collect(
    lines: Iterable[dict], job_of: Callable[[dict], str]
) -> dict[str, Organisation]:
    """Return what lines tell of organisations, by their names.

    Args:
        lines: Decoded log lines, in any order.
        job_of: Returns the id of the job of a line.
    """
    lines = list(lines)
    name_by_job = {
        line["job"]: line["organisation"]
        for line in lines
        if line["name"] == events.JOB_LOADED.name
        and line.get("organisation")
        and "job" in line
    }
    by_name: dict[str, Organisation] = {}
    for line in lines:
        job_id = job_of(line)
        name = name_by_job.get(job_id) or line.get("organisation")
        if is_refusal(line):
            name = name or UNKNOWN_ORGANISATION
        if name:
            _add(by_name.setdefault(str(name), Organisation()), line, job_id)
    return by_name


def is_refusal(line: dict) -> bool:
    """Return whether a line tells of a request refused for its key."""
    is_listed = line.get("event") in owner_events.REFUSAL_NUMBERS
    return is_listed and "name" in line and "reason" in line


def table_rows(by_name: dict[str, Organisation]) -> list[list[str]]:
    """Return the table cells of all organisations, by name."""
    return [
        [
            name,
            str(len(each.job_ids)),
            str(each.waits.get_total_count()),
            str(each.waits.get_value_at_percentile(50)),
            str(each.waits.get_value_at_percentile(95)),
            _counts(each.count_by_end),
            _counts(each.count_by_refusal),
        ]
        for name, each in sorted(by_name.items())
    ]


def _add(organisation: Organisation, line: dict, job_id: str) -> None:
    name = line["name"]
    if name == events.JOB_LOADED.name:
        organisation.job_ids.add(job_id)
    elif name == events.RUN_ORDERED.name:
        waited_ms = line.get("waited_ms")
        if isinstance(waited_ms, int | float):
            organisation.waits.record_value(min(MAX_WAIT_MS, max(0, round(waited_ms))))
    elif name == events.JOB_FINISHED.name:
        organisation.count_by_end[str(line.get("outcome"))] += 1
    elif name == events.CALL_REFUSED.name or is_refusal(line):
        count = line.get("requests", 1)
        reason = str(line.get("reason") or line.get("outcome"))
        organisation.count_by_refusal[reason] += count if type(count) is int else 1


def _counts(counter: Counter[str]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in counter.most_common()) or "-"
