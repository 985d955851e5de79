"""Tests of the simulated workers: fault switches and breach counters."""

import asyncio

import pytest

from limpetstream import errors
from limpetstream.platform import messages
from standins import faults, memory_clients, simulation
from standins.tests import builders


async def renew_lease(
    platform: simulation.Platform, worker: str, attempt: str, seconds: float
) -> None:
    """Renew one lease every 2 s for a time, on the worker's clock."""
    client = memory_clients.MemoryWorkers(platform)
    until = platform.clock.monotonic() + seconds
    while platform.clock.monotonic() < until:
        clock_ms = (await client.status(worker)).clock_ms
        await client.renew(worker, [messages.Lease(attempt, clock_ms + 8000)])
        await asyncio.sleep(min(2.0, until - platform.clock.monotonic()))


async def first_attempt_state(
    workers: memory_clients.MemoryWorkers, worker: str = "w1"
) -> str:
    """Return the state of the first attempt on a worker."""
    return (await workers.status(worker)).attempts[0].state


def test_attempt_runs_its_time_and_finishes_once() -> None:
    """Guards against a task that runs too long, short or twice."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        start = builders.make_start(platform)
        started = await workers.start("w1", [start])
        assert started.answers == [messages.StartAnswer("j/0/1", "started")]
        again = await workers.start("w1", [start])
        assert again.answers[0].result == "already"
        await asyncio.sleep(4.9)
        assert await first_attempt_state(workers) == "running"
        await asyncio.sleep(0.2)
        assert await first_attempt_state(workers) == "finished"
        after = await workers.start("w1", [start])
        assert after.answers[0].result == "already"

    platform = builders.run_scenario(scenario)
    reported = platform.fleet.tasks()["j/0"]
    assert (reported["job"], reported["watcher"]) == ("j", False)
    assert (reported["finished"], reported["attempts"], reported["active"]) == (
        1,
        1,
        [],
    )
    assert platform.fleet.totals["start_started"] == 1


def test_delayed_start_is_refused_by_the_workers_clock() -> None:
    """Guards against a delayed start that takes effect (I4)."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        start = builders.make_start(platform, lease_s=1.0)
        await asyncio.sleep(1.0)
        answer = (await workers.start("w1", [start])).answers[0]
        assert (answer.result, answer.reason) == ("refused", "lease has passed")

    builders.run_scenario(scenario)


def test_lease_expires_without_renewal() -> None:
    """Guards against a task that continues after its lease expired."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform, run_s=0)])
        await renew_lease(platform, "w1", "j/0/1", 20)
        assert await first_attempt_state(workers) == "running"
        await asyncio.sleep(8.1)
        assert await first_attempt_state(workers) == "lapsed"

    builders.run_scenario(scenario)


@pytest.mark.parametrize("rate, expected_state", [(1.2, "lapsed"), (0.9, "running")])
def test_leases_follow_the_workers_own_clock(rate: float, expected_state: str) -> None:
    """Guards against leases that end by a common clock."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        platform.set_faults(clock_by_worker={"w1": {"offset_ms": 5000, "rate": rate}})
        await workers.start("w1", [builders.make_start(platform, run_s=0)])
        await asyncio.sleep(7.5)
        assert await first_attempt_state(workers) == expected_state

    builders.run_scenario(scenario)


def test_clock_offset_ends_leases_at_once() -> None:
    """Guards against an offset switch without an effect."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        platform.set_faults(clock_by_worker={"w1": {"offset_ms": 9000}})
        assert await first_attempt_state(workers) == "lapsed"

    builders.run_scenario(scenario)


def test_throttled_attempt_works_in_proportion() -> None:
    """Guards against throttling without an effect on the work."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        changed = await workers.throttle("w1", "j/0/1", 0.5)
        assert changed.attempt.state == "throttled"
        await renew_lease(platform, "w1", "j/0/1", 9.9)
        assert await first_attempt_state(workers) == "throttled"
        await asyncio.sleep(0.2)
        assert await first_attempt_state(workers) == "finished"

    builders.run_scenario(scenario)


