"""Test data: shards and clusters whose jobs belong to organisations."""

import dataclasses
from collections.abc import Collection

from limpetstream import amounts
from limpetstream.organisations import settings, usage
from limpetstream.shard import state
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages, state as workflow_state
from standins import shard_cluster, virtual_time

ACME = "acme"
GLOBEX = "globex"
SHORT = messages.Step(1, cpu_millicores=4000, memory_mb=1000)


def make_configuration(**limit_by_name: amounts.Amount) -> messages.Configuration:
    """Return a configuration of organisations with these limits."""
    return messages.Configuration(
        1,
        [shard_cluster.QUEUE, shard_cluster.BATCH],
        organisation_by_name={
            name: settings.Organisation(name, limit=limit)
            for name, limit in limit_by_name.items()
        },
    )


class SteppedTime:
    """Monotonic time that only ``advance`` changes."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_shard(*, executors: int = 4, **limit_by_name: amounts.Amount) -> state.Shard:
    """Return a recovered shard that counts what organisations hold."""
    shard = builders.make_shard(virtual_time.Loop(), executors=executors)
    shard.clock = dataclasses.replace(shard.clock, monotonic=SteppedTime())
    shard.view.configuration = make_configuration(**limit_by_name)
    return shard


def advance(shard: state.Shard, seconds: float) -> None:
    """Advance the time of a shard that is in contact with all executors."""
    shard.clock.monotonic.now += seconds
    shard.ownership_proven_at = shard.clock.monotonic()
    for executor in shard.executor_by_id.values():
        executor.polled_at = shard.clock.monotonic()


def make_tasks(
    shard: state.Shard,
    organisation: str = ACME,
    *,
    waited_s: float = 0.0,
    queue: str = "batch",
    **step_fields: object,
) -> list[workflow_state.Task]:
    """Return the tasks of a new job of an organisation; they wait."""
    step = builders.copy_step(SHORT, **step_fields)
    tasks = builders.make_tasks(shard, step, queue=queue)
    tasks[0].job.submission.organisation = organisation
    for task in tasks:
        task.ready_at = shard.clock.monotonic() - waited_s
    shard.waiting_tasks.extend(tasks)
    return tasks


def recount(
    shard: state.Shard, unknown_tasks: Collection[workflow_state.Task]
) -> dict[str, list[amounts.Amount]]:
    """Return what each organisation holds, and its long-running part."""
    held: dict[str, list[amounts.Amount]] = {}
    tasks = list(unknown_tasks)
    for executor in shard.executor_by_id.values():
        tasks.extend(run.task for run in executor.run_by_task.values())
    for task in tasks:
        sums = held.setdefault(
            task.job.submission.organisation, [amounts.ZERO, amounts.ZERO]
        )
        need = usage.need_of(task.step)
        sums[0] = amounts.add(sums[0], need)
        if task.step.long_running:
            sums[1] = amounts.add(sums[1], need)
    return held


def has_exact_usage(
    shard: state.Shard, unknown_tasks: Collection[workflow_state.Task] = ()
) -> bool:
    """Return whether the usage equals a count of all runs.

    ``unknown_tasks`` are those of the runs that no open job needs.
    """
    held = recount(shard, unknown_tasks)
    short = shard.usage.short_by_organisation("service")
    return all(
        short.get(name, amounts.ZERO) == shard.usage.short_of(name)
        for name in {"", ACME, GLOBEX, *held}
    ) and all(
        [shard.usage.of(name), shard.usage.long_running_of(name)]
        == held.get(name, [amounts.ZERO, amounts.ZERO])
        for name in {"", ACME, GLOBEX, *held}
    )


class LimitCheck:
    """Compares what organisations run on the stand-ins with their limits.

    A run on an executor counts until it has ended there, whatever owners know.
    ``limits`` holds the limits that were set with their loop times; a start
    may have been decided ``in_force_s`` before.
    """

    def __init__(self, cluster: shard_cluster.ShardCluster) -> None:
        self.cluster = cluster
        self.organisation_by_job: dict[str, str] = {}
        self.limits: list[tuple[float, dict[str, amounts.Amount]]] = []
        self.found: list[str] = []
        self.highest_by_name: dict[str, amounts.Amount] = {}
        self._record_start = cluster.breaches.record_start
        self._make_submission = cluster.make_submission
        cluster.breaches.record_start = self._check_start
        cluster.make_submission = self._make_owned

    def set_limits(self, **limit_by_name: amounts.Amount) -> None:
        """Put a configuration with these limits in force."""
        self.limits.append((self.cluster._loop.time(), limit_by_name))
        self.cluster.view.configuration = make_configuration(**limit_by_name)

    def running(self, name: str) -> amounts.Amount:
        """Return what an organisation really runs."""
        total = amounts.ZERO
        for executor in self.cluster.executor_by_id.values():
            for task, run in executor.run_by_task.items():
                if self.organisation_by_job.get(task.partition(".")[0]) == name:
                    total = amounts.add(total, usage.need_of(run.step))
        return total

    def _make_owned(self, job_id, steps, **options) -> messages.Submission:
        submission = self._make_submission(job_id, steps, **options)
        name = self.organisation_by_job.get(job_id, "")
        return dataclasses.replace(submission, organisation=name)

    def _check_start(self, task: str, executor_id: str) -> None:
        self._record_start(task, executor_id)
        name = self.organisation_by_job.get(task.partition(".")[0], "")
        if not name:
            return
        running, highest = self.running(name), self._highest_limit(name)
        known = self.highest_by_name.get(name, amounts.ZERO)
        self.highest_by_name[name] = tuple(map(max, known, running))
        if any(
            most and used > most for used, most in zip(running, highest, strict=True)
        ):
            at = self.cluster._loop.time()
            self.found.append(f"{at:.3f} s: {task}: {name} runs {running}")

    def _highest_limit(self, name: str, in_force_s: float = 20.0) -> amounts.Amount:
        since = self.cluster._loop.time() - in_force_s
        ends = [at for at, _ in self.limits[1:]] + [float("inf")]
        limits = [
            limit_by_name[name]
            for (_, limit_by_name), end in zip(self.limits, ends, strict=True)
            if end >= since and name in limit_by_name
        ]
        return tuple(
            0 if any(limit[i] == 0 for limit in limits) else max(x[i] for x in limits)
            for i in range(3)
        )


def run_scenario(scenario, **options):
    """Run a scenario of a cluster and a check; return the check."""
    checks: list[LimitCheck] = []

    async def checked(cluster):
        checks.append(LimitCheck(cluster))
        await scenario(cluster, checks[0])

    schedules.run_scenario(checked, **options)
    return checks[0]
