"""Operations that show instances, rights, data centres and executors."""

import functools
from typing import TYPE_CHECKING, Any

import msgspec

from limpetstream import errors
from limpetstream.admin import handlers, messages, openapi, work_operations
from limpetstream.batch import quotas
from limpetstream.telemetry import histograms

if TYPE_CHECKING:
    from limpetstream.entry import components as entry_components

READ = "read"
FRAMES_PER_READ = 500
# Counted where desk requests and jobs are refused.
REFUSALS_METRIC = "refusals"


def current_work(
    components: "entry_components.Components", data_centre: str
) -> dict[str, int]:
    """Return placed tasks, and desk requests that this instance runs there."""
    tasks = sum(
        len(ids)
        for worker, ids in components.jobs.task_ids_by_worker.items()
        if ids
        and components.jobs.task_by_id[next(iter(ids))].data_centre == data_centre
    )
    now = components.core.clock.monotonic()
    requests = sum(
        len(executor.expires_at_by_slot)
        for executor in components.desk.holder.slot_table.by_executor.values()
        if executor.data_centre == data_centre and now >= executor.blocked_until
    )
    return {"tasks": tasks, "requests": requests}


def data_centre_row(
    components: "entry_components.Components", name: str
) -> dict[str, Any]:
    """Return one data centre for display."""
    listed = [
        each
        for each in components.core.directory.by_id.values()
        if each.data_centre == name
    ]
    holding = components.core.rights.holding_of(f"workers/{name}")
    return {
        "name": name,
        "state": components.core.tree.data_centre(name).state,
        "workers": sum(each.role == "worker" for each in listed),
        "executors": sum(each.role == "backend" for each in listed),
        "holder": holding.instance if holding else None,
        **current_work(components, name),
    }