def test_neighbours_slow_each_other_by_the_pairs_factor() -> None:
    """Guards against interference that ignores the other work classes."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        half = {"cores": 32.0, "run_s": 4.0}
        starts = [
            builders.make_start(platform, **half),
            builders.make_start(
                platform, attempt="k/0/1", task="k/0", work_class="noisy", **half
            ),
        ]
        await workers.start("w1", starts)
        await asyncio.sleep(4.1)
        reported = {a.attempt: a.state for a in (await workers.status("w1")).attempts}
        assert reported == {"j/0/1": "running", "k/0/1": "finished"}
        assert platform.desk_slowdowns()["w1"] == 1.5
        await asyncio.sleep(1.0)
        assert await first_attempt_state(workers) == "finished"

    # The first runs 4 s at half speed, then 2 s of work alone.
    pairs = {"weekly-plan|noisy": 1.0, "desk|*": 1.0, "*|*": 0.0}
    builders.run_scenario(
        scenario, slowdown_by_pair={**pairs, "weekly-plan|noisy": 0.5}
    )


def test_next_attempt_resumes_from_the_checkpoint() -> None:
    """Guards against work that restarts from zero after an eviction (I3)."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        await asyncio.sleep(3)
        taken = (await workers.checkpoint("w1", "j/0/1")).checkpoint
        assert await first_attempt_state(workers) == "running"
        stopped = (await workers.stop("w1", "j/0/1")).attempt
        assert (stopped.state, stopped.checkpoint) == ("stopped", taken)
        resumed = builders.make_start(platform, "w2", attempt="j/0/2", checkpoint=taken)
        await workers.start("w2", [resumed])
        await asyncio.sleep(2.1)
        assert await first_attempt_state(workers, "w2") == "finished"

    platform = builders.run_scenario(scenario)
    assert not any(list(platform.breaches.to_wire().values()))


def test_stop_before_a_delayed_start_keeps_it_from_running() -> None:
    """Guards against a stop that only works on known attempts."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        start = builders.make_start(platform)
        stopped = (await workers.stop("w1", "j/0/1")).attempt
        assert stopped.state == "stopped"
        answer = (await workers.start("w1", [start])).answers[0]
        assert answer.result == "refused"

    builders.run_scenario(scenario)


def test_lost_answer_of_a_start_leaves_the_task_running() -> None:
    """Guards against a lost answer that undoes the start."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        with pytest.raises(errors.PlatformUnavailable):
            await workers.start("w1", [builders.make_start(platform)])
        assert await first_attempt_state(workers) == "running"

    builders.run_scenario(
        scenario, lost_answer_probability=1.0, lost_answer_calls=["start"]
    )


def test_paused_worker_executes_calls_after_it_resumes() -> None:
    """Guards against a paused worker that answers, works or drops calls."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        platform.set_faults(paused_workers=["w1"])
        late = builders.make_start(platform, attempt="l/0/1", task="l/0", lease_s=1)
        in_time = builders.make_start(platform, attempt="m/0/1", task="m/0")
        for start in (late, in_time):
            with pytest.raises(errors.PlatformUnavailable):
                await workers.start("w1", [start])
        await asyncio.sleep(3)
        platform.set_faults(paused_workers=[])
        await asyncio.sleep(0.1)
        reported = {a.attempt: a.state for a in (await workers.status("w1")).attempts}
        assert reported == {"j/0/1": "running", "m/0/1": "running"}
        worker = platform.fleet.worker_by_id["w1"]
        assert worker.active_by_attempt["j/0/1"].work_done_s < 0.2

    builders.run_scenario(scenario)


def test_leases_expire_while_their_worker_is_paused() -> None:
    """Guards against a paused worker that resumes after the lease expired."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        platform.set_faults(paused_workers=["gl-erie"])
        await asyncio.sleep(9)
        platform.set_faults(paused_workers=[])
        assert await first_attempt_state(workers) == "lapsed"

    builders.run_scenario(scenario)


def test_dead_worker_loses_its_attempts_and_leaves_the_list() -> None:
    """Guards against a dead worker that still works or answers."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        before = (await workers.status("w1")).clock_ms
        platform.set_faults(dead_workers=["w1"])
        with pytest.raises(errors.PlatformUnavailable):
            await workers.status("w1")
        await asyncio.sleep(1)
        listed = (await platform.read_instances()).instances
        assert [instance.id for instance in listed] == ["w2"]
        platform.set_faults(dead_workers=[])
        status = await workers.status("w1")
        assert status.attempts == [] and status.clock_ms >= before + 1000

    platform = builders.run_scenario(scenario)
    assert platform.fleet.totals["lost"] == 1


@pytest.mark.parametrize(
    "switch", [{"failing_workers": ["w1"]}, {"failing_jobs": ["j"]}]
)
def test_failing_worker_or_job_fails_what_it_starts(switch: dict) -> None:
    """Guards against a failure switch that only refuses starts."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        started = await workers.start("w1", [builders.make_start(platform)])
        assert started.answers[0].result == "started"
        await asyncio.sleep(0.5)
        assert await first_attempt_state(workers) == "failed"

    builders.run_scenario(scenario, **switch)


