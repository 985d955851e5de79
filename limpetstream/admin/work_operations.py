"""Operations that show jobs, tasks, teams and single requests."""

import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from limpetstream import errors
from limpetstream.admin import handlers, openapi
from limpetstream.batch import explain, quotas

if TYPE_CHECKING:
    from limpetstream.entry import components as entry_components

READ = "read"
MAX_ROWS = 1000
ACCOUNT_PAGE_ROWS = 500
# Units of quotas.Amount.
MILLICORES = 1000
MB_PER_GB = 1024


def amount_row(size: quotas.Amount) -> dict[str, float]:
    """Return cores, memory and accelerators for display."""
    return {
        "cores": size[0] / MILLICORES,
        "memory_gb": size[1] / MB_PER_GB,
        "accelerators": size[2],
    }


def team_row(components: "entry_components.Components", name: str) -> dict[str, Any]:
    """Return a team's quota, its use, and what it has borrowed."""
    settings = components.core.tree.team(name)
    used = amount_row(components.jobs.quota.used_by_team.get(name, quotas.ZERO))
    cores = used["cores"]
    quota = settings.quota_cores
    return {
        "team": name,
        "quota_cores": quota if quota >= 0 else None,
        "used_cores": cores,
        "borrowed_cores": max(0.0, cores - quota) if quota >= 0 else 0.0,
        "quota_memory_gb": settings.quota_memory_gb,
        "used_memory_gb": used["memory_gb"],
        "quota_accelerators": settings.quota_accelerators,
        "used_accelerators": used["accelerators"],
        "may_borrow": settings.borrow,
    }


async def show_teams(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List teams with quota and use."""
    return [team_row(components, name) for name in components.core.tree.names("team")]


async def show_jobs(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List jobs and watchers."""
    jobs = components.jobs
    team, state = call.query["team"], call.query["state"]
    handlers.check_filter("team", team, components.core.tree.names("team"))
    rows = []
    for job_id, job in jobs.job_by_id.items():
        if (team and job.submit.team != team) or (state and job.state != state):
            continue
        rows.append(
            {
                "job": job_id,
                "kind": job.submit.kind,
                "team": job.submit.team,
                "priority": job.submit.priority,
                "state": job.state,
                "tasks": len(job.task_ids),
                "finished": job.finished,
                "open": job.open_tasks,
            }
        )
    return rows[-MAX_ROWS:]


async def show_task(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Tell a task's whole story."""
    jobs = components.jobs
    task = jobs.task_by_id.get(call.parameters["task"])
    if task is None:
        raise handlers.not_found("task", call.parameters["task"], jobs.task_by_id)
    rooms = explain.worker_capacities(components.fleet)
    return explain.explain(task, jobs, components.core.tree, rooms)


def job_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return operations on jobs, tasks and teams."""

    make = functools.partial(openapi.Operation, components)
    return [
        make("GET", "/teams", READ, "List teams with quota and use.", show_teams),
        make(
            "GET",
            "/jobs",
            READ,
            "List jobs and watchers.",
            show_jobs,
            query=("team", "state"),
        ),
        make("GET", "/tasks/{task}", READ, "Tell a task's whole story.", show_task),
    ]


async def show_request(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Tell a request's whole story."""
    caller, request_id = call.parameters["caller"], call.parameters["request"]
    known = components.core.tree.names("caller")
    if caller not in known:
        raise handlers.not_found("caller", caller, known)
    intent = components.desk.intents.by_key.get((caller, request_id))
    kept = components.desk.answer_cache.by_key.get((caller, request_id))
    row = await find_account_row(components, caller, request_id)
    if row is None and intent is None and kept is None:
        raise errors.Rejected(404, "not-found", "no such request of this caller")
    return {
        "caller": caller,
        "request": request_id,
        "account": dataclasses.asdict(row) if row else None,
        "intent": dataclasses.asdict(intent) if intent else None,
        "answer_kept_here": kept is not None and kept.answer is not None,
    }


def request_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return the operation that tells one request's whole story."""

    return [
        openapi.Operation(
            components,
            "GET",
            "/requests/{caller}/{request}",
            READ,
            "Tell a request's whole story.",
            show_request,
        )
    ]


async def find_account_row(
    components: "entry_components.Components", caller: str, request_id: str
) -> Any:
    """Search a caller's account for one request, page by page.

    Raises:
        Rejected: The log is out of reach.
    """
    after = ""
    while True:
        try:
            page = await components.ledger.export(
                caller, after=after, limit=ACCOUNT_PAGE_ROWS
            )
        except errors.LogUnavailable as error:
            raise errors.Rejected(
                503, "log-unavailable", "the account cannot be read now"
            ) from error
        for row in page.rows:
            if row.request_id == request_id:
                return row
        after = page.after
        if page.complete:
            return None
