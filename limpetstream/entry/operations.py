"""All operations of the operators' API, and metrics at each scrape."""

from limpetstream.admin import (
    cluster_operations,
    openapi,
    settings_operations,
    work_operations,
)
from limpetstream.entry import parts as slices


def all_operations(parts: slices.Parts) -> list[openapi.Operation]:
    """Return every operation of one entry instance."""
    core = parts.core
    access = settings_operations.SettingsAccess(
        core.edits, core.committer, core.clock, core.log_reachable
    )
    return [
        *cluster_operations.instance_operations(parts),
        *cluster_operations.place_operations(parts),
        *cluster_operations.latency_operations(parts),
        *work_operations.job_operations(parts),
        *work_operations.request_operations(parts),
        *settings_operations.operations(access),
    ]


def refresh_metrics(parts: slices.Parts) -> None:
    """Set the gauges that are read at each scrape."""
    core = parts.core
    now = core.clock.monotonic()
    age = core.view.age(now)
    gauges = {
        "view_age_seconds": age if age != float("inf") else -1.0,
        "view_offset": core.view.next_offset,
        "settings_version": core.tree.version,
        "members": len(core.members.by_id),
        "rights_held": len(core.rights.holdings_of(core.settings.id)),
        "records_waiting": core.committer.pending_records,
        "appends_total": core.budget.appends_granted,
        "account_bytes_waiting": parts.ledger.outbox.bytes_held,
        "platform_calls": core.platform.traffic.calls,
        "platform_bytes": (
            core.platform.traffic.sent_bytes + core.platform.traffic.received_bytes
        ),
        "jobs": len(parts.jobs.job_by_id),
        "tasks": len(parts.jobs.task_by_id),
        "executors_held": len(parts.desk.holder.slot_table.by_executor),
    }
    for name, value in gauges.items():
        core.metrics.set(name, value)
