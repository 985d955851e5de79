"""Admission, retry budget and answer cache against simple models."""

import asyncio
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from limpetstream import errors
from limpetstream.desk import admission, answer_cache, messages, retry_budget
from limpetstream.desk.tests import builders
from standins import virtual_time


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_resends_stay_within_a_tenth(steps):
    """Guards against retries that multiply the load of a failure."""
    budget, requests, retries = retry_budget.RetryBudget(), 0, 0
    for is_request in steps:
        if is_request:
            budget.deposit()
            requests += 1
        else:
            retries += budget.withdraw()
        assert retries <= retry_budget.RETRY_RATIO * requests + 1e-6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    st.floats(1.0, 50.0), st.lists(st.floats(0.0, 0.3), min_size=1, max_size=200)
)
def test_rate_of_a_caller(per_s, steps):
    """Guards against a caller that crowds out all others."""
    admission_control, now, passed = admission.Admission(random.Random(1)), 0.0, 0
    for step in steps:
        now += step
        try:
            admission_control.check_rate("c", per_s, now)
            passed += 1
        except errors.NotRun as error:
            assert error.reason == "rate-limit"
            assert error.retry_after_s > 0
        assert passed <= max(per_s, admission.MIN_BURST) + per_s * now + 1e-6
    admission_control.check_rate("other", per_s, now)


def test_retry_after_is_spread():
    """Guards against refused callers that retry all at once."""
    rng = random.Random(1)
    times = {round(admission.random_retry_after_s(rng), 3) for _ in range(50)}
    assert len(times) > 40


STEPS = st.lists(
    st.tuples(
        st.sampled_from(messages.PRIORITIES),
        st.floats(0.0, 0.05),
        st.floats(0.05, 3.0),
    ),
    min_size=1,
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(STEPS, st.integers(1, 5))
def test_queue_is_bounded_in_order_and_in_time(steps, limit):
    """Guards against unbounded queues, late refusals and lost slots."""

    async def run_one(world, holder, number, priority, deadline_s, ended):
        now = world.loop_time()
        request = builders.request(
            world, f"r{number}", priority=priority, deadline=now + deadline_s
        )
        try:
            await holder.run(request, messages.Progress())
            ended.append((request, "answered", now))
        except errors.NotRun as error:
            assert world.runs(request.request_id) == 0
            ended.append((request, error.reason, now))
            assert world.loop_time() <= now + 0.1 * deadline_s
            assert error.retry_after_s > 0
        queue = holder.admission.queue("desk")
        assert all(len(each) <= limit for each in queue.by_priority.values())

    async def main():
        world = builders.World(
            {"a": "dc0"}, {"e1": "dc0"}, slots=2, run_s=0.04, queue_limit=limit
        )
        builders.grant_all_groups(world)
        await world.start()
        holder, ended, tasks = world.by_id["a"].holder, [], []
        for number, (priority, step, deadline_s) in enumerate(steps):
            await asyncio.sleep(step)
            running_request = run_one(
                world, holder, number, priority, deadline_s, ended
            )
            tasks.append(asyncio.ensure_future(running_request))
        await asyncio.gather(*tasks)
        assert len(ended) == len(steps)
        assert world.breaches() == 0
        assert len(holder.admission.queue("desk")) == 0
        assert holder.available_slots_of_service("desk", world.loop_time()) == 2

    virtual_time.run(main())


def test_urgent_goes_first():
    """Guards against urgent requests that wait behind less urgent ones."""

    async def main():
        world = builders.World(
            {"a": "dc0"}, {"e1": "dc0"}, slots=1, run_s=0.02, queue_limit=9
        )
        builders.grant_all_groups(world)
        await world.start()
        holder, order = world.by_id["a"].holder, []

        async def run_one(name, priority):
            request = builders.request(world, name, priority=priority)
            await holder.run(request, messages.Progress())
            order.append(name)

        tasks = [asyncio.ensure_future(run_one("first", "low"))]
        await asyncio.sleep(0.001)
        for number, priority in enumerate(["low", "normal", "urgent", "urgent"]):
            tasks.append(
                asyncio.ensure_future(run_one(f"{priority}{number}", priority))
            )
        await asyncio.gather(*tasks)
        assert order == ["first", "urgent2", "urgent3", "normal1", "low0"]

    virtual_time.run(main())


def test_refusals_leave_retries_to_failures():
    """Guards against refusals in an overload that use up all retries."""
    budget = retry_budget.RetryBudget(balance=retry_budget.MAX_BALANCE)
    while budget.withdraw(reserve=retry_budget.FAILURE_RESERVE):
        pass
    assert budget.balance == retry_budget.FAILURE_RESERVE
    assert budget.withdraw()


def test_queue_limit():
    """Guards against an unbounded queue."""

    async def main():
        world = builders.World({"a": "dc0"}, {"e1": "dc0"})
        admission_control = world.by_id["a"].holder.admission
        for number in range(3):
            request = builders.request(world, f"r{number}")
            admission_control.check_queue(request, now=0.0, wait_s=0.0, limit=3)
            admission_control.enqueue(request, frozenset())
        with pytest.raises(errors.NotRun) as caught:
            admission_control.check_queue(
                builders.request(world), now=0.0, wait_s=0.0, limit=3
            )
        assert caught.value.reason == "overload"

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("wait_s", "deadline_s", "reason"),
    [(0.0, 0.04, "deadline"), (0.5, 2.0, "overload")],
)
def test_refused_at_once(wait_s, deadline_s, reason):
    """Guards against queueing a request that cannot be answered in time."""

    async def main():
        world = builders.World({"a": "dc0"}, {"e1": "dc0"})
        admission_control = world.by_id["a"].holder.admission
        now = world.loop_time()
        request = builders.request(world, deadline=now + deadline_s)
        # Without a recent run, one request would be admitted as a probe.
        admission_control.record_run("desk", 0.05, now)
        with pytest.raises(errors.NotRun) as caught:
            admission_control.check_queue(request, now=now, wait_s=wait_s, limit=10)
        assert caught.value.reason == reason

    virtual_time.run(main())


def test_kept_answers_are_bounded_and_running_ones_stay():
    """Guards against unbounded memory and the eviction of running requests."""

    async def main():
        world = builders.World({"a": "dc0"}, {"e1": "dc0"})
        cache = answer_cache.AnswerCache(max_bytes=20_000)
        running = builders.request(world, "running")
        cache.get_or_create(running)
        for number in range(100):
            request = builders.request(world, f"r{number}")
            entry, first = cache.get_or_create(request)
            assert first
            answer = messages.Answer("answered", 200, body=b"x" * 1000)
            cache.complete(request.key, entry, answer)
            assert cache.bytes_used <= 20_000
            assert cache.bytes_used == sum(
                answer_cache.memory_bytes(each.answer)
                for each in cache.by_key.values()
                if each.answer
            )
        assert running.key in cache.by_key
        assert ("c", "r99") in cache.by_key
        assert ("c", "r0") not in cache.by_key
        with pytest.raises(errors.Rejected):
            cache.get_or_create(builders.request(world, "r99", body=b"y"))
        refused = builders.request(world, "refused")
        entry, _ = cache.get_or_create(refused)
        cache.complete(refused.key, entry, messages.Answer("not-run", 503))
        assert cache.get_or_create(refused)[1]

    virtual_time.run(main())
