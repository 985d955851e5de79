"""Tests of the whole scheduler, with and without bad workers and jobs."""

import asyncio

import loguru
import pytest

from bench import _batch_world
from limpetstream import errors
from limpetstream.batch import messages
from limpetstream.settings import schema
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def run_scenario(scenario):
    loop = virtual_time.Loop()
    return virtual_time.run(scenario(loop), loop=loop)


async def start_world(loop, *, workers=4, entries=2):
    world = _batch_world.make(11, loop)
    for number in range(workers):
        world.add_worker(f"w{number}", "ab"[number % 2], f"r{number}", cores=6.0)
    for number in range(entries):
        world.add_entry(f"e{number}")
    world.start()
    await asyncio.sleep(6.0)
    return world


def states(world, job):
    entry = world.any_running_instance()
    return {
        entry.state.task_by_id[task_id].state
        for task_id in entry.state.job_by_id[job].task_ids
    }


def test_a_successor_adopts_what_runs():
    """Guards against tasks that start again when their holder crashes."""

    async def scenario(loop):
        world = await start_world(loop)
        await world.submit("j1", tasks=8, run_s=20.0)
        await asyncio.sleep(3.0)
        holding = world.entry_by_id["e0"].membership_agent.holding_by_resource[
            "workers/a"
        ]
        world.entry_by_id[holding.instance].crash()
        await asyncio.sleep(25.0)
        assert states(world, "j1") == {"finished"}
        assert world.monitor.starts == 8
        assert world.monitor.breaches == {}

    run_scenario(scenario)


def test_watchers_of_the_tree_always_run():
    """Guards configured watchers: one start, a restart, an end by an edit."""

    async def scenario(loop):
        world = await start_world(loop)
        works = world.tree.work_by_name
        works["cold-room"] = ("watcher", schema.Work("red", tasks=2, run_s=1e9))
        works["huge"] = ("watcher", schema.Work("red", cores=99.0))
        await asyncio.sleep(12.0)
        entry = world.any_running_instance()
        jobs = [
            job_id for job_id in entry.state.job_by_id if job_id.startswith("watcher:")
        ]
        assert len(jobs) == 1
        assert states(world, jobs[0]) == {"placed"}
        task = entry.state.task_by_id[f"{jobs[0]}/0"]
        world.worker_by_id[task.worker].crash()
        await asyncio.sleep(8.0)
        assert (task.state, task.attempt) == ("placed", 2)
        works.clear()
        await asyncio.sleep(10.0)
        assert states(world, jobs[0]) == {"cancelled"}
        assert world.monitor.breaches == {}

    run_scenario(scenario)


def test_a_crashing_watcher_backs_off():
    """Guards against a watcher that restarts in a tight loop."""

    async def scenario(loop):
        world = await start_world(loop)
        for worker in world.worker_by_id.values():
            worker.failing_jobs.add("j1")
        await world.submit("j1", kind="watcher", run_s=1e9)
        await asyncio.sleep(60.0)
        task = world.any_running_instance().state.task_by_id["j1/0"]
        assert task.state in ("pending", "placed")
        assert 4 <= task.attempt <= 10

    run_scenario(scenario)


def test_a_worker_that_fails_everything_gets_little():
    """Guards against a bad worker that stops all jobs (hazard 12)."""

    async def scenario(loop):
        world = await start_world(loop)
        world.worker_by_id["w0"].fails_every_attempt = True
        for number in range(8):
            await world.submit(f"j{number}", tasks=4, run_s=3.0)
            await asyncio.sleep(2.0)
        await asyncio.sleep(20.0)
        for number in range(8):
            assert states(world, f"j{number}") == {"finished"}
        failed = [
            run
            for runs in world.monitor.runs_by_task.values()
            for worker, run in runs
            if worker.instance.id == "w0"
        ]
        assert len(failed) <= 10

    run_scenario(scenario)


