"""Logs how an owner is doing."""

import collections
import dataclasses

from limpetstream.executors import messages as executor_messages
from limpetstream.organisations import limits, reports as organisation_reports
from limpetstream.shard import audits, events, owner_load, state
from limpetstream.shard.queueing import job_memory
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

REPORT_INTERVAL_S = 5.0  # The platform reads the metrics as often.


@dataclasses.dataclass(slots=True)
class Reporter:
    """State of the reports of one owner.

    Args:
        next_report_at: Monotonic time of the next report.
        worst_delay_s: Longest time since the last report that a timer of the
            event loop was late.
        sum_of_delays_s: Sum of these times.
        delay_count: Number of these times.
        organisations: Names of the organisations that had work in the last
            report.
    """

    next_report_at: float
    worst_delay_s: float = 0.0
    sum_of_delays_s: float = 0.0
    delay_count: int = 0
    organisations: frozenset[str] = frozenset()


def note_delay(reporter: Reporter, delay_s: float) -> None:
    """Note by how many seconds a timer of the event loop was late."""
    reporter.worst_delay_s = max(reporter.worst_delay_s, delay_s)
    reporter.sum_of_delays_s += max(0.0, delay_s)
    reporter.delay_count += 1


def report_if_due(shard: state.Shard, reporter: Reporter, audit: audits.Audit) -> None:
    """Log the state of the owner, once an interval."""
    now = shard.clock.monotonic()
    if now < reporter.next_report_at or not shard.recovered:
        return
    reporter.next_report_at = now + REPORT_INTERVAL_S
    _log_owner(shard, reporter, audit)
    reporter.organisations = organisation_reports.log(shard, reporter.organisations)
    reporter.worst_delay_s = reporter.sum_of_delays_s = 0.0
    reporter.delay_count = 0
    owner_load.begin(shard.load, shard.clock)


def _log_owner(shard: state.Shard, reporter: Reporter, audit: audits.Audit) -> None:
    configuration = shard.view.configuration
    executors = shard.executor_by_id.values()
    now = shard.clock.monotonic()
    elapsed_s = now - shard.load.began_at
    without_turn = _rows_without_turn(shard, now)
    logs.emit(
        events.OWNER_STATE,
        shard=shard.number,
        epoch=shard.epoch,
        delay_ms=round(reporter.worst_delay_s * 1000),
        mean_delay_ms=round(
            reporter.sum_of_delays_s * 1000 / max(1, reporter.delay_count)
        ),
        poll_pause_ms=round(shard.send_window.lateness.pause_s * 1000),
        processor_percent=owner_load.percent(
            shard.clock.processor() - shard.load.processor_began_s, elapsed_s
        ),
        work=owner_load.work_rows(shard.load, elapsed_s),
        turns=owner_load.turn_rows(shard.load),
        without_turn=without_turn,
        oldest_without_turn_ms=max(
            (row["oldest_ms"] for row in without_turn), default=0
        ),
        version=configuration.version if configuration else None,
        queues=len(configuration.queues) if configuration else 0,
        executors=len(executors),
        leaving=sum(
            executor.listing.state == executor_messages.DRAINING
            for executor in executors
        ),
        silent=sum(executor.silent_since is not None for executor in executors),
        located=shard.earlier_runs_settled,
        open_tasks=audits.count_open(shard),
        waiting=len(shard.waiting_tasks),
        job_memory_percent=job_memory.used_percent(shard.job_memory),
        forgotten=audit.violations,
    )


def _rows_without_turn(shard: state.Shard, now: float) -> list[dict[str, int]]:
    """Return how many tasks wait for their first turn, and for how long.

    The rows are those of the most urgent priorities.
    """
    waits_by_priority: dict[int, list[float]] = collections.defaultdict(list)
    for task in shard.waiting_tasks:
        if task.first_turn_at < task.ready_at and task.not_before <= now:
            if not limits.allows(shard, task):
                continue
            waited_s = min(workflow_state.waited_s(task, now), now - task.not_before)
            waits_by_priority[shard.priority_of(task.job)].append(waited_s)
    return [
        {
            "priority": priority,
            "tasks": len(waits),
            "oldest_ms": round(max(waits) * 1000),
        }
        for priority, waits in sorted(waits_by_priority.items())
    ][: owner_load.MAX_PRIORITIES]
