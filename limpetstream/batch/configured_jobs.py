"""Watchers and jobs that operators keep in the settings tree."""

from collections.abc import Iterator
from typing import Any

import msgspec
import xxhash

from limpetstream.batch import jobs, messages


def job_id(kind: str, name: str, work: Any) -> str:
    """Return the fixed id of standing work; it changes with its settings."""
    digest = xxhash.xxh64_hexdigest(msgspec.json.encode(work))[:8]
    return f"{kind}:{name}:{digest}"


def submission(kind: str, name: str, work: Any, at_ms: int) -> messages.JobSubmit:
    """Return the submission of standing work."""
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


def changes(
    tree: Any, state: jobs.Jobs, at_ms: int
) -> Iterator[tuple[str, messages.JobSubmit | messages.JobCancel]]:
    """Yield the records that bring the state in line with the tree.

    Every holder of workers may append them; a record that another one was
    faster with is void.
    """
    wanted = set()
    for kind in ("watcher", "job"):
        for name in tree.names(kind):
            work = tree.work(name)
            one = job_id(kind, name, work)
            wanted.add(one)
            known = state.job_by_id.get(one)
            gone = jobs.job_hash(one) in state.dropped_job_hashes
            again = known is not None and known.final and kind == "watcher"
            if (known is None and not gone) or again:
                yield "job.submit", submission(kind, name, work, at_ms)
    for one, job in list(state.job_by_id.items()):
        ours = not job.submit.caller and one.startswith(("watcher:", "job:"))
        if ours and one not in wanted and not job.final and not job.cancelled:
            reason = "no longer in the settings"
            yield "job.cancel", messages.JobCancel(one, reason, at_ms)
