"""Tests of writing, choosing and loading snapshots."""

import asyncio
import random

from hypothesis import given, settings, strategies as st

from limpetstream.membership import members
from limpetstream.records import codec, committer
from limpetstream.records.tests import builders
from limpetstream.snapshots import loader, messages, pages, writer
from standins import virtual_time


def make_writer(node, number=3, retention_s=400.0):
    """Return the snapshot writer of a process among ``number`` members."""
    member_state = members.Members()
    for n in range(number):
        member_state.by_id[f"e{n}"] = members.Member(f"e{n}", "a", "", "", n)
    stream = committer.StreamWriter(
        node.client, messages.STREAM, node.clock, node.client.random, node.budget
    )
    return writer.SnapshotWriter(
        stream,
        node.view,
        member_state,
        node.committer.writer,
        node.clock,
        retention_s,
        lambda: -1,
    )


def make_loader(node):
    """Return a snapshot loader for the view of one process."""
    source = random.Random(1)
    return loader.SnapshotLoader(
        node.client, builders.STREAM, node.view, node.clock, source
    )


async def append_notes(node, texts):
    """Append notes of one process and read them back."""
    for text in texts:
        await node.committer.append("note", builders.Note(text))


def make_source(log, name="e0"):
    """Return a started process whose notes go into snapshots."""
    node = builders.make_node(log, name)
    register_notes(node)
    node.start()
    return node


def register_notes(node):
    """Make the notes of a process part of its snapshots."""

    def load(objects):
        node.notes.texts = list(objects)

    node.view.register_state("notes", lambda: list(node.notes.texts), load)


def make_reader(log):
    """Return a process without state, and the loader that it restarts from."""
    node = builders.make_node(log, "reader")
    register_notes(node)
    snapshot_loader = make_loader(node)
    node.follower.restart = snapshot_loader.load
    return node, snapshot_loader


async def read_all(log, node):
    """Read the control stream to its end."""
    while node.view.next_offset < log.end(builders.STREAM):
        await node.follower.step()


def test_new_reader_reaches_the_same_state_after_expiry():
    """Guards against state or sequence numbers missing in a snapshot."""

    async def main():
        log = builders.MemoryLog()
        node = make_source(log)
        await append_notes(node, "abcdef")
        assert await make_writer(node).write(1)
        await append_notes(node, "gh")
        duplicate = log.frames_by_stream[builders.STREAM][2].records
        log.expire(builders.STREAM, 6)
        log.append_now(builders.STREAM, duplicate)
        reader, snapshot_loader = make_reader(log)
        await snapshot_loader.load_initial()
        await read_all(log, reader)
        assert reader.notes.texts == list("abcdefgh")
        assert reader.view.sequence_by_writer == node.view.sequence_by_writer

    virtual_time.run(main())


def test_empty_log_needs_no_snapshot():
    """Guards against a first start that waits for a snapshot."""

    async def main():
        log = builders.MemoryLog()
        reader, snapshot_loader = make_reader(log)
        await snapshot_loader.load_initial()
        assert reader.view.next_offset == 0

    virtual_time.run(main())


def test_older_snapshot_is_used_if_the_newest_is_damaged_or_incomplete():
    """Guards against a loader that stops at a damaged page."""

    async def main():
        log = builders.MemoryLog()
        node = make_source(log)
        await append_notes(node, "abc")
        snapshot_writer = make_writer(node)
        assert await snapshot_writer.write(1)
        await append_notes(node, "de")
        assert await snapshot_writer.write(2)
        frames = log.frames_by_stream[messages.STREAM]
        page = frames[2]
        page.records = [page.records[0].replace('"d', '"x')]
        incomplete = messages.Complete("3.e0.0", 4, 2, "0")
        line = codec.encode(
            codec.Envelope(messages.COMPLETE_KIND, 1, "e0", 99, incomplete)
        )
        log.append_now(messages.STREAM, [line])
        log.append_now(messages.STREAM, ["", "{", '{"k":"snapshot.complete"}'])
        log.expire(builders.STREAM, 3)
        reader, snapshot_loader = make_reader(log)
        await snapshot_loader.load_initial()
        assert reader.view.next_offset == 3
        await read_all(log, reader)
        assert reader.notes.texts == list("abcde")

    virtual_time.run(main())


