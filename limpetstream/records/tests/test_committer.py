"""Tests of group commit, resends, limits and results."""

import asyncio
import random

import pytest

from limpetstream import errors
from limpetstream.records import committer
from limpetstream.records.tests import builders
from standins import virtual_time


def run(scenario, log=None):
    """Run a scenario with a log and one started process."""

    async def main():
        used_log = log or builders.MemoryLog()
        node = builders.make_node(used_log, "e1")
        node.start()
        await scenario(used_log, node)

    virtual_time.run(main())


def test_append_returns_the_result_read_back():
    """Guards against a result that differs from that of the log order."""

    async def scenario(log, node):
        apply_result = await node.committer.append("note", builders.Note("a"))
        assert (apply_result.offset, apply_result.index, apply_result.void_reason) == (
            0,
            0,
            None,
        )
        apply_result = await node.committer.append("note", builders.Note("void"))
        assert apply_result.void_reason == "void text"
        assert node.committer.pending_records == 0
        assert node.committer.pending_bytes == 0

    run(scenario)


def test_frame_is_applied_once_after_a_lost_answer():
    """Guards against a resent frame that is applied twice."""

    async def scenario(log, node):
        node.client.lost_answer_share = 0.7
        texts = [str(number) for number in range(40)]
        for text in texts:
            await node.committer.append("note", builders.Note(text))
        assert node.notes.texts == texts

    run(scenario)


def test_append_that_takes_effect_later_is_applied_once():
    """Guards against a duplicate that arrives after newer frames."""

    async def scenario(log, node):
        node.client.late_share = 0.5
        texts = [str(number) for number in range(20)]
        for text in texts:
            await node.committer.append("note", builders.Note(text), timeout_s=60)
        await asyncio.sleep(10)
        assert node.notes.texts == texts
        assert log.end(builders.STREAM) > 20

    run(scenario)


def test_group_commit_keeps_to_the_budget():
    """Guards against over 20 appends/s, and against delays when idle."""

    async def scenario(log, node):
        started = node.clock.monotonic()
        await node.committer.append("note", builders.Note("alone"))
        assert node.clock.monotonic() - started < 0.04
        appends = [
            node.committer.append("note", builders.Note(str(n))) for n in range(2000)
        ]
        started, before = node.clock.monotonic(), log.appends
        await asyncio.gather(*appends)
        elapsed_s = node.clock.monotonic() - started
        assert log.appends - before <= elapsed_s * 20 + 1
        assert elapsed_s < 1.0

    run(scenario)


def test_time_out_withdraws_what_was_not_sent():
    """Guards against a backlog of abandoned records after an outage.

    A record that was already sent must still be applied.
    """

    async def scenario(log, node):
        node.client.down = True
        with pytest.raises(errors.LogUnavailable):
            await node.committer.append("note", builders.Note("sent"), timeout_s=3)
        for _ in range(3):
            with pytest.raises(errors.LogUnavailable):
                await node.committer.append("note", builders.Note("no"), timeout_s=1)
        assert node.committer.pending_records == 1
        node.client.down = False
        await node.committer.append("note", builders.Note("after"))
        assert node.notes.texts == ["sent", "after"]

    run(scenario)


def test_pending_records_are_bounded_and_urgent_ones_still_fit():
    """Guards against unbounded memory and against starved renewals."""

    async def scenario(log, node):
        node.client.down = True
        big = builders.Note("x" * 100_000)
        waiting = [
            asyncio.ensure_future(node.committer.append("note", big))
            for _ in range(200)
        ]
        await asyncio.sleep(0.01)
        assert node.committer.pending_bytes <= committer.MAX_PENDING_BYTES
        urgent = asyncio.ensure_future(
            node.committer.append("note", builders.Note("renewal"), urgent=True)
        )
        await asyncio.sleep(0.01)
        node.client.down = False
        await urgent
        assert node.notes.texts.index("renewal") <= 2
        await asyncio.gather(*waiting, return_exceptions=True)

    run(scenario)


def test_read_back_ends_an_append_without_an_answer():
    """Guards against waiting for an answer after the read-back."""

    async def scenario(log, node):
        node.client.lost_answer_share = 1.0
        started = node.clock.monotonic()
        for text in "abc":
            await node.committer.append("note", builders.Note(text))
        assert node.clock.monotonic() - started < 1.0

    run(scenario)


