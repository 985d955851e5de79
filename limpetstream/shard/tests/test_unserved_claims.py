"""Tests of claims whose owners are stopped before they serve anything."""

import asyncio

import loguru
import msgspec
import pytest

from limpetstream import errors
from limpetstream.shard import names, ownership, proof
from limpetstream.shard.tests import schedules
from limpetstream.store import messages as store_messages
from standins import keyed_store, shard_cluster, virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def stored_claim(store):
    """Return the newest claim of shard 0 in the journal."""
    return ownership.newest_claim(list(store.newest(names.PROGRESS_TOPIC, 0).values()))


def store_claim(store, record):
    """Store a claim of shard 0 in the journal."""
    entry = store_messages.Entry(names.OWNER_KEY, msgspec.json.encode(record))
    writer = store_messages.Writer(names.WRITER, record.epoch, 0)
    store.append(names.PROGRESS_TOPIC, 0, [entry], writer, None)


async def wait_for_claim(cluster):
    """Return the owner as soon as it serves the shard."""
    while True:
        for member, instance in cluster.instance_by_member.items():
            if shard_cluster.shard_zero(instance) is not None:
                return member
        await asyncio.sleep(0.001)


async def stop_next_within_claim(cluster, *, releases=True):
    """Stop the next owner in order once the journal holds its claim.

    Args:
        cluster: Cluster whose owner has left.
        releases: Whether its release is stored.
    """
    before = stored_claim(cluster.store)
    while stored_claim(cluster.store) == before:
        await asyncio.sleep(0.0005)
    member = stored_claim(cluster.store).member
    instance = cluster.instance_by_member[member]
    assert shard_cluster.shard_zero(instance) is None
    instance.store.faults.cut = not releases
    await instance.ownership.release_all()
    instance.store.faults.cut = False
    await instance.ownership.leave()


@pytest.mark.parametrize("stopped", [1, 3])
def test_owners_that_are_stopped_within_their_claims_keep_no_cancel_waiting(stopped):
    """Guards against a wait of 2 s after claims that nobody has released.

    In a rolling restart the signal may come while the claim is read back.
    """

    async def scenario(cluster):
        for number in range(stopped + 2):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        owner = await wait_for_claim(cluster)
        await cluster.instance_by_member[owner].ownership.leave()
        for _ in range(stopped):
            await stop_next_within_claim(cluster)
        owner = await wait_for_claim(cluster)
        shard = shard_cluster.shard_zero(cluster.instance_by_member[owner])
        assert shard.epoch == stopped + 2
        assert proof.have_earlier_owners_stopped(shard)

    schedules.run_scenario(scenario)


def test_a_claim_that_nobody_has_released_tells_of_the_owners_before():
    """Guards against a wait of 2 s although the instance before has answered.

    The release of its claim is lost, but not what the claim has replaced.
    """

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        owner = await wait_for_claim(cluster)
        await cluster.instance_by_member[owner].ownership.leave()
        await stop_next_within_claim(cluster, releases=False)
        owner = await wait_for_claim(cluster)
        shard = shard_cluster.shard_zero(cluster.instance_by_member[owner])
        assert not proof.have_earlier_owners_stopped(shard)
        await asyncio.sleep(0.5)
        assert proof.have_earlier_owners_stopped(shard)

    schedules.run_scenario(scenario)


def test_an_owner_that_is_killed_within_its_claim_has_released_nothing():
    """Guards against a release by a process that has ended without one."""

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(4)
        owner = await wait_for_claim(cluster)
        await cluster.instance_by_member[owner].ownership.leave()
        before = stored_claim(cluster.store)
        while stored_claim(cluster.store) == before:
            await asyncio.sleep(0.0005)
        await cluster.kill(stored_claim(cluster.store).member)
        assert not stored_claim(cluster.store).released
        owner = await wait_for_claim(cluster)
        shard = shard_cluster.shard_zero(cluster.instance_by_member[owner])
        await asyncio.sleep(0.5)
        assert not proof.have_earlier_owners_stopped(shard)

    schedules.run_scenario(scenario)


def make_store(record):
    """Return a store that holds a claim of shard 0, and a client of it."""
    store = keyed_store.Store()
    store_claim(store, record)
    return store, keyed_store.Client(store)


async def cancel_claim(client, is_due):
    """Cancel a claim of m7 as soon as a condition holds."""
    clock = virtual_time.make_clock(asyncio.get_running_loop())
    claiming = asyncio.create_task(ownership.claim(client, 0, "m7", clock))
    while not is_due():
        await asyncio.sleep(0.0005)
    assert not claiming.done()
    claiming.cancel()
    with pytest.raises(asyncio.CancelledError):
        await claiming


@pytest.mark.parametrize(
    ("released", "stopped_below", "known"),
    [(True, 6, 7), (True, 5, 5), (False, 6, 6), (False, 0, 1)],
)
def test_a_claim_tells_which_owners_have_stopped(released, stopped_below, known):
    """Guards against a cancel beside an owner that may still act.

    Only a release of the owner before shows that it has stopped, and that
    those before it have is known only as far as it has told.
    """

    async def scenario():
        record = ownership.OwnerRecord(6, "m6", True, 1, stopped_below, released)
        store, client = make_store(record)
        clock = virtual_time.make_clock(asyncio.get_running_loop())
        await ownership.claim(client, 0, "m7", clock)
        return stored_claim(store)

    claim = virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert claim == ownership.OwnerRecord(
        7, "m7", True, None, known, starts_recorded_from=7
    )


@pytest.mark.parametrize("lost", [0, 1])
def test_a_claim_that_is_cancelled_is_released(lost):
    """Guards against waits for an owner that has extended no lease.

    The first try may have had no answer, and the last one is under way.
    """

    async def scenario():
        store, client = make_store(ownership.OwnerRecord(6, "m6", True, 1, 6, True))
        append, tried = client.append, []

        async def append_slowly(*args, **fields):
            tried.append(fields)
            if len(tried) <= lost:
                await append(*args, **fields)
                raise errors.PlatformUnavailable("answer lost")
            late = asyncio.create_task(append_later(*args, **fields))
            await asyncio.shield(late)

        async def append_later(*args, **fields):
            await asyncio.sleep(0.05)
            await append(*args, **fields)

        client.append = append_slowly
        await cancel_claim(client, lambda: len(tried) > lost)
        return stored_claim(store)

    claim = virtual_time.run(scenario(), loop=virtual_time.Loop())
    epoch = 7 + lost
    assert claim == ownership.OwnerRecord(
        epoch, "m7", True, 1, epoch, True, starts_recorded_from=epoch
    )


def test_a_cancelled_claim_releases_no_claim_of_another_member():
    """Guards against a release of an owner that acts.

    The store takes a claim of the same epoch for a repeat of its claim.
    """

    async def scenario():
        store, client = make_store(ownership.OwnerRecord(6, "m6", True, 1, 6, True))
        append, tried = client.append, []

        async def append_second(*args, **fields):
            store_claim(store, ownership.OwnerRecord(7, "m9", True, None, 7))
            await append(*args, **fields)
            tried.append(fields)

        client.append = append_second
        await cancel_claim(client, lambda: tried)
        return stored_claim(store)

    claim = virtual_time.run(scenario(), loop=virtual_time.Loop())
    assert claim == ownership.OwnerRecord(7, "m9", True, None, 7)
