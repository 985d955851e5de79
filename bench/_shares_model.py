"""A service that organisations share, on virtual time.

Passes are those of the product. A run ends after its duration, and a decision
to start one takes effect at once.
"""

import asyncio
import contextlib
import dataclasses
import heapq
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any
from unittest import mock

from limpetstream import amounts
from limpetstream.executors import tracking
from limpetstream.organisations import settings
from limpetstream.shard import scheduling, starts, state
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages, state as workflow_state
from standins import shard_cluster, virtual_time

POLL_INTERVAL_S = 1.0
RUN_S = (1.0, 3.0)
MEAN_RUN_S = 2.0


@dataclasses.dataclass(slots=True)
class Profile:
    """What one organisation submits.

    Args:
        name: Name of the organisation.
        weight: Its weight.
        steps: Steps that its jobs are drawn from.
        run_s: Shortest and longest run.
    """

    name: str
    weight: float
    steps: list[messages.Step]
    run_s: tuple[float, float] = RUN_S


@dataclasses.dataclass(slots=True)
class Wait:
    """Wait of one task that was started."""

    organisation: str
    submitted_at: float
    seconds: float


class Service:
    """A service, its executors, and the work of organisations.

    Args:
        profiles: Organisations.
        executors: Number of executors.
        pass_s: Seconds between passes.
        draw: Source of random numbers.
        by_shares: Whether the configuration names the organisations.
    """

    def __init__(
        self,
        profiles: list[Profile],
        *,
        executors: int,
        pass_s: float,
        draw: random.Random,
        by_shares: bool,
    ) -> None:
        self.waits: list[Wait] = []
        self.waiting_by_name = {profile.name: 0 for profile in profiles}
        self.use_by_name = {profile.name: amounts.ZERO for profile in profiles}
        self._profile_by_name = {profile.name: profile for profile in profiles}
        self._pass_s = pass_s
        self._draw = draw
        self._loop = virtual_time.Loop()
        self._polled_at = float("-inf")
        self._ends: list[tuple[float, int, tracking.Executor, workflow_state.Run]] = []
        self._started = 0
        self.shard = builders.make_shard(self._loop, executors=executors)
        self.shard.view.configuration = messages.Configuration(
            1,
            [shard_cluster.BATCH],
            organisation_by_name={
                profile.name: settings.Organisation(profile.name, profile.weight)
                for profile in profiles
                if by_shares
            },
        )

    @property
    def now(self) -> float:
        """Virtual seconds since the start."""
        return self._loop.time()

    def submit(self, name: str) -> int:
        """Submit a job of an organisation; return the number of its tasks."""
        step = self._draw.choice(self._profile_by_name[name].steps)
        # Between this pass and the next one.
        arrived_at = self.now + self._draw.random() * self._pass_s
        tasks = builders.make_tasks(self.shard, step)
        tasks[0].job.submission.organisation = name
        for task in tasks:
            task.ready_at = arrived_at
        self.shard.waiting_tasks.extend(tasks)
        self.waiting_by_name[name] += len(tasks)
        return len(tasks)

    def open_waits(self) -> list[Wait]:
        """Return the waits so far of the tasks that still wait."""
        return [
            Wait(
                task.job.submission.organisation,
                task.ready_at,
                self.now - task.ready_at,
            )
            for task in self.shard.waiting_tasks
        ]

    def advance(self) -> None:
        """Apply the ends of runs that are due, and run a pass."""
        self._loop._virtual.now += self._pass_s
        self.shard.ownership_proven_at = self.now
        if self.now - self._polled_at >= POLL_INTERVAL_S:
            self._polled_at = self.now
            for executor in self.shard.executor_by_id.values():
                executor.polled_at = self.now
        while self._ends and self._ends[0][0] <= self.now:
            _, _, executor, run = heapq.heappop(self._ends)
            executor.release(run)
            self._change_use(run, amounts.subtract)
            workflow_state.mark_done(run.task)
            run.task.run = None
        scheduling.run_pass(self.shard)

    @contextlib.contextmanager
    def starting(self) -> Iterator[None]:
        """Let the starts that are decided meanwhile take effect at once."""
        with mock.patch.object(starts, "start_run", self._start):
            yield
        self._loop.close()

    def _start(
        self,
        shard: state.Shard,
        executor: tracking.Executor,
        run: workflow_state.Run,
    ) -> Coroutine[Any, Any, None]:
        name = run.task.job.submission.organisation
        run.phase = workflow_state.WORKING
        seconds = self._draw.uniform(*self._profile_by_name[name].run_s)
        self._started += 1
        heapq.heappush(self._ends, (self.now + seconds, self._started, executor, run))
        self.waiting_by_name[name] -= 1
        self._change_use(run, amounts.add)
        ready_at = run.task.ready_at
        self.waits.append(Wait(name, ready_at, self.now - ready_at))
        return asyncio.sleep(0)

    def _change_use(
        self,
        run: workflow_state.Run,
        change: Callable[[amounts.Amount, amounts.Amount], amounts.Amount],
    ) -> None:
        name, step = run.task.job.submission.organisation, run.task.step
        need = (step.cpu_millicores, step.memory_mb, step.accelerators)
        self.use_by_name[name] = change(self.use_by_name[name], need)
