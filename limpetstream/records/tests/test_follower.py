"""Tests of reading, applying, backoff and expiry."""

import asyncio
import random

from hypothesis import given, settings, strategies as st

from limpetstream import errors
from limpetstream.records import codec, follower
from limpetstream.records.tests import builders
from standins import virtual_time


def line(text, sequence, writer="e9"):
    """Return one encoded note."""
    return codec.encode(
        codec.Envelope(k="note", v=1, w=writer, n=sequence, b=builders.Note(text))
    )


def test_fresh_at_is_the_time_at_which_the_complete_read_was_sent():
    """Guards against a view that reports a lower age than its true age."""

    async def main():
        log = builders.MemoryLog()
        node = builders.make_node(log, "e1")
        node.start()
        await asyncio.sleep(3)
        assert node.view.age(node.clock.monotonic()) < 0.5
        node.client.down = True
        down_at = node.clock.monotonic()
        await asyncio.sleep(5)
        assert node.view.fresh_at <= down_at
        node.client.down = False
        await asyncio.sleep(1.5)
        assert node.view.age(node.clock.monotonic()) < 0.5

    virtual_time.run(main())


def test_partial_read_does_not_make_the_view_fresh():
    """Guards against decisions based on an incomplete read of the log."""

    async def main():
        log = builders.MemoryLog()
        for number in range(10):
            log.append_now(builders.STREAM, [line(str(number), number + 1)])
        node = builders.make_node(log, "e1")
        node.follower.max_frames = 4
        for expected in (False, False, True):
            await node.follower.step()
            assert (node.view.fresh_at >= 0) is expected

    virtual_time.run(main())


def test_expired_offset_restarts_from_a_snapshot():
    """Guards against a reader that never recovers from an expired offset."""

    async def main():
        log = builders.MemoryLog()
        for number in range(10):
            log.append_now(builders.STREAM, [line(str(number), number + 1)])
        log.expire(builders.STREAM, 6)
        calls = []

        async def restart(first):
            calls.append(first)
            if len(calls) == 1:
                raise errors.LogUnavailable("no snapshot yet")
            node.view.restart(first - 1, {"e9": first}, {})

        node = builders.make_node(log, "e1", restart=restart)
        for _ in range(3):
            await node.follower.step()
        assert calls == [6, 6]
        assert node.notes.texts == ["6", "7", "8", "9"]

    virtual_time.run(main())


def test_backoff_grows_with_jitter_up_to_its_bound():
    """Guards against instances that all retry at once, or much too late."""
    source = random.Random(1)
    for failing_s in (0.0, 0.5, 1.0, 3.0, 10.0, 1800.0):
        pauses = [follower.backoff_s(failing_s, source) for _ in range(50)]
        assert max(pauses) <= follower.MAX_BACKOFF_S
        assert max(pauses) <= max(follower.INITIAL_BACKOFF_S, failing_s / 20)
        assert len(set(pauses)) == 50
    assert min(pauses) > follower.MAX_BACKOFF_S / 3


DAMAGED = st.sampled_from(["", "{", "null", '{"k":"note"}', '{"x":NaN}', "[" * 5000])


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.one_of(
            st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 6)), max_size=4),
            DAMAGED,
        ),
        max_size=15,
    ),
    st.integers(1, 5),
)
def test_all_readers_reach_the_same_state(frames, size):
    """Guards against a state that depends on read sizes or bad records."""

    async def main():
        log = builders.MemoryLog()
        expected, last = [], {"a": 0, "b": 0}
        for frame in frames:
            if isinstance(frame, str):
                log.append_now(builders.STREAM, [frame])
                continue
            log.append_now(builders.STREAM, [line(f"{w}{n}", n, w) for w, n in frame])
            for writer, number in frame:
                if number > last[writer]:
                    last[writer] = number
                    expected.append(f"{writer}{number}")
        for max_frames in (size, 500):
            node = builders.make_node(log, "e1")
            node.follower.max_frames = max_frames
            while node.view.next_offset < log.end(builders.STREAM):
                await node.follower.step()
            assert node.notes.texts == expected

    virtual_time.run(main())


def test_failing_applier_makes_the_record_void():
    """Guards against one record that stops every instance."""

    async def main():
        log = builders.MemoryLog()
        node = builders.make_node(log, "e1")
        apply_results = []

        def apply(entry):
            raise KeyError(entry.body.text)

        node.view.register_applier("note", apply)
        node.view.listeners.append(
            lambda entry, apply_result: apply_results.append(apply_result)
        )
        log.append_now(builders.STREAM, [line("a", 1)])
        await node.follower.step()
        assert apply_results[0].void_reason == "applier failed"

    virtual_time.run(main())