async def show_status(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Show this instance."""
    core = components.core
    now = core.clock.monotonic()
    age = core.view.age(now)
    return {
        "instance": core.settings.id,
        "data_centre": core.settings.data_centre,
        "state": components.state(),
        "view_offset": core.view.next_offset,
        "view_age_s": round(age, 3) if age != float("inf") else None,
        "settings_version": core.tree.version,
        "rights": sorted(core.rights.holdings_of(core.settings.id)),
        "records_waiting": core.committer.pending_records,
        "account_bytes_waiting": components.ledger.outbox.bytes_held,
    }


async def show_members(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List entry instances."""
    core = components.core
    return [
        {
            "instance": member.id,
            "data_centre": member.data_centre,
            "callers": member.caller_address,
            "peers": member.peer_address,
            "leaving": member.leaving,
            "rights": len(core.rights.holdings_of(member.id)),
        }
        for member in sorted(core.members.by_id.values(), key=lambda m: m.id)
    ]


async def show_rights(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List who holds what."""
    core = components.core
    rows = []
    for resource, data_centre in sorted(core.resources().items()):
        holding = core.rights.holding_of(resource)
        rows.append(
            {
                "resource": resource,
                "data_centre": data_centre,
                "holder": holding.instance if holding else None,
                "epoch": holding.epoch if holding else None,
            }
        )
    return rows


def instance_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return operations on entry instances and rights."""

    make = functools.partial(openapi.Operation, components)
    return [
        make("GET", "/status", READ, "Show this instance.", show_status),
        make("GET", "/members", READ, "List entry instances.", show_members),
        make("GET", "/rights", READ, "List who holds what.", show_rights),
    ]


async def show_data_centres(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List data centres."""
    core = components.core
    names = core.tree.names("data-centre")
    return [data_centre_row(components, name) for name in names]


async def show_data_centre(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Show one data centre."""
    core = components.core
    name, known = call.parameters["name"], core.tree.names("data-centre")
    if name not in known:
        raise handlers.not_found("data centre", name, known)
    return data_centre_row(components, name)


async def show_workers(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List workers."""
    core = components.core
    wanted = call.query["data_centre"]
    handlers.check_filter("data centre", wanted, core.tree.names("data-centre"))
    rows = []
    for each in core.directory.with_role("worker"):
        if wanted and each.data_centre != wanted:
            continue
        ids = components.jobs.task_ids_by_worker.get(each.id, {})
        total = quotas.ZERO
        for task in ids:
            total = quotas.add(total, components.jobs.task_by_id[task].size)
        used = work_operations.amount_row(total)
        rows.append(
            {
                "worker": each.id,
                "data_centre": each.data_centre,
                "rack": each.rack,
                "state": each.state,
                "cores": each.cores,
                "memory_gb": each.memory_gb,
                "accelerators": each.accelerators,
                "tasks": len(ids),
                "cores_used": used["cores"],
                "memory_gb_used": used["memory_gb"],
            }
        )
    return rows


async def show_executors(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List executors."""
    core = components.core
    now, wanted = core.clock.monotonic(), call.query["service"]
    handlers.check_filter("service", wanted, core.tree.names("service"))
    slot_table = components.desk.holder.slot_table
    rows = []
    for each in core.directory.with_role("backend"):
        if wanted and each.service != wanted:
            continue
        own = slot_table.by_executor.get(each.id)
        rows.append(
            {
                "executor": each.id,
                "service": each.service,
                "data_centre": each.data_centre,
                "worker": each.worker,
                "state": each.state,
                "held_here": own is not None,
                "slots_used": own.used_slots(now) if own else None,
                "usable": components.desk.holder.usable_slots(own, now)
                if own
                else None,
            }
        )
    return rows


def infrastructure_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return operations on data centres, workers and executors."""

    make = functools.partial(openapi.Operation, components)
    return [
        make("GET", "/data-centres", READ, "List data centres.", show_data_centres),
        make(
            "GET",
            "/data-centres/{name}",
            READ,
            "Show one data centre.",
            show_data_centre,
        ),
        make(
            "GET",
            "/workers",
            READ,
            "List workers.",
            show_workers,
            query=("data_centre",),
        ),
        make(
            "GET",
            "/executors",
            READ,
            "List executors.",
            show_executors,
            query=("service",),
        ),
    ]


async def read_logged_slices(
    components: "entry_components.Components",
) -> list[histograms.Slice]:
    """Read the latency slices that are still on the telemetry stream.

    The slices of instances that are gone are there only.
    """
    found: list[histograms.Slice] = []
    offset = 0
    while True:
        try:
            page = await components.core.log.read(
                histograms.STREAM, offset, max_frames=FRAMES_PER_READ
            )
        except errors.OffsetExpired as error:
            offset = error.first
            continue
        for frame in page.frames:
            for line in frame.records:
                try:
                    part = msgspec.json.decode(line, type=histograms.Slice)
                except msgspec.DecodeError:
                    continue
                found.append(part)
        offset = page.next
        if offset >= page.end:
            return found


async def show_latencies(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Latency slices for the burn report."""
    core = components.core
    found = core.latencies.slices()
    if call.query["own"] != "true":
        try:
            found = [*await read_logged_slices(components), *found]
        except errors.LogUnavailable as error:
            raise errors.Rejected(
                503, "log-unavailable", "ask with own=true"
            ) from error
    scheme = "https" if core.settings.tls else "http"
    return messages.LatencyReport(
        core.settings.id,
        [
            messages.MemberAddress(each.id, f"{scheme}://{each.caller_address}")
            for each in core.members.by_id.values()
        ],
        {name: core.tree.service(name) for name in core.tree.names("service")},
        found,
    )


async def show_refusals(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Count this instance's refusals by reason."""
    core = components.core
    rows = [
        {**labels, "count": int(count)}
        for labels, count in core.metrics.counter_values(REFUSALS_METRIC)
    ]
    rows.sort(key=lambda row: (-row["count"], row["service"], row["reason"]))
    return [{key: row[key] for key in ("service", "reason", "count")} for row in rows]


def statistics_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return the operation behind the burn report."""

    make = functools.partial(openapi.Operation, components)
    return [
        make(
            "GET",
            "/latencies",
            READ,
            "Latency slices for the burn report.",
            show_latencies,
            query=("own",),
        ),
        make(
            "GET",
            "/refusals",
            READ,
            "Count this instance's refusals by reason.",
            show_refusals,
        ),
    ]
