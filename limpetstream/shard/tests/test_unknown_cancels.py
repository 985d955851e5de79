"""Tests of cancels of jobs that are not stored yet."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import names, unknown_cancels
from limpetstream.shard.tests import builders, schedules
from limpetstream.store import messages as store_messages
from limpetstream.workflow import messages, records

JOB_ID = schedules.job_id(7)
# The platform carries an append without an answer out up to 6 s later.
LATE_S = 5.5


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def make_submission(job_id=JOB_ID):
    steps = [builders.copy_step(builders.SHORT, count=2)]
    return messages.Submission(job_id, "desk", "service", job_id, steps, 3)


def store_late(cluster, job_id=JOB_ID):
    """Store a job as an append does that had no answer."""
    cluster.size_by_spec[job_id] = (builders.SHORT.cpu_millicores, 0.5)
    cluster.steps_by_spec[job_id] = make_submission(job_id).steps
    entry = store_messages.Entry(
        job_id, records.encode_submission(make_submission(job_id))
    )
    cluster.store.append(names.SUBMISSIONS_TOPIC, 0, [entry], None, None)


async def start(cluster, count=4):
    for number in range(count):
        cluster.start(f"m{number}")
    await asyncio.sleep(4)


async def cancel(cluster, member, job_id=JOB_ID):
    """Cancel a job; repeat it as a caller does that was refused."""
    while True:
        api = cluster.instance_by_member[member].job_api
        try:
            return await api.cancel(job_id, wait_s=3.0)
        except (errors.NotRun, errors.OutcomeUnknown):
            await asyncio.sleep(0.5)


async def leave(cluster, owner):
    await cluster.instance_by_member[owner].ownership.leave()


async def kill(cluster, owner):
    await cluster.kill(owner)


async def wait_for_owner(cluster, other_than):
    while cluster.owner_member() in (None, other_than):
        await asyncio.sleep(0.05)


async def change_owner(cluster, ways):
    """Let owners end, one after the other."""
    for way in ways:
        owner = cluster.owner_member()
        await way(cluster, owner)
        await wait_for_owner(cluster, owner)


WAYS = {
    "no change": [],
    "planned stop": [leave],
    "kill": [kill],
    "two stops": [leave, leave],
    "two kills": [kill, kill],
    "stop and kill": [leave, kill],
}


@pytest.mark.parametrize("drops_history", [False, True])
@pytest.mark.parametrize("ways", WAYS.values(), ids=WAYS)
def test_a_job_that_arrives_after_its_cancel_never_runs(ways, drops_history):
    """Guards against a cancel that is forgotten with its owner.

    The cancel was answered with 410 and was in the memory of one process.
    """

    async def scenario(cluster):
        await start(cluster)
        assert not await cancel(cluster, cluster.owner_member())
        cancelled_at = asyncio.get_running_loop().time()
        await change_owner(cluster, ways)
        if drops_history:
            cluster.store.drop_history()
        # Nobody has handed the job in yet, so there is none to be shown.
        assert await cluster.state(JOB_ID) is None
        late_s = cancelled_at + LATE_S - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, late_s))
        store_late(cluster)
        assert await cluster.wait_until_final(JOB_ID, limit_s=6) == "cancelled"
        await asyncio.sleep(8)
        assert not started(cluster)

    assert not schedules.run_scenario(scenario).breaches.found


@pytest.mark.parametrize("ways", WAYS.values(), ids=WAYS)
def test_a_cancelled_job_that_was_stored_just_before_never_runs(ways):
    """Guards against the same where the job is stored as it is cancelled.

    The change of owner comes before anything else is known of the job.
    """

    async def scenario(cluster):
        await start(cluster)
        assert not await cancel(cluster, cluster.owner_member())
        store_late(cluster)
        await change_owner(cluster, ways)
        assert await cluster.wait_until_final(JOB_ID, limit_s=30) == "cancelled"
        await asyncio.sleep(8)
        assert not started(cluster)

    assert not schedules.run_scenario(scenario).breaches.found


def test_a_job_that_is_handed_in_again_after_its_cancel_stays_cancelled():
    """Guards against a second submission of the id that runs the job."""

    async def scenario(cluster):
        await start(cluster)
        assert not await cancel(cluster, cluster.owner_member())
        await change_owner(cluster, [leave])
        store_late(cluster)
        assert await cluster.wait_until_final(JOB_ID, limit_s=6) == "cancelled"
        await change_owner(cluster, [kill])
        for instance in cluster.instance_by_member.values():
            await instance.job_api.submit(make_submission(), wait_s=3.0)
        await asyncio.sleep(8)
        assert await cluster.state(JOB_ID) == "cancelled"
        assert not started(cluster)

    assert not schedules.run_scenario(scenario).breaches.found


def started(cluster, job_id=JOB_ID):
    """Return the runs of a job that executors have started."""
    return [
        task for task in cluster.breaches.started_at_by_task if task.startswith(job_id)
    ]


@pytest.fixture
def scene():
    opened = builders.JournaledShard()
    opened.shard.submissions_follower = None
    yield opened
    opened.close()


def cancel_at_owner(scene, job_id):
    """Cancel a job at the owner of a shard, with a recent proof."""
    api = builders.make_job_api(scene)
    scene.shard.journal.put(names.PROOF_KEY, lambda: None)
    scene.advance(0.1)
    return scene.loop.run_until_complete(api.cancel(job_id, wait_s=3.0))


def journaled(scene):
    """Return the cancels in the journal."""
    newest = scene.store.newest(names.PROGRESS_TOPIC, 0)
    return [key for key in newest if not key.startswith("!")]


def test_a_cancel_of_an_unknown_job_is_answered_once_it_is_durable(scene):
    """Guards against a 410 that is forgotten as the owner is killed."""
    scene.store_client.faults.cut = True
    scene.shard.journal.confirmed_at = scene.shard.clock.monotonic()
    api = builders.make_job_api(scene)
    calling = scene.loop.create_task(api.cancel(JOB_ID, wait_s=3.0))
    scene.advance(1.0)
    assert not calling.done() and not journaled(scene)
    scene.store_client.faults.cut = False
    assert scene.loop.run_until_complete(calling) is False
    assert journaled(scene) == [JOB_ID]


def test_a_cancel_that_a_hand_over_cuts_off_is_not_refused(scene):
    """Guards against "not run" of a cancel whose append may take effect."""
    scene.store_client.faults.cut = True
    scene.shard.journal.confirmed_at = scene.shard.clock.monotonic()
    api = builders.make_job_api(scene)
    calling = scene.loop.create_task(api.cancel(JOB_ID, wait_s=1.0))
    scene.advance(0.2)
    scene.shard.journal.fail_waiters(errors.NotOwner("shard 0"))
    api._server.shard_by_number = {}
    with pytest.raises(errors.OutcomeUnknown):
        scene.loop.run_until_complete(calling)


def test_cancels_of_ids_that_never_existed_are_bounded(scene):
    """Guards against a journal that callers can fill.

    One that cannot be kept is refused at once, and has not been noted.
    """
    shard = scene.shard
    for number in range(unknown_cancels.MAX_CANCELS):
        unknown_cancels.note(shard, schedules.job_id(number))
    began_at = scene.loop.time()
    with pytest.raises(errors.NotRun) as refused:
        cancel_at_owner(scene, "5c0e7a21d94b36f9")
    assert scene.loop.time() - began_at < 0.2
    assert 1.0 <= refused.value.retry_after_s <= unknown_cancels.MEMORY_S
    assert len(journaled(scene)) == unknown_cancels.MAX_CANCELS
    assert "5c0e7a21d94b36f9" not in journaled(scene)
    scene.advance(1.0)
    # One that is kept already is taken again, and kept for longer.
    assert not cancel_at_owner(scene, schedules.job_id(3))
    scene.advance(refused.value.retry_after_s - 0.5)
    assert not cancel_at_owner(scene, "5c0e7a21d94b36f9")
    assert sorted(journaled(scene)) == [schedules.job_id(3), "5c0e7a21d94b36f9"]


def test_a_repeated_cancel_is_not_written_again(scene):
    """Guards against appends of callers that repeat a cancel."""
    assert not cancel_at_owner(scene, JOB_ID)
    end = scene.store.partition(names.PROGRESS_TOPIC, 0).end
    written = [
        entry.key for entry in scene.store.partition(names.PROGRESS_TOPIC, 0).records
    ]
    assert not cancel_at_owner(scene, JOB_ID)
    later = scene.store.partition(names.PROGRESS_TOPIC, 0).records[end:]
    assert JOB_ID in written and JOB_ID not in [entry.key for entry in later]


def test_the_record_of_a_cancel_is_small():
    """Guards against a bound on cancels that allows megabytes."""
    stored = records.encode_cancel_of_unknown(1_800_000_000_000)
    assert len(stored) < 100
    progress = records.decode_progress(stored)
    assert progress.unsubmitted and progress.outcome == messages.CANCELLED