def test_retired_writer_sends_nothing_more():
    """Guards against a resend by an instance that is no longer a member."""

    async def scenario(log, node):
        node.client.down = True
        waiting = asyncio.ensure_future(
            node.committer.append("note", builders.Note("x"), timeout_s=None)
        )
        await asyncio.sleep(0.2)
        node.committer.retire()
        with pytest.raises(errors.LogUnavailable):
            await waiting
        node.client.down = False
        await asyncio.sleep(5)
        assert log.appends == 0
        with pytest.raises(errors.LogUnavailable):
            await node.committer.append("note", builders.Note("y"))

    run(scenario)


def test_other_streams_do_not_starve_the_control_stream():
    """Guards against a backlog of other streams that delays renewals."""

    async def scenario(log, node):
        def writer(stream):
            return committer.StreamWriter(
                node.client, stream, node.clock, node.client.random, node.budget
            )

        async def flood(stream):
            target = writer(stream)
            while True:
                await target.append(["y" * 1000])

        floods = [asyncio.ensure_future(flood(name)) for name in ("a", "b")]
        await asyncio.sleep(1)
        for number in range(20):
            started = node.clock.monotonic()
            await node.committer.append("note", builders.Note(str(number)))
            assert node.clock.monotonic() - started < 0.25
        for task in floods:
            task.cancel()

    run(scenario)


def test_stream_writer_retries_and_gives_up():
    """Guards against an append without a time limit, and a lost frame."""

    async def scenario(log, node):
        target = committer.StreamWriter(
            node.client, "accounts", node.clock, node.client.random, node.budget
        )
        node.client.lost_answer_share = 0.5
        for _ in range(20):
            await target.append(["a"])
        assert log.end("accounts") >= 20
        node.client.down = True
        with pytest.raises(errors.LogUnavailable):
            await target.append(["a"], timeout_s=1)
        with pytest.raises(ValueError):
            await target.append(["a" * 300_000])

    run(scenario)


def test_resent_frame_takes_the_records_that_arrived_since():
    """Guards against a backlog that remains after a short outage.

    The frame grows between two resends. Its shorter copy may take effect
    before or after the longer one.
    """

    async def scenario(log, node):
        node.client.late_share = 0.5
        waiting = []
        for number in range(60):
            record = node.committer.append(
                "note", builders.Note(str(number)), timeout_s=60
            )
            waiting.append(asyncio.ensure_future(record))
            await asyncio.sleep(0.02)
        await asyncio.gather(*waiting)
        await asyncio.sleep(5)
        assert node.notes.texts == [str(number) for number in range(60)]
        sizes = [len(frame.records) for frame in log.frames_by_stream[builders.STREAM]]
        assert max(sizes) > 2

    run(scenario)


def test_record_that_cannot_be_read_back_fails():
    """Guards against an append that never ends, and against a leak."""

    async def scenario(log, node):
        del node.view.registry.type_by_kind_version["note", 1]
        unread = asyncio.ensure_future(
            node.committer.append("note", builders.Note("x"), timeout_s=None)
        )
        await asyncio.sleep(1)
        node.view.registry.register("note", 1, builders.Note)
        await node.committer.append("note", builders.Note("y"))
        with pytest.raises(errors.LogUnavailable):
            await unread
        assert node.committer.pending_records == 0
        assert node.committer.pending_bytes == 0
        with pytest.raises(ValueError):
            await node.committer.append("note", builders.Note("z" * 300_000))

    run(scenario)


@pytest.mark.parametrize("steps", range(6))
def test_cancelled_writer_stops_when_the_append_has_just_failed(steps):
    """Guards against a lost cancellation.

    The writer retried for ever, so a planned stop never ended while the log
    was down.
    """

    class Log:
        def __init__(self):
            self.answer = None

        async def append(self, stream, lines):
            self.answer = asyncio.get_running_loop().create_future()
            return await self.answer

    async def scenario(log, node):
        failing = Log()
        writer = committer.StreamWriter(
            failing, "accounts", node.clock, random.Random(1), node.committer.budget
        )
        append = asyncio.ensure_future(writer.append(["line"], timeout_s=60))
        while failing.answer is None:
            await asyncio.sleep(0.01)
        failing.answer.set_exception(errors.LogUnavailable("down"))
        for _ in range(steps):
            await asyncio.sleep(0)
        append.cancel()
        await asyncio.wait({append}, timeout=5)
        assert append.cancelled()

    run(scenario)
