"""Operations that show teams, jobs, tasks and single desk requests."""

import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from limpetstream import amounts, errors
from limpetstream.admin import handlers, openapi
from limpetstream.batch import explain

if TYPE_CHECKING:
    from limpetstream.entry import components as entry_components

READ = "read"
MAX_JOB_ROWS = 1000
ACCOUNT_PAGE_ROWS = 500
# amounts.Amount counts millicores and MB.
MILLICORES_PER_CORE = 1000
MB_PER_GB = 1024


def amount_row(size: amounts.Amount) -> dict[str, float]:
    """Return an amount of resources in cores, GB and accelerators."""
    return {
        "cores": size[0] / MILLICORES_PER_CORE,
        "memory_gb": size[1] / MB_PER_GB,
        "accelerators": size[2],
    }


def team_row(components: "entry_components.Components", name: str) -> dict[str, Any]:
    """Return the quota, the use and the borrowed cores of a team."""
    settings = components.core.tree.team(name)
    used = amount_row(components.jobs.quota.used_by_team.get(name, amounts.ZERO))
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
    """List the teams with quota and use."""
    return [team_row(components, name) for name in components.core.tree.names("team")]


async def show_jobs(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """List batch jobs and watchers."""
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
    return rows[-MAX_JOB_ROWS:]


async def show_task(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Show the history of a task and why it is not running."""
    jobs = components.jobs
    task = jobs.task_by_id.get(call.parameters["task"])
    if task is None:
        raise handlers.not_found("task", call.parameters["task"], jobs.task_by_id)
    capacities = explain.worker_capacities(components.fleet)
    return explain.explain(task, jobs, components.core.tree, capacities)


def job_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return the operations that show teams, jobs and tasks."""

    operation = functools.partial(openapi.Operation, components)
    return [
        operation(
            "GET", "/teams", READ, "List the teams with quota and use.", show_teams
        ),
        operation(
            "GET",
            "/jobs",
            READ,
            "List batch jobs and watchers.",
            show_jobs,
            query=("team", "state"),
        ),
        operation(
            "GET",
            "/tasks/{task}",
            READ,
            "Show the history of a task and why it is not running.",
            show_task,
        ),
    ]


async def show_request(
    components: "entry_components.Components", call: openapi.Call
) -> Any:
    """Show a request's account row, its intent and if its answer is kept."""
    caller, request_id = call.parameters["caller"], call.parameters["request"]
    known = components.core.tree.names("caller")
    if caller not in known:
        raise handlers.not_found("caller", caller, known)
    intent = components.desk.intents.by_key.get((caller, request_id))
    cached_answer = components.desk.answer_cache.by_key.get((caller, request_id))
    row = await find_account_row(components, caller, request_id)
    if row is None and intent is None and cached_answer is None:
        raise errors.Rejected(404, "not-found", "no such request of this caller")
    return {
        "caller": caller,
        "request": request_id,
        "account": dataclasses.asdict(row) if row else None,
        "intent": dataclasses.asdict(intent) if intent else None,
        "answer_kept_here": cached_answer is not None
        and cached_answer.answer is not None,
    }


def request_operations(
    components: "entry_components.Components",
) -> list[openapi.Operation]:
    """Return the operation that shows one desk request."""

    return [
        openapi.Operation(
            components,
            "GET",
            "/requests/{caller}/{request}",
            READ,
            "Show a request's account row, its intent and if its answer is kept.",
            show_request,
        )
    ]


async def find_account_row(
    components: "entry_components.Components", caller: str, request_id: str
) -> Any:
    """Return the account row of a request; None if there is none.

    The caller's account is searched page by page.

    Raises:
        Rejected: The log cannot be read.
    """
    after = ""
    while True:
        try:
            page = await components.ledger.export(
                caller, after=after, limit=ACCOUNT_PAGE_ROWS
            )
        except errors.LogUnavailable as error:
            raise errors.Rejected(
                503,
                "log-unavailable",
                "the caller's account cannot be read because the log is unavailable",
            ) from error
        for row in page.rows:
            if row.request_id == request_id:
                return row
        after = page.after
        if page.complete:
            return None
