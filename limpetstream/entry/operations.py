"""Collects the operations of the operators' API and updates the gauges."""

from limpetstream.admin import (
    cluster_operations,
    openapi,
    settings_operations,
    work_operations,
)
from limpetstream.entry import components as entry_components


def all_operations(components: entry_components.Components) -> list[openapi.Operation]:
    """Return all operations that one entry instance offers to operators."""
    core = components.core
    access = settings_operations.SettingsAccess(
        core.edits, core.committer, core.clock, core.log_reachable
    )
    return [
        *cluster_operations.instance_operations(components),
        *cluster_operations.infrastructure_operations(components),
        *cluster_operations.statistics_operations(components),
        *work_operations.job_operations(components),
        *work_operations.request_operations(components),
        *settings_operations.operations(access),
    ]


def refresh_metrics(components: entry_components.Components) -> None:
    """Set the gauges from the current state; called at each scrape."""
    core = components.core
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
        "account_bytes_waiting": components.ledger.outbox.bytes_held,
        "platform_calls": core.platform.traffic.calls,
        "platform_bytes": (
            core.platform.traffic.sent_bytes + core.platform.traffic.received_bytes
        ),
        "jobs": len(components.jobs.job_by_id),
        "tasks": len(components.jobs.task_by_id),
        "executors_held": len(components.desk.holder.slot_table.by_executor),
    }
    for name, value in gauges.items():
        core.metrics.set(name, value)
