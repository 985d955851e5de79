"""Operations that show the state of the cluster.

They cover entry instances, rights, data centres, workers, executors, latencies
and refusals.
"""

import functools
from typing import TYPE_CHECKING, Any

import msgspec

from limpetstream import amounts, errors
from limpetstream.admin import handlers, messages, openapi, work_operations
from limpetstream.telemetry import histograms

if TYPE_CHECKING:
    from limpetstream.entry import components as entry_components

READ = "read"
FRAMES_PER_READ = 500
# Counter of refused desk requests and jobs.
REFUSALS_METRIC = "refusals"


def current_work(
    components: "entry_components.Components", data_centre: str
) -> dict[str, int]:
    """Return the number of tasks and desk requests in a data centre.

    Tasks are those of all instances. Requests are only those that this
    instance has in flight, on executors that are not blocked.
    """
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
    """Return the state of one data centre for display."""
    data_centre_instances = [
        each
        for each in components.core.directory.by_id.values()
        if each.data_centre == name
    ]
    holding = components.core.rights.holding_of(f"workers/{name}")
    return {
        "name": name,
        "state": components.core.tree.data_centre(name).state,
        "workers": sum(each.role == "worker" for each in data_centre_instances),
        "executors": sum(each.role == "backend" for each in data_centre_instances),
        "holder": holding.instance if holding else None,
        **current_work(components, name),
    }


async def show_status(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Show the state of this instance."""
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
    """List the entry instances."""
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
    """List the holder of each resource."""
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
    """Return the operations that show entry instances and rights."""

    operation = functools.partial(openapi.Operation, components)
    return [
        operation(
            "GET", "/status", READ, "Show the state of this instance.", show_status
        ),
        operation("GET", "/members", READ, "List the entry instances.", show_members),
        operation(
            "GET", "/rights", READ, "List the holder of each resource.", show_rights
        ),
    ]


async def show_data_centres(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List the data centres."""
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
    """List the workers."""
    core = components.core
    filter_name = call.query["data_centre"]
    handlers.check_filter("data centre", filter_name, core.tree.names("data-centre"))
    rows = []
    for each in core.directory.with_role("worker"):
        if filter_name and each.data_centre != filter_name:
            continue
        ids = components.jobs.task_ids_by_worker.get(each.id, {})
        total = amounts.ZERO
        for task in ids:
            total = amounts.add(total, components.jobs.task_by_id[task].size)
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
    """List the executors."""
    core = components.core
    now, filter_name = core.clock.monotonic(), call.query["service"]
    handlers.check_filter("service", filter_name, core.tree.names("service"))
    slot_table = components.desk.holder.slot_table
    rows = []
    for each in core.directory.with_role("backend"):
        if filter_name and each.service != filter_name:
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
    """Return the operations that show data centres, workers and executors."""

    operation = functools.partial(openapi.Operation, components)
    return [
        operation(
            "GET", "/data-centres", READ, "List the data centres.", show_data_centres
        ),
        operation(
            "GET",
            "/data-centres/{name}",
            READ,
            "Show one data centre.",
            show_data_centre,
        ),
        operation(
            "GET",
            "/workers",
            READ,
            "List the workers.",
            show_workers,
            query=("data_centre",),
        ),
        operation(
            "GET",
            "/executors",
            READ,
            "List the executors.",
            show_executors,
            query=("service",),
        ),
    ]


async def read_logged_slices(
    components: "entry_components.Components",
) -> list[histograms.Slice]:
    """Read the latency slices that the telemetry stream still keeps.

    Slices of instances that no longer run are only there.

    Raises:
        LogUnavailable: The log cannot be read.
    """
    slices: list[histograms.Slice] = []
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
                    slice_ = msgspec.json.decode(line, type=histograms.Slice)
                except msgspec.DecodeError:
                    continue
                slices.append(slice_)
        offset = page.next
        if offset >= page.end:
            return slices


async def show_latencies(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Return the latency slices for the burn report."""
    core = components.core
    slices = core.latencies.slices()
    if call.query["own"] != "true":
        try:
            slices = [*await read_logged_slices(components), *slices]
        except errors.LogUnavailable as error:
            raise errors.Rejected(
                503,
                "log-unavailable",
                "the log cannot be read; own=true asks for this instance only",
            ) from error
    scheme = "https" if core.settings.tls else "http"
    return messages.LatencyReport(
        core.settings.id,
        [
            messages.MemberAddress(each.id, f"{scheme}://{each.caller_address}")
            for each in core.members.by_id.values()
        ],
        {name: core.tree.service(name) for name in core.tree.names("service")},
        slices,
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
    """Return the operations that show latencies and refusals."""

    operation = functools.partial(openapi.Operation, components)
    return [
        operation(
            "GET",
            "/latencies",
            READ,
            "Return the latency slices for the burn report.",
            show_latencies,
            query=("own",),
        ),
        operation(
            "GET",
            "/refusals",
            READ,
            "Count this instance's refusals by reason.",
            show_refusals,
        ),
    ]
