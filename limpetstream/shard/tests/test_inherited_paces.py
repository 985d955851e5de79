"""Tests of paces that an executor holds and the owner does not know."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import pacing
from limpetstream.shard.tests import builders
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_a_new_owner_tells_the_pace_of_the_runs_that_it_finds():
    """Guards against runs that an earlier owner has paused for ever."""
    scene = builders.PolledShard(executors=1)
    task = builders.make_tasks(scene.shard, builders.BEST_EFFORT)[0]
    row = executor_messages.RunningRow(task.name, 1, "", 50, 0)
    scene.client.rows_by_id["x0"] = [row]
    scene.advance(1.7)
    scene.close()
    assert task.run is not None
    assert task.run.pace == 100
    assert "pace" in scene.client.calls


def make_paced_run(client):
    """Return a function that adjusts the paces, and a run that is slowed.

    ``client`` answers the calls of the owner. The run works beside a serving
    one, whose tail the function gets as a share of its target.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    shard.executor_client = client
    shard.spawn = loop.create_task
    executor = shard.executor_by_id["x0"]
    serving = builders.start_run(
        executor, builders.make_tasks(shard, builders.SERVING)[0]
    )
    run = builders.start_run(
        executor, builders.make_tasks(shard, builders.BEST_EFFORT)[0], load=800.0
    )

    def adjust(tail):
        serving.load = tail * serving.task.step.tail_target_ms
        shard.ownership_proven_at = shard.clock.monotonic()
        if tail > 1.0:
            serving.over_target_since = shard.clock.monotonic() - 2.0
        pacing.adjust(shard, executor)

    return loop, adjust, run


class PaceClient(builders.RecordingClient):
    """Keeps the pace that has taken effect last; some calls take long.

    ``answer_s`` holds how long the calls take, in their order; one that takes
    longer than its limit has no answer and takes effect ``late_s`` later.
    """

    def __init__(self, answer_s, late_s=0.0):
        super().__init__()
        self.answer_s = list(answer_s)
        self.late_s = late_s
        self.effective = 100
        self.sent = []

    async def pace(self, listing, task, run, percent, token, *, timeout_s):
        self.sent.append(percent)
        answer_s = self.answer_s.pop(0) if self.answer_s else 0.004
        if answer_s > timeout_s:
            asyncio.get_running_loop().call_later(self.late_s, self._apply, percent)
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("no answer")
        await asyncio.sleep(answer_s)
        self._apply(percent)

    def _apply(self, percent):
        self.effective = percent


def test_paces_take_effect_in_the_order_in_which_they_were_set():
    """Guards against a run at speed beside work over its target (HARM check).

    The answer to a speed-up takes longer than the time to the next pause.
    """
    client = PaceClient([0.004, 0.42])
    loop, adjust, run = make_paced_run(client)

    async def polls():
        for tail in [2.5, 0.4, 2.5, 2.5, 2.5, 2.5]:
            adjust(tail)
            await asyncio.sleep(0.35)

    virtual_time.run(polls(), loop=loop)
    assert client.sent[1] > 0
    assert (run.pace, client.effective) == (0, 0)


@pytest.mark.parametrize("late_s", [2.0, 6.0, 11.9])
@pytest.mark.parametrize(
    ("tails", "last"), [([2.5, 0.4], "speed"), ([2.5, 0.4, 2.5], "pause")]
)
def test_a_pace_that_takes_effect_late_is_replaced(tails, last, late_s):
    """Guards against a pause, or a speed, that nothing corrects.

    The first pace of the last kind but one has no answer.
    """
    unanswered = len(tails) - 2
    client = PaceClient([0.004] * unanswered + [9.0], late_s=late_s)
    loop, adjust, run = make_paced_run(client)

    async def polls():
        for tail in [*tails, *[tails[-1]] * 60]:
            adjust(tail)
            await asyncio.sleep(0.35)

    virtual_time.run(polls(), loop=loop)
    assert client.effective == run.pace
    assert (run.pace > 0) == (last == "speed")


def test_a_pace_that_was_answered_is_not_sent_again():
    """Guards against a call to executors every 3 s for each run."""
    client = PaceClient([])
    loop, adjust, run = make_paced_run(client)

    async def polls():
        for _ in range(60):
            adjust(2.5)
            await asyncio.sleep(0.35)

    virtual_time.run(polls(), loop=loop)
    assert client.sent == [0]