def test_wrong_declarations_change_run_time_and_usage() -> None:
    """Guards against size and run time factors that are not applied."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        await asyncio.sleep(6)
        assert await first_attempt_state(workers) == "running"
        await workers.usage(0)
        await asyncio.sleep(2.1)
        sample = (await workers.usage(0))[0]
        assert (sample.cores, sample.memory_gb) == (12.0, 24.0)

    builders.run_scenario(
        scenario,
        run_factor_by_class={"weekly-plan": 2.0},
        size_factor_by_class={"weekly-plan": 3.0},
    )


def test_usage_arrives_late_and_once() -> None:
    """Guards against samples without a lag or delivered twice."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        assert await workers.usage(0) == []
        await asyncio.sleep(1.4)
        assert await workers.usage(0) == []
        await asyncio.sleep(0.2)
        samples = await workers.usage(0)
        assert [sample.seq for sample in samples] == [1]
        assert await workers.usage(1) == []

    builders.run_scenario(scenario, usage_lag_ms=1500)


def test_list_lag_and_outage() -> None:
    """Guards against a list without a lag or an outage."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        fetch = memory_clients.instance_fetcher(platform)
        await asyncio.sleep(2)
        assert {entry.state for entry in (await fetch("")).instances} == {"live"}
        platform.put_instances([builders.make_worker("w1", state="leaving")])
        await asyncio.sleep(1.4)
        assert {entry.state for entry in (await fetch("")).instances} == {"live"}
        await asyncio.sleep(0.2)
        assert (await fetch("")).instances[0].state == "leaving"
        platform.set_faults(list_down=True)
        with pytest.raises(errors.PlatformUnavailable):
            await fetch("")

    builders.run_scenario(scenario, list_lag_ms=1500)


def test_over_capacity_is_counted() -> None:
    """Guards against a counter that ignores declared or reserved capacity."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        reserved = messages.Instance("b1", "backend", worker="w1", cores=16.0)
        platform.put_instances([reserved])
        big = builders.make_start(platform, cores=48.0)
        await workers.start("w1", [big])
        assert platform.breaches.over_capacity == 0
        more = builders.make_start(platform, attempt="k/0/1", task="k/0", cores=0.5)
        await workers.start("w1", [more])
        assert platform.breaches.over_capacity == 1
        cards = builders.make_start(
            platform, "w2", attempt="l/0/1", task="l/0", accelerators=3
        )
        await workers.start("w2", [cards])

    assert builders.run_scenario(scenario).breaches.over_capacity == 2


def test_task_in_two_places_is_counted() -> None:
    """Guards against a counter that misses a second worker (I2)."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        second = builders.make_start(platform, "w2", attempt="j/0/2")
        await workers.start("w2", [second])
        await asyncio.sleep(6)
        platform.fleet.advance_all(platform.clock.monotonic())

    breaches = builders.run_scenario(scenario).breaches
    assert (breaches.two_places, breaches.done_twice) == (1, 1)
    assert breaches.details[0].startswith("two_places: j/0 on w1 and w2")


def test_repeated_work_is_counted() -> None:
    """Guards against a counter that misses a repeat after the end (I3)."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        await workers.start("w1", [builders.make_start(platform)])
        await asyncio.sleep(3)
        await workers.checkpoint("w1", "j/0/1")
        await asyncio.sleep(2.5)
        again = builders.make_start(platform, "w2", attempt="j/0/2")
        await workers.start("w2", [again])

    breaches = builders.run_scenario(scenario).breaches
    assert breaches.started_after_finish == breaches.resumed_behind == 1
    assert breaches.two_places == 0


def test_start_after_the_data_centre_was_taken_out_is_counted() -> None:
    """Guards against a counter that ignores or misjudges the 3 s (I4)."""

    async def scenario(
        platform: simulation.Platform,
        _: memory_clients.MemoryLog,
        workers: memory_clients.MemoryWorkers,
    ) -> None:
        platform.set_data_centre("gl-erie", out=True)
        await asyncio.sleep(2.9)
        await workers.start("w1", [builders.make_start(platform)])
        assert platform.breaches.started_while_out == 0
        await asyncio.sleep(0.2)
        second = builders.make_start(platform, attempt="k/0/1", task="k/0")
        await workers.start("w1", [second])
        platform.set_data_centre("gl-erie", out=False)
        third = builders.make_start(platform, attempt="l/0/1", task="l/0")
        await workers.start("w1", [third])

    assert builders.run_scenario(scenario).breaches.started_while_out == 1


def test_unknown_switch_changes_nothing() -> None:
    """Guards against a misspelt switch that is silently ignored."""
    switches = faults.Faults()
    with pytest.raises(faults.BadCall):
        switches.merge({"log_down": True, "log_dwon": True})
    with pytest.raises(faults.BadCall):
        switches.merge({"log_down": True, "log_keep_s": "long"})
    assert switches == faults.Faults()
