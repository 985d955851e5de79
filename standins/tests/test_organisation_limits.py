"""Tests of the check that finds starts over the limit of an organisation."""

import asyncio

from standins import organisation_limits, step_executors, virtual_time

JOB_ID = f"{1:016x}"
NEED = (2000, 100, 0)


def start_tasks(starts, *, limits):
    """Start tasks of one organisation; return what the check finds.

    Args:
        starts: Seconds at which a task starts, by its number.
        limits: Limits of processors, by the seconds at which they come.
    """
    loop = virtual_time.Loop()

    async def run():
        breaches = step_executors.Breaches(loop)
        check = organisation_limits.LimitCheck(breaches, lambda task: NEED)
        check.organisation_by_job[JOB_ID] = "mill"
        times = sorted({*starts.values(), *limits})
        for at in times:
            await asyncio.sleep(at - loop.time())
            if at in limits:
                check.set_limits({"mill": (limits[at], 0, 0)})
            for number, started_at in starts.items():
                if started_at == at:
                    breaches.record_start(f"{JOB_ID}.0.0.{number}", "x0")
        return breaches.found

    return virtual_time.run(run(), loop=loop)


def test_a_start_over_the_limit_is_found():
    """Guards against a check that passes whatever the executors run."""
    assert not start_tasks({0: 1.0, 1: 2.0}, limits={0.0: 4000})
    (found,) = start_tasks({0: 1.0, 1: 2.0, 2: 3.0}, limits={0.0: 4000})
    assert found.startswith("3.000 s: OVER LIMIT")
    assert not start_tasks({0: 1.0, 1: 2.0, 2: 3.0}, limits={0.0: 0})


def test_a_lowered_limit_stops_new_starts_only():
    """Guards against findings for runs that go on, and starts sent before."""
    limits = {0.0: 6000, 10.0: 2000}
    late_s = 10.0 + organisation_limits.MAX_START_AGE_S
    assert not start_tasks({0: 1.0, 1: 2.0, 2: late_s - 1}, limits=limits)
    assert start_tasks({0: 1.0, 1: 2.0, 2: late_s + 1}, limits={**limits, 11.0: 2000})
