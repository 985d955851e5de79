"""Submissions and cancellations that follow from the settings tree."""

from collections.abc import Iterator
from typing import Any

import msgspec
import xxhash

from limpetstream.batch import jobs, messages


def job_id(kind: str, name: str, work: Any) -> str:
    """Return the id of a configured job, which changes with its settings."""
    digest = xxhash.xxh64_hexdigest(msgspec.json.encode(work))[:8]
    return f"{kind}:{name}:{digest}"


def submission(kind: str, name: str, work: Any, at_ms: int) -> messages.JobSubmit:
    """Return the submission of a configured job.

    Args:
        kind: ``watcher`` or ``job``.
        name: Name of the node in the settings tree.
        work: Settings of the node.
        at_ms: Wall time of the submission.
    """
    group = messages.TaskGroup(
        work.tasks, work.cores, work.memory_gb, work.accelerators, work.run_s
    )
    return messages.JobSubmit(
        job=job_id(kind, name, work),
        caller="",
        request_id=f"{kind}:{name}",
        body_hash="",
        team=work.team,
        work_class=work.work_class,
        tasks=[group],
        priority=work.priority,
        kind="watcher" if kind == "watcher" else "batch",
        checkpoint_s=work.checkpoint_s,
        at_ms=at_ms,
    )


def reconciling_records(
    tree: Any, state: jobs.Jobs, at_ms: int
) -> Iterator[tuple[str, messages.JobSubmit | messages.JobCancel]]:
    """Yield the records that bring the state in line with the tree.

    Every holder of workers may append them; a record that another holder has
    already appended is void.
    """
    wanted_ids = set()
    for kind in ("watcher", "job"):
        for name in tree.names(kind):
            work = tree.work(name)
            work_id = job_id(kind, name, work)
            wanted_ids.add(work_id)
            existing = state.job_by_id.get(work_id)
            dropped = jobs.job_hash(work_id) in state.dropped_job_hashes
            restarts = existing is not None and existing.final and kind == "watcher"
            if (existing is None and not dropped) or restarts:
                yield "job.submit", submission(kind, name, work, at_ms)
    for work_id, job in list(state.job_by_id.items()):
        configured = not job.submit.caller and work_id.startswith(("watcher:", "job:"))
        if (
            configured
            and work_id not in wanted_ids
            and not job.final
            and not job.cancelled
        ):
            reason = "no longer in the settings"
            yield "job.cancel", messages.JobCancel(work_id, reason, at_ms)