def test_loader_starts_over_when_frames_expire_meanwhile():
    """Guards against a view that continues at an expired offset."""

    async def main():
        log = builders.MemoryLog()
        node = make_source(log)
        await append_notes(node, "abc")
        snapshot_writer = make_writer(node)
        assert await snapshot_writer.write(1)
        await append_notes(node, "de")
        reader, snapshot_loader = make_reader(log)

        class ExpiringLog:
            """Log whose control stream expires while pages are read."""

            async def read(self, stream, start, **options):
                if (stream, start) == (builders.STREAM, 3):
                    log.expire(builders.STREAM, 5)
                    assert await snapshot_writer.write(2)
                return await reader.client.read(stream, start, **options)

        snapshot_loader.log = ExpiringLog()
        await snapshot_loader.load_initial()
        assert log.end(messages.STREAM) == 4
        assert reader.view.next_offset == 5
        assert reader.notes.texts == list("abcde")

    virtual_time.run(main())


def test_members_write_in_the_order_of_their_ranks():
    """Guards against no member writing, and against all of them writing."""

    async def main():
        log = builders.MemoryLog()
        due = {}
        for name in ("e0", "e1", "e2"):
            node = builders.make_node(log, name)
            node.view.fresh_at = 0.0
            snapshot_writer = make_writer(node)
            for elapsed_s in (0.0, 5.0, 10.0):
                due[name, elapsed_s] = snapshot_writer.is_due(7, elapsed_s, 0.0)
            node.view.fresh_at = -5.0
            assert not snapshot_writer.is_due(7, 50.0, 0.0)
            node.view.fresh_at = 0.0
            snapshot_writer.latest_number = lambda: 7
            assert not snapshot_writer.is_due(7, 50.0, 0.0)
        for elapsed_s, expected in ((0.0, 1), (5.0, 2), (10.0, 3)):
            assert sum(due[name, elapsed_s] for name in ("e0", "e1", "e2")) == expected

    virtual_time.run(main())


def test_snapshots_are_written_every_quarter_of_the_retention():
    """Guards against a control stream that expires before a snapshot."""

    async def main():
        log = builders.MemoryLog()
        node = make_source(log)
        node.view.sequence_by_writer["e0"] = 0
        snapshot_loader = make_loader(node)
        snapshot_writer = make_writer(node, number=1)
        snapshot_writer.latest_number = lambda: snapshot_loader.catalogue.latest_number
        tasks = [
            asyncio.ensure_future(run)
            for run in (snapshot_writer.run(), snapshot_loader.follow())
        ]
        await asyncio.sleep(1000)
        numbers = {
            writer.number_from_id(mark.id)
            for mark in snapshot_loader.catalogue.complete
        }
        assert len(numbers) == loader.COMPLETE_SNAPSHOTS_KEPT
        assert len(log.frames_by_stream[messages.STREAM]) <= 2 * 11
        for task in tasks:
            task.cancel()

    virtual_time.run(main())


def test_pages_fit_one_frame_whatever_the_text():
    """Guards against pages that are too large for a frame."""
    for text in ('"' * 300_000, "\u20ac" * 300_000, "\u2028\n" * 200_000):
        lines = [pages._encoder.encode(["notes", text])] * 2
        page_data = list(pages.split_into_pages(lines))
        for index, data in enumerate(page_data):
            body = messages.Page("1.e0.0", index, data)
            line = codec.encode(codec.Envelope(messages.PAGE_KIND, 1, "e0", 1, body))
            assert len(line.encode()) <= committer.MAX_FRAME_BYTES
        assert pages.decode_pages(page_data, 0).objects_by_name["notes"] == [text, text]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 200), st.integers(0, 127)),
        max_size=6,
    )
)
def test_damage_never_stops_the_loader_nor_changes_the_state(damage):
    """Guards against loading damaged snapshots, and against exceptions."""

    async def main():
        log = builders.MemoryLog()
        node = make_source(log)
        snapshot_writer = make_writer(node)
        for text in "abc":
            await append_notes(node, text)
            assert await snapshot_writer.write(1)
        frames = log.frames_by_stream[messages.STREAM]
        for which, place, char in damage:
            line = frames[which].records[0]
            place %= len(line)
            frames[which].records = [line[:place] + chr(char) + line[place + 1 :]]
        reader, snapshot_loader = make_reader(log)
        await snapshot_loader.load_initial()
        await read_all(log, reader)
        assert reader.notes.texts == ["a", "b", "c"]
        assert reader.view.sequence_by_writer == {"e0": 3}

    virtual_time.run(main())
