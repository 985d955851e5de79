"""Builds batch state and scheduler of a loaded system, without any network.

Its size is given by the number of workers.
"""

import dataclasses
import random
from typing import Any

from bench import _batch_world, _platform_fakes
from limpetstream import clock
from limpetstream.batch import (
    context,
    demand,
    fleet,
    jobs,
    messages,
    placement,
    planner,
    quarantine,
    quotas,
    usage_estimates,
)
from limpetstream.records import view
from limpetstream.settings import schema
from limpetstream.telemetry import metrics

DATA_CENTRES = 25
TEAMS = 72
CLASSES = 20
SERVICES = ("quote", "ticket", "weigh")
TASKS_PER_WORKER = 18_600 / 2_300
SIZES = ((1.0, 2.0), (2.0, 8.0), (4.0, 16.0), (8.0, 24.0), (0.5, 1.0), (3.0, 30.0))


@dataclasses.dataclass(slots=True)
class System:
    """Batch state, worker index and planner over all workers.

    Args:
        random: Source of job sizes and placements.
        tree: Settings tree.
        directory: Instance list.
        state: Batch state.
        fleet: Workers with their free capacity.
        planner: Chooses placements.
        offset: Offset of the last applied record.
        job_count: Number of jobs submitted.
        placed_tasks: Ids of the tasks that run.
    """

    random: random.Random
    tree: _batch_world.SettingsTree
    directory: _platform_fakes.Directory
    state: jobs.Jobs
    fleet: fleet.Fleet
    planner: planner.Planner
    offset: int = 0
    job_count: int = 0
    placed_tasks: list[str] = dataclasses.field(default_factory=list)

    def apply_record(
        self, kind: str, body: object, data_centre: str | None = None
    ) -> None:
        """Apply one record to the state, without a log.

        Raises:
            AssertionError: The record is void.
        """
        self.offset += 1
        resource = jobs.resource_of(data_centre) if data_centre else None
        entry = view.Entry(self.offset, 0, kind, "e1", self.offset, resource, 1, body)
        name = {"job.submit": "submit", "task.place": "place", "task.end": "end"}[kind]
        void_reason = getattr(self.state, f"apply_{name}")(entry)
        if void_reason is not None:
            raise AssertionError(f"record {kind} is void: {void_reason}")

    def submit(self, count: int, *, priority: str = "normal") -> list[str]:
        """Submit a job of random size and return the ids of its tasks."""
        cores, memory_gb = self.random.choice(SIZES)
        accelerators = 1 if self.random.random() < 0.1 else 0
        self.job_count += 1
        name = f"j{self.job_count}"
        body = messages.JobSubmit(
            name,
            "shop",
            name,
            "",
            f"team-{self.random.randrange(TEAMS)}",
            f"class-{self.random.randrange(CLASSES)}",
            [messages.TaskGroup(count, cores, memory_gb, accelerators)],
            priority,
            spread=self.random.choice(["none", "rack", "data-centre"]),
            at_ms=1000,
        )
        self.apply_record("job.submit", body)
        return self.state.job_by_id[name].task_ids

    def place(self, task_id: str, worker: str) -> None:
        """Apply the placement of a task on a worker."""
        task = self.state.task_by_id[task_id]
        placed = messages.Placement(task_id, task.attempt + 1, worker)
        centre = self.directory.by_id[worker].data_centre
        self.apply_record("task.place", messages.TaskPlace([placed], 1000), centre)
        self.placed_tasks.append(task_id)

    def finish_some(self, count: int) -> None:
        """Finish up to ``count`` random running tasks."""
        for _ in range(min(count, len(self.placed_tasks))):
            index = self.random.randrange(len(self.placed_tasks))
            self.placed_tasks[index], self.placed_tasks[-1] = (
                self.placed_tasks[-1],
                self.placed_tasks[index],
            )
            task = self.state.task_by_id[self.placed_tasks.pop()]
            end = messages.End(task.id, task.attempt, "finished")
            self.apply_record(
                "task.end", messages.TaskEnd([end], 1000), task.data_centre
            )


def make(seed: int, workers: int) -> System:
    """Return a system whose number of running tasks fits its size."""
    rng = random.Random(seed)
    data_centre_names = [f"dc-{number}" for number in range(min(DATA_CENTRES, workers))]
    tree = _tree(workers, data_centre_names)
    directory = _platform_fakes.Directory(lambda: 0.0)
    for number in range(workers):
        _add_worker(directory, number, data_centre_names, rng)
    state = jobs.Jobs(tree, quotas.Quotas(tree))
    model = usage_estimates.UsageModel()
    for service in SERVICES:
        for number in range(CLASSES):
            factor = rng.choice([0.0, 0.0, 0.01, 0.05, 0.1])
            model.slowdown_per_core_by_pair[service, f"class-{number}"] = (
                usage_estimates.DecayingMean(factor, 10.0, 0.0, 10)
            )
    all_workers = fleet.Fleet("", state, tree, directory, model)
    batch_context = context.Context(
        clock.Clock(), None, state, None, None, None, tree, directory,
        metrics.Metrics(), model,
    )  # fmt: skip
    batch_planner = planner.Planner(
        "",
        batch_context,
        all_workers,
        quarantine.Quarantine(),
        demand.Demand(state, ""),
    )
    state.on_worker_change.append(
        lambda worker: all_workers.dirty.__setitem__(worker, None)
    )
    system = System(rng, tree, directory, state, all_workers, batch_planner)
    _fill(system, round(workers * TASKS_PER_WORKER))
    return system


def _tree(workers: int, data_centre_names: list[str]) -> _batch_world.SettingsTree:
    cores = workers * 64.0 / TEAMS
    team = schema.Team(cores, workers * 250.0 / TEAMS, -1.0)
    return _batch_world.SettingsTree(
        {f"team-{number}": team for number in range(TEAMS)},
        {name: schema.DataCentre() for name in data_centre_names},
        {name: schema.Service(executor_cores=16.0) for name in SERVICES},
    )


def _add_worker(
    directory: _platform_fakes.Directory,
    number: int,
    data_centre_names: list[str],
    rng: Any,
) -> None:
    centre = data_centre_names[number % len(data_centre_names)]
    rack = f"r{number // len(data_centre_names) // 6}"
    accelerators = 8 if number % 5 == 0 else 0
    name = f"w{number}"
    directory.by_id[name] = _platform_fakes.Instance(
        name, "worker", "", centre, rack,
        cores=64.0, memory_gb=250.0, accelerators=accelerators,
    )  # fmt: skip
    if number % 3 == 0:
        directory.by_id[f"x{number}"] = _platform_fakes.Instance(
            f"x{number}", "backend", "", centre, rack,
            service=rng.choice(SERVICES), worker=name,
        )  # fmt: skip


def _fill(system: System, count: int) -> None:
    """Place tasks at random where they fit, as after long operation."""
    system.fleet.refresh()
    worker_ids = list(system.fleet.workers.capacity_by_worker)
    placed = 0
    while placed < count:
        for task_id in system.submit(system.random.randrange(1, 12)):
            task = system.state.task_by_id[task_id]
            for _ in range(60):
                capacity = system.fleet.workers.capacity_by_worker[
                    system.random.choice(worker_ids)
                ]
                team = system.state.job_by_id[task.job].submit.team
                allowed = system.state.quota.denial_reason(team, task.size) is None
                if allowed and placement.has_capacity(
                    capacity, placement.PlacementRequest(task.size)
                ):
                    system.place(task_id, capacity.id)
                    system.fleet.refresh()
                    placed += 1
                    break