def test_a_bad_job_fails_and_harms_nobody():
    """Guards against a bad job that runs on and on (hazard 12)."""

    async def scenario(loop):
        world = await start_world(loop)
        for worker in world.worker_by_id.values():
            worker.failing_jobs.add("bad")
        await world.submit("bad", tasks=12, run_s=30.0)
        await asyncio.sleep(15.0)
        assert states(world, "bad") == {"failed"}
        await world.submit("good", tasks=12, cores=2.0, run_s=2.0)
        await asyncio.sleep(8.0)
        assert states(world, "good") == {"finished"}
        used = {
            worker.instance.id
            for name, runs in world.monitor.runs_by_task.items()
            for worker, _ in runs
            if name.startswith("good")
        }
        assert len(used) == 4

    run_scenario(scenario)


def test_a_wave_of_cancellations_ends_soon():
    """Guards against races of cancel and start over many jobs at once."""

    async def scenario(loop):
        world = await start_world(loop)
        for number in range(12):
            await world.submit(f"j{number}", tasks=4, run_s=100.0)
        entry = world.any_running_instance()
        for number in range(12):
            body = messages.JobCancel(f"j{number}", "wave", entry.clock.wall_ms())
            await entry.append("job.cancel", body)
        await asyncio.sleep(4.0)
        for number in range(12):
            assert states(world, f"j{number}") == {"cancelled"}
        running = [
            run
            for worker in world.worker_by_id.values()
            for run in worker.runs()
            if run.running
        ]
        assert running == []

    run_scenario(scenario)


def test_nothing_starts_while_the_log_is_down():
    """Guards against starts in a log outage (section 6.3), and recovery."""

    async def scenario(loop):
        world = await start_world(loop)
        await world.submit("j1", tasks=30, run_s=5.0)
        await asyncio.sleep(2.0)
        world.log.down = True
        await asyncio.sleep(1.5)
        before = world.monitor.starts
        await asyncio.sleep(8.0)
        assert world.monitor.starts == before
        with pytest.raises(errors.LogUnavailable):
            await world.submit("j2")
        world.log.down = False
        await asyncio.sleep(30.0)
        assert states(world, "j1") == {"finished"}
        assert world.monitor.breaches == {}

    run_scenario(scenario)


def test_borrowed_quota_is_taken_back_by_eviction():
    """Guards against a lender that cannot use its own quota."""

    async def scenario(loop):
        world = _batch_world.make(11, loop)
        for name in ("red", "blue"):
            world.tree.team_by_name[name] = schema.Team(quota_cores=10.0)
        for number in range(4):
            world.add_worker(f"w{number}", "ab"[number % 2], f"r{number}", cores=5.2)
        world.add_entry("e0")
        world.start()
        await asyncio.sleep(6.0)
        await world.submit("j1", tasks=20, run_s=300.0, priority="low")
        await asyncio.sleep(4.0)
        assert states(world, "j1") == {"placed"}
        await world.submit("j2", tasks=10, run_s=300.0, team="blue")
        await asyncio.sleep(15.0)
        assert states(world, "j2") == {"placed"}
        used = world.any_running_instance().state.quota.used_by_team
        assert (used["red"][0], used["blue"][0]) == (10_000, 10_000)
        assert world.monitor.breaches == {}

    run_scenario(scenario)


def test_a_closed_data_centre_is_drained_and_refilled():
    """Guards the drain, resumption from checkpoints and the ramp-up."""

    async def scenario(loop):
        world = await start_world(loop)
        await world.submit("j1", tasks=14, run_s=20.0)
        await asyncio.sleep(8.0)
        await world.set_data_centre_state("a", "out")
        await asyncio.sleep(3.0)
        state = world.any_running_instance().state
        assert state.used_by_data_centre["a"] == (0, 0, 0)
        resumed = [task for task in state.task_by_id.values() if task.attempt == 2]
        assert resumed
        assert all(task.checkpoint for task in resumed)
        await world.set_data_centre_state("a", "in")
        await asyncio.sleep(45.0)
        assert states(world, "j1") == {"finished"}
        assert world.monitor.breaches == {}

    run_scenario(scenario)
