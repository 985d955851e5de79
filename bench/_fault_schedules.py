"""Plays seeded schedules of faults against the real batch code.

After the last fault every job must end and all instances must agree.
"""

import asyncio
import dataclasses
import gc
import random

import loguru

from bench import _batch_world, _entry_instance, _platform_fakes
from limpetstream import errors
from limpetstream.batch import messages
from standins import virtual_time

FAULT_END_S = 15.0
SETTLE_TIMEOUT_S = 90.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one schedule.

    Args:
        seed: Seed of the schedule.
        faults: Injected faults in order, with their times.
        breaches: Breaches by kind.
        starts: Starts that took effect.
        evictions: Attempts that were stopped while they ran.
        settled_s: Virtual seconds from the end of the last fault until all
            jobs had ended.
    """

    seed: int
    faults: list[str]
    breaches: dict[str, list[str]]
    starts: int
    evictions: int
    settled_s: float


class FaultInjector:
    """Injects the faults of one schedule; each fault ends by itself.

    The names of the fault methods appear in ``Outcome.faults``.
    """

    def __init__(self, world: _batch_world.World, rng: random.Random) -> None:
        self.world = world
        self.random = rng
        self.name_count = 0
        self.injected_faults: list[str] = []
        self.task_count_by_job: dict[str, int] = {}

    async def run(self) -> None:
        """Inject single faults and pairs of faults for ``FAULT_END_S``."""
        running = []
        actions = [
            self.crash,
            self.pause,
            self.cut_off,
            self.outage,
            self.worker_silent,
            self.worker_one_way,
            self.worker_crash,
            self.stalls,
            self.lost_answers,
            self.centre_out,
            self.cancel,
            self.urgent,
            self.log_lost,
        ]
        while self.world.loop.time() < FAULT_END_S:
            await asyncio.sleep(self.random.uniform(0.3, 3.4))
            for action in self.random.sample(actions, self.random.choice([1, 1, 2])):
                at_s = self.world.loop.time()
                self.injected_faults.append(f"{action.__name__}@{at_s:.1f}")
                running.append(asyncio.ensure_future(action()))
        await asyncio.gather(*running)

    def _entry(self) -> _entry_instance.EntryInstance:
        instances = list(self.world.entry_by_id.values())
        alive = [each for each in instances if each.alive]
        return self.random.choice(alive or instances)

    def _worker(self) -> _platform_fakes.Worker:
        return self.random.choice(list(self.world.worker_by_id.values()))

    async def _wait(self, max_s: float) -> None:
        await asyncio.sleep(self.random.uniform(0.5, max_s))

    async def crash(self) -> None:
        """Kill an entry instance and start a new one after 0.5 to 4 s."""
        self._entry().crash()
        await self._wait(4.0)
        self.name_count += 1
        self.world.add_entry(f"n{self.name_count}").start()

    async def pause(self) -> None:
        """Pause an entry instance for a while."""
        entry = self._entry()
        entry.not_paused.clear()
        await self._wait(10.0)
        entry.not_paused.set()

    async def cut_off(self) -> None:
        """Cut one entry instance off from the log for a while."""
        entry = self._entry()
        entry.cut_off = True
        await self._wait(8.0)
        entry.cut_off = False

    async def outage(self) -> None:
        """Take the log down for all instances."""
        self.world.log.down = True
        await self._wait(9.0)
        self.world.log.down = False

    async def log_lost(self) -> None:
        """Lose the answers to some appends."""
        self.world.log.lost_answer_probability = 0.3
        await self._wait(8.0)
        self.world.log.lost_answer_probability = 0.0

    async def worker_silent(self) -> None:
        """Make a worker unreachable while its attempts keep running."""
        worker = self._worker()
        worker.reachable = False
        await self._wait(15.0)
        worker.reachable = True

    async def worker_one_way(self) -> None:
        """Deliver calls to a worker but drop its replies."""
        worker = self._worker()
        worker.replies_arrive = False
        await self._wait(15.0)
        worker.replies_arrive = True

    async def worker_crash(self) -> None:
        """Restart a worker, which forgets all its attempts."""
        self._worker().crash()

    async def _network(self, *, stall: float = 0.0, lost: float = 0.0) -> None:
        for entry in self.world.entry_by_id.values():
            entry.client.stall_probability, entry.client.lost_answer_probability = (
                stall,
                lost,
            )
        await self._wait(8.0)
        for entry in self.world.entry_by_id.values():
            entry.client.stall_probability = entry.client.lost_answer_probability = 0.0

    async def stalls(self) -> None:
        """Deliver some calls late, as if they had waited in a socket."""
        await self._network(stall=0.4)

    async def lost_answers(self) -> None:
        """Lose some answers of workers after the call took effect."""
        await self._network(lost=0.4)

    async def centre_out(self) -> None:
        """Take a data centre out of service and bring it back."""
        name = self.random.choice(list(self.world.tree.data_centre_by_name))
        if await self.world.set_data_centre_state(name, "out"):
            await self._wait(10.0)
        while not await self.world.set_data_centre_state(name, "in"):
            await asyncio.sleep(0.5)

    async def cancel(self) -> None:
        """Cancel a random job."""
        if self.task_count_by_job:
            name = self.random.choice(sorted(self.task_count_by_job))
            body = messages.JobCancel(name, "test", 0)
            try:
                await self._entry().append("job.cancel", body)
            except errors.LogUnavailable:
                pass

    async def urgent(self) -> None:
        """Submit urgent work that may have to preempt other tasks."""
        name = f"u{self.name_count}-{self.random.randrange(10**6)}"
        await self.submit(name, priority="urgent", cores=4.0, run_s=3.0)

    async def submit(self, name: str, *, tasks: int = 1, **options: object) -> None:
        """Submit a job; it is checked at the end only if it was confirmed."""
        try:
            await self.world.submit(name, tasks=tasks, **options)
        except errors.LogUnavailable:
            return
        self.task_count_by_job[name] = tasks


def run_schedule(seed: int) -> Outcome:
    """Play the schedule of a seed to its end, on a loop of its own."""
    loguru.logger.remove()
    # Garbage collections during a run would take a fifth of its time.
    gc.disable()
    gc.collect()
    loop = virtual_time.Loop()
    try:
        return virtual_time.run(simulate(seed, loop), loop=loop)
    finally:
        gc.enable()


async def simulate(seed: int, loop: virtual_time.Loop) -> Outcome:
    """Play the schedule of a seed on a given loop of virtual time."""
    world = _batch_world.make(seed, loop)
    for number in range(4):
        world.add_worker(f"w{number}", "ab"[number % 2], f"r{number}", cores=6.0)
    for number in range(2):
        world.add_entry(f"e{number}")
    world.start()
    injector = FaultInjector(world, random.Random(seed * 7 + 1))
    await asyncio.sleep(1.0)
    for name in ("j1", "j2"):
        run_s = injector.random.uniform(4.0, 18.0)
        priority = injector.random.choice(["normal", "low"])
        await injector.submit(name, tasks=4, cores=2.0, run_s=run_s, priority=priority)
    await injector.run()
    faults_ended_at = loop.time()
    entry = world.any_running_instance()
    await world.wait_until(
        lambda: _settled(entry, injector.task_count_by_job), SETTLE_TIMEOUT_S, 1.0
    )
    _check_end(world, entry, injector.task_count_by_job)
    return Outcome(
        seed,
        injector.injected_faults,
        world.monitor.breaches,
        world.monitor.starts,
        world.monitor.evictions,
        loop.time() - faults_ended_at,
    )


def _settled(
    entry: _entry_instance.EntryInstance, task_count_by_job: dict[str, int]
) -> bool:
    job_by_id = entry.state.job_by_id
    return all(
        name in job_by_id and job_by_id[name].final for name in task_count_by_job
    )


def _check_end(
    world: _batch_world.World,
    entry: _entry_instance.EntryInstance,
    task_count_by_job: dict[str, int],
) -> None:
    """Record a breach for each lost job or task and for diverging states."""
    monitor = world.monitor
    for name in task_count_by_job:
        job = entry.state.job_by_id.get(name)
        if job is None or not job.final:
            monitor.record_breach("lost", f"job {name} did not end")
            continue
        if not job.cancelled and job.state != "finished":
            monitor.record_breach("lost", f"job {name} ended as {job.state}")
        for task_id in job.task_ids:
            _check_task(monitor, entry, task_id)
    dumps = {
        str(list(each.state.dump()))
        for each in world.entry_by_id.values()
        if each.alive
        and each.not_paused.is_set()
        and each.next_offset == entry.next_offset
    }
    if len(dumps) > 1:
        monitor.record_breach(
            "instances disagree", f"{len(dumps)} different states at one offset"
        )


def _check_task(
    monitor: _platform_fakes.InvariantMonitor,
    entry: _entry_instance.EntryInstance,
    task_id: str,
) -> None:
    task = entry.state.task_by_id[task_id]
    runs = [run for _, run in monitor.runs_by_task.get(task_id, ())]
    finished = any(run.state == "finished" for run in runs)
    if task.state == "finished" and not finished:
        monitor.record_breach(
            "lost", f"{task_id} is recorded as finished, but no attempt of it finished"
        )
