"""Logs how an owner is doing."""

import dataclasses

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import audits, events, state
from limpetstream.telemetry import logs

REPORT_INTERVAL_S = 5.0  # The platform reads the metrics as often.


@dataclasses.dataclass(slots=True)
class Reporter:
    """State of the reports of one owner.

    Args:
        next_report_at: Monotonic time of the next report.
        worst_delay_s: Longest time since the last report that a timer of the
            event loop was late.
    """

    next_report_at: float
    worst_delay_s: float = 0.0


def note_delay(reporter: Reporter, delay_s: float) -> None:
    """Note by how many seconds a timer of the event loop was late."""
    reporter.worst_delay_s = max(reporter.worst_delay_s, delay_s)


def report_if_due(shard: state.Shard, reporter: Reporter, audit: audits.Audit) -> None:
    """Log the state of the owner, once an interval."""
    now = shard.clock.monotonic()
    if now < reporter.next_report_at or not shard.recovered:
        return
    reporter.next_report_at = now + REPORT_INTERVAL_S
    _log_owner(shard, reporter, audit)
    reporter.worst_delay_s = 0.0


def _log_owner(shard: state.Shard, reporter: Reporter, audit: audits.Audit) -> None:
    configuration = shard.view.configuration
    executors = shard.executor_by_id.values()
    logs.emit(
        events.OWNER_STATE,
        shard=shard.number,
        epoch=shard.epoch,
        delay_ms=round(reporter.worst_delay_s * 1000),
        version=configuration.version if configuration else None,
        queues=len(configuration.queues) if configuration else 0,
        executors=len(executors),
        leaving=sum(
            executor.listing.state == executor_messages.DRAINING
            for executor in executors
        ),
        silent=sum(executor.silent_since is not None for executor in executors),
        located=shard.earlier_runs_settled,
        open_tasks=sum(not task.done for task in audits.released_tasks(shard)),
        waiting=len(shard.waiting_tasks),
        forgotten=audit.violations,
    )
