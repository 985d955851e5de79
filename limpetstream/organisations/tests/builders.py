"""Test data: shards and clusters whose jobs belong to organisations."""

import dataclasses
from collections.abc import Collection

from limpetstream import amounts
from limpetstream.organisations import settings, usage
from limpetstream.shard import state
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages, state as workflow_state
from standins import organisation_limits, shard_cluster, virtual_time

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
    """Return what each organisation holds, and the long-running part.

    The third amount is that of runs that are long-running or best-effort.
    """
    held: dict[str, list[amounts.Amount]] = {}
    tasks = list(unknown_tasks)
    for executor in shard.executor_by_id.values():
        tasks.extend(run.task for run in executor.run_by_task.values())
    for task in tasks:
        sums = held.setdefault(task.job.submission.organisation, [amounts.ZERO] * 3)
        need = usage.need_of(task.step)
        sums[0] = amounts.add(sums[0], need)
        if task.step.long_running:
            sums[1] = amounts.add(sums[1], need)
        if task.step.long_running or task.step.fills:
            sums[2] = amounts.add(sums[2], need)
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
        [
            shard.usage.of(name),
            shard.usage.long_running_of(name),
            shard.usage.lasting_of(name),
        ]
        == held.get(name, [amounts.ZERO] * 3)
        for name in {"", ACME, GLOBEX, *held}
    )


class ClusterLimits:
    """Limits of organisations in a cluster, and the check of its starts.

    What the check finds is in the breaches of the cluster.
    """

    def __init__(self, cluster: shard_cluster.ShardCluster) -> None:
        self.cluster = cluster
        self.check = organisation_limits.LimitCheck(cluster.breaches, self._need_of)
        self.organisation_by_job = self.check.organisation_by_job
        self._make_submission = cluster.make_submission
        cluster.make_submission = self._make_owned

    @property
    def found(self) -> list[str]:
        """Violations in the cluster, of limits and of anything else."""
        return self.cluster.breaches.found

    def set_limits(self, **limit_by_name: amounts.Amount) -> None:
        """Put a configuration with these limits in force."""
        self.check.set_limits(limit_by_name)
        self.cluster.view.configuration = make_configuration(**limit_by_name)

    def running(self, name: str) -> amounts.Amount:
        """Return what an organisation really runs now."""
        for advance in self.cluster.breaches.advance_by_executor.values():
            advance()
        return self.check.running(name)

    def _need_of(self, task: str) -> amounts.Amount:
        job_id, _occurrence, step, _index = task.split(".")
        return usage.need_of(self.cluster.steps_by_spec[job_id][int(step)])

    def _make_owned(self, job_id, steps, **options) -> messages.Submission:
        submission = self._make_submission(job_id, steps, **options)
        name = self.organisation_by_job.get(job_id, "")
        return dataclasses.replace(submission, organisation=name)


def run_scenario(scenario, **options):
    """Run a scenario of a cluster and its limits; return the limits."""
    checks: list[ClusterLimits] = []

    async def checked(cluster):
        checks.append(ClusterLimits(cluster))
        await scenario(cluster, checks[0])

    schedules.run_scenario(checked, **options)
    return checks[0]
