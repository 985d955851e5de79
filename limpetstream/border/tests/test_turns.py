"""Tests of the turns of costly work."""

import asyncio

from limpetstream.border import turns


def test_other_work_runs_between_turns():
    """Guards against an event loop that only reads tiny chunks."""

    async def run():
        shared = turns.Turns()
        steps = []

        async def work(name):
            await shared.take(0)
            steps.append(name)

        async def other():
            for _ in range(6):
                steps.append("other")
                await asyncio.sleep(0)

        await asyncio.gather(work("a"), work("b"), work("c"), other())
        return steps

    steps = asyncio.run(run())
    for name, following in (("a", "b"), ("b", "c")):
        assert "other" in steps[steps.index(name) : steps.index(following)]


def test_work_that_has_cost_least_goes_first():
    """Guards against requests that wait behind bodies without an end."""

    async def run():
        shared = turns.Turns()
        order = []

        async def work(cost):
            await shared.take(cost)
            order.append(cost)

        await asyncio.gather(*[work(cost) for cost in (300, 20, 1, 20)])
        return order

    assert asyncio.run(run()) == [1, 20, 20, 300]


def test_costly_work_is_not_held_up_by_cheaper_work():
    """Guards against whole bodies that wait behind senders of tiny chunks."""

    async def run():
        shared = turns.Turns()

        async def work_for_ever():
            while True:
                await shared.take(1)

        senders = [asyncio.create_task(work_for_ever()) for _ in range(20)]
        await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await shared.take(100_000)
        for sender in senders:
            sender.cancel()

    asyncio.run(run())


def test_work_that_was_given_up_takes_no_turn():
    """Guards against turns that nobody uses and everybody waits for."""

    async def run():
        shared = turns.Turns()
        first = asyncio.create_task(shared.take(0))
        second = asyncio.create_task(shared.take(1))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(5):
            await second

    asyncio.run(run())
