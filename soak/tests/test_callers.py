"""Tests of the jobs that the callers of the soak draw."""

import asyncio
import random
import types

import pytest

from soak import _callers, _executors, _run, _sizes

JOBS = 120  # Of 30 s.
CAPACITY = _run.EXECUTORS * _executors.CAPACITY.cpu_millicores


MAX_LASTING = _sizes.max_lasting_millicores(CAPACITY, per_s=_run.JOBS_PER_S)


def draw_jobs(seed, max_lasting_millicores):
    """Return what the callers of a seed draw: cluster and all jobs."""
    cluster = types.SimpleNamespace(
        caller_choices=random.Random(seed),
        abandon_choices=random.Random(f"abandons {seed}"),
        size_by_spec={},
        lasting_millicores=0,
    )
    callers = _callers.Callers(cluster)
    callers._lasting_left = max_lasting_millicores

    async def submit(job, body):
        """Leave the job without an answer."""

    callers._submit = callers._abandon = submit

    async def run():
        for _ in range(JOBS):
            await callers._submit_random_job()

    asyncio.run(run())
    return cluster, list(callers.job_by_id.values())


def reserved(cluster, jobs):
    return sum(
        cluster.size_by_spec[job.job_id][0] * job.tasks
        for job in jobs
        if job.is_long_running
    )


@pytest.mark.parametrize("seed", range(100))
def test_lasting_tasks_leave_room_for_the_others(seed):
    """Guards against a seed whose jobs cannot settle for lack of room."""
    cluster, jobs = draw_jobs(seed, MAX_LASTING)
    assert reserved(cluster, jobs) <= MAX_LASTING
    assert all(cluster.size_by_spec[job.job_id][0] > 0 for job in jobs)


def test_other_draws_stay_as_they_are():
    """Guards against faults or jobs of a seed that change with the room."""
    for seed in range(20):
        cluster, jobs = draw_jobs(seed, MAX_LASTING)
        unlimited, others = draw_jobs(seed, 10**9)
        assert jobs == others
        assert cluster.lasting_millicores == unlimited.lasting_millicores
        assert cluster.caller_choices.random() == unlimited.caller_choices.random()
        for job in jobs:
            if not job.is_long_running:
                size = unlimited.size_by_spec[job.job_id]
                assert cluster.size_by_spec[job.job_id] == size


def test_the_other_jobs_use_what_lasting_tasks_leave():
    """Guards against a bound that forgets a part of the other jobs."""
    work = []
    for seed in range(200):
        cluster, jobs = draw_jobs(seed, 0)
        work += [
            cluster.size_by_spec[job.job_id][0]
            * job.tasks
            * cluster.size_by_spec[job.job_id][1]
            for job in jobs
        ]
    used = sum(work) / len(work) * _run.JOBS_PER_S
    assert used == pytest.approx(CAPACITY - MAX_LASTING, rel=0.05)
    assert _run.SETTLE_TIMEOUT_S >= 30.0  # The time for which jobs are submitted.
