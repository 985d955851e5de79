"""Tests of calls that the next process under an executor's id carries out."""

import asyncio

import pytest

from limpetstream.shard.tests import removals
from search import former_calls, kept_schedules, plays, restart_draws
from search.tests import builders
from standins import shard_cluster, step_executor_client

SEEDS = range(0, 20)


@pytest.fixture
def all_late(monkeypatch):
    monkeypatch.setattr(former_calls, "LATE_SHARE", 1.0)


def test_a_short_search_with_calls_to_former_processes_breaks_nothing():
    """Guards against two runs of a task once an executor has restarted."""
    breaches_by_seed = {}
    for seed in SEEDS:
        outcome = plays.play(restart_draws.draw(seed))
        assert outcome.starts
        if outcome.breaches:
            breaches_by_seed[seed] = outcome.breaches
    assert not breaches_by_seed


@pytest.mark.parametrize("name", kept_schedules.RED_RESTART_SEED_BY_REMOVAL)
def test_the_search_finds_a_removed_check_of_restarts(name):
    """Guards against a search that is clean with the fault of issue 51."""
    seed = kept_schedules.RED_RESTART_SEED_BY_REMOVAL[name]
    assert not plays.play(restart_draws.draw(seed)).breaches
    with removals.removed(name):
        breaches = plays.play(restart_draws.draw(seed)).breaches
    assert any("still runs" in breach for breach in breaches)


@pytest.mark.parametrize("name", kept_schedules.RED_LATE_START_SEED_BY_REMOVAL)
def test_the_search_finds_an_owner_that_awaits_no_late_start(name, monkeypatch):
    """Guards against a run by a late start that the search withdraws."""
    monkeypatch.setattr(
        former_calls.FormerCalls, "withdraw", lambda _self, _task, _executor: False
    )
    seed = kept_schedules.RED_LATE_START_SEED_BY_REMOVAL[name]
    assert not plays.play(restart_draws.draw(seed)).breaches
    with removals.removed(name):
        breaches = plays.play(restart_draws.draw(seed)).breaches
    assert any("still runs" in breach for breach in breaches)


def test_a_short_search_with_long_running_tasks_breaks_nothing():
    """Guards against two runs of a task that waits for no longest lease."""
    breaches_by_seed = {}
    for seed in SEEDS:
        outcome = plays.play(restart_draws.draw_long_running(seed))
        assert outcome.starts
        if outcome.breaches:
            breaches_by_seed[seed] = outcome.breaches
    assert not breaches_by_seed


@pytest.mark.parametrize("name", kept_schedules.RED_LONG_RUNNING_SEED_BY_REMOVAL)
def test_the_search_finds_a_removed_check_of_long_running_tasks(name):
    """Guards against a search in which no such task holds a longest lease."""
    seed = kept_schedules.RED_LONG_RUNNING_SEED_BY_REMOVAL[name]
    assert not plays.play(restart_draws.draw_long_running(seed)).breaches
    with removals.removed(name):
        breaches = plays.play(restart_draws.draw_long_running(seed)).breaches
    assert any("still runs" in breach for breach in breaches)


def test_next_processes_get_calls_to_former_ones():
    """Guards against a search in which no such call arrives."""
    traces = [
        plays.play(restart_draws.draw(seed), traced=True).trace for seed in SEEDS[:10]
    ]
    lines = [line for trace in traces for line in trace if "late call to" in line]
    assert any("is carried out" in line for line in lines)
    assert any("is rejected" in line for line in lines)


def test_a_run_on_a_process_that_nobody_has_reached_is_withdrawn(all_late):
    """Guards against a search that is red where the design covers nothing."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        x1.start(builders.start_request(x1, 2))
        assert not x0.run_by_task

    assert not builders.run_world(scenario)


def test_a_run_on_a_process_that_an_owner_has_reached_is_judged(all_late):
    """Guards against a search that leaves out more than the design does."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        world.former_calls.note_reply("x0", 1, x0.poll(1, 0, None))
        x1.start(builders.start_request(x1, 2))

    assert "still runs on ['x0']" in builders.run_world(scenario)[0]


