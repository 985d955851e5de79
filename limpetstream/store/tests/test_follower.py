"""Tests of the follower of a keyed topic."""

import asyncio

from limpetstream.store import follower, messages
from standins import keyed_store, virtual_time

TOPIC = "keyed.topic"


def test_a_first_call_without_an_answer_costs_half_a_second():
    """Guards against a start that waits long for one unanswered call.

    Seen in inc-5c14: after all instances had been killed, each one waited
    1.5 s for the answer to its first call. The second call was answered in
    0.1 s.
    """
    loop = virtual_time.Loop()
    loaded_at = []

    async def scenario():
        store = keyed_store.Store()
        store.append(TOPIC, 0, [messages.Entry("key", b"value")], None, None)
        client = keyed_store.Client(store)
        client.faults.cut = True
        topic_follower = follower.Follower(
            client,
            TOPIC,
            0,
            virtual_time.make_clock(loop),
            lambda entries, complete: loaded_at.append(loop.time()),
            wait_s=1.0,
        )
        task = asyncio.create_task(topic_follower.run())
        await asyncio.sleep(0.3)
        client.faults.cut = False
        await asyncio.sleep(2.0)
        task.cancel()

    virtual_time.run(scenario(), loop=loop)
    assert loaded_at[0] < 0.7


def test_time_limit_of_a_load_grows_while_the_store_is_slow():
    """Guards against a load that never succeeds while the store is slow."""
    loop = virtual_time.Loop()
    loaded_at = []

    async def scenario():
        client = keyed_store.Client(keyed_store.Store())
        client.faults.delay_s = 1.5
        topic_follower = follower.Follower(
            client,
            TOPIC,
            0,
            virtual_time.make_clock(loop),
            lambda entries, complete: loaded_at.append(loop.time()),
            wait_s=1.0,
        )
        task = asyncio.create_task(topic_follower.run())
        await asyncio.sleep(6.0)
        task.cancel()

    virtual_time.run(scenario(), loop=loop)
    assert loaded_at