def test_an_answer_to_an_outdated_owner_does_not_count(all_late):
    """Guards against a stale owner that counts as one that knows the run."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        world.newest_epoch = 2
        world.former_calls.note_reply("x0", 1, x0.poll(1, 0, None))
        x1.start(builders.start_request(x1, 2))

    assert not builders.run_world(scenario)


def test_a_start_that_meets_a_run_elsewhere_is_withdrawn(all_late):
    """Guards against a verdict that depends on which of two runs is first."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        x1.start(builders.start_request(x1, 2))
        with pytest.raises(TimeoutError):
            await builders.restart_before_start(world, x0)
        assert x1.run_by_task

    assert not builders.run_world(scenario)


def test_a_fenced_process_rejects_a_start_to_the_former_one(all_late):
    """Guards against executors that forget the token that they have seen."""

    async def scenario(world):
        x0, _x1 = world.cluster.executor_by_id.values()
        with pytest.raises(TimeoutError):
            await builders.restart_before_start(world, x0, seen_token=2)

    assert not builders.run_world(scenario)


def test_the_clock_of_a_next_process_begins_anywhere():
    """Guards against deadlines of the former clock that are all far ahead."""

    async def scenario(world):
        x0, _x1 = world.cluster.executor_by_id.values()
        former_ms, readings_ms = x0.clock_ms(), []
        for _ in range(20):
            world.restart("x0", down_s=0.0)
            readings_ms.append(x0.clock_ms())
        assert min(readings_ms) < former_ms < max(readings_ms)

    assert not builders.run_world(scenario)


def make_client(world):
    """Return a client of an instance whose calls may be late."""
    client = step_executor_client.ExecutorClient(world.cluster.executor_by_id)
    world.former_calls.hook(client)
    return client


def test_a_start_sent_to_an_unreached_process_is_judged():
    """Guards against a search that forgives starts without a look before."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        client = make_client(world)
        world.restart("x0", down_s=0.0)
        await asyncio.sleep(0.1)  # It is down until the loop turns.
        request = builders.start_request(x0, 1)
        await client.start(x0.listing, request, timeout_s=1.0)
        x1.start(builders.start_request(x1, 2))

    assert "still runs on ['x0']" in builders.run_world(scenario)[0]


def test_a_start_that_a_frozen_instance_held_up_is_withdrawn():
    """Guards against a search that judges starts sent before a restart."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        client = make_client(world)
        shard_cluster.held_up_since.set(world.now())
        world.restart("x0", down_s=0.0)
        await asyncio.sleep(0.1)  # It is down until the loop turns.
        request = builders.start_request(x0, 1)
        await client.start(x0.listing, request, timeout_s=1.0)
        x1.start(builders.start_request(x1, 2))
        assert not x0.run_by_task

    assert not builders.run_world(scenario)


def test_the_end_of_a_run_that_an_owner_knew_is_judged(all_late):
    """Guards against a search that forgives starts after a known end."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        world.former_calls.note_reply("x0", 1, x0.poll(1, 0, None))
        builders.end_run(x0)
        x0.poll(1, 1, None)
        x1.start(builders.start_request(x1, 2))

    assert "after its acknowledged end" in builders.run_world(scenario)[0]


def test_an_end_that_a_former_call_acknowledges_is_not_judged(all_late):
    """Guards against findings for ends that no owner could have read."""

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        builders.end_run(x0)
        x0.poll(1, 1, None)
        x1.start(builders.start_request(x1, 2))

    assert not builders.run_world(scenario)


def test_an_unknown_end_is_not_judged_once_the_task_was_started(all_late):
    """Guards against findings for an owner that reads such an end too late.

    The end of the new run is judged.
    """

    async def scenario(world):
        x0, x1 = world.cluster.executor_by_id.values()
        await builders.restart_before_start(world, x0)
        builders.end_run(x0)
        x1.start(builders.start_request(x1, 2))
        world.former_calls.note_reply("x0", 1, x0.poll(1, 0, None))
        x0.poll(1, 1, None)
        acknowledged = world.cluster.breaches.acknowledged_done
        assert builders.TASK not in acknowledged
        await asyncio.sleep(0.1)
        builders.end_run(x1)
        x1.poll(1, 1, None)
        assert builders.TASK in acknowledged

    assert not builders.run_world(scenario)
