"""Tests of the export, its hash chain, the index and compaction."""

import asyncio
import dataclasses

import pytest

from limpetstream import errors
from limpetstream.accounts import export, index, messages, stream
from limpetstream.accounts.tests import builders
from standins import virtual_time


def rows(*entries: messages.Entry) -> list[export.Row]:
    merged: dict[messages.ReceiptKey, messages.Entry] = {}
    messages.merge_entries(merged, entries)
    return export.make_rows(merged.values())


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        (["received"], "unknown"),
        (["received", "not-run"], "unknown"),
        (["unknown", "not-run"], "unknown"),
        (["not-run", "not-run"], "not-run"),
        (["failed", "unknown"], "failed"),
        (["not-run", "answered", "failed"], "answered"),
    ],
)
def test_a_refusal_says_nothing_about_another_receipt(states, expected):
    """Guards against ``not-run`` for a request that another instance sent."""
    entries = [
        builders.entry(state=messages.STATES.index(each), number=number)
        for number, each in enumerate(states)
    ]
    assert [row.state for row in rows(*entries)] == [expected]


def test_merging_does_not_depend_on_order_or_repetition():
    """Guards against accounts that depend on the order or number of copies."""
    first = builders.entry()
    later = first.with_state(messages.ANSWERED, 2, "ok")
    stale = first.with_state(messages.UNKNOWN, 1, "zzz")
    expected = rows(*map(dataclasses.replace, (first, later, stale)))
    assert (expected[0].state, expected[0].attempts) == ("answered", 2)
    assert (expected[0].detail, expected[0].body_hash) == ("ok", "ab12")
    for order in ((stale, first, later), (later, later, stale, first, first)):
        assert rows(*map(dataclasses.replace, order)) == expected


def test_pages_are_packed_without_loss():
    """Guards against texts that a page does not preserve."""
    entries = [
        builders.entry(request_id='é"\\\n', number=7, received_ms=5),
        builders.entry(caller="x", detail="\u2028", received_ms=1),
    ]
    assert messages.decode_page_data(messages.encode_page_data(entries)) == entries
    with pytest.raises(errors.RecordError):
        messages.decode_page_data("AAAA")


async def _filled(cluster: builders.Cluster, count: int) -> builders.Node:
    node = await cluster.start()
    for number in range(count):
        receipt = node.ledger.record_receipt(
            "till",
            f"r{number}",
            kind="desk",
            received_ms=1_800_000_000_000 + number * 100_000,
            body_hash="ab",
        )
        node.ledger.record_outcome(receipt, state="answered", attempts=1)
        if number % 10 == 9:
            await asyncio.sleep(0.2)
    assert await node.ledger.flush(timeout_s=5)
    return node


def _tampered(pages: list[export.Page]) -> list[list[export.Page]]:
    def changed(number: int, **fields: object) -> list[export.Page]:
        copy = list(pages)
        copy[number] = dataclasses.replace(pages[number], **fields)
        return copy

    row = dataclasses.replace(pages[1].rows[0], state="not-run")
    return [
        pages[:-1],
        pages[1:],
        [pages[0], *pages[2:]],
        [pages[0], *pages],
        [*pages, pages[-1]],
        [pages[1], pages[0], *pages[2:]],
        changed(1, rows=pages[1].rows[1:]),
        changed(1, rows=[row, *pages[1].rows[1:]]),
        changed(1, rows=pages[1].rows[::-1]),
        changed(2, as_of=1),
        changed(2, count=3),
        [dataclasses.replace(each, rows=[], count=0, hash="") for each in pages[:2]],
    ]


def test_the_chain_shows_every_missing_or_changed_row():
    """Guards against an account that hides a request from its caller."""

    async def main(cluster: builders.Cluster) -> None:
        await _filled(cluster, 25)
        pages = await builders.whole_account(cluster.stream(), "till", limit=7)
        assert [len(each.rows) for each in pages] == [7, 7, 7, 4]
        assert export.verify(pages)[0] == 25
        for wrong in _tampered(pages):
            with pytest.raises(ValueError):
                export.verify(wrong)
        empty = await builders.whole_account(cluster.stream(), "nobody")
        assert export.verify(empty) == (0, "")
        await cluster.close()

    builders.run(main)


def test_an_export_is_as_of_its_beginning():
    """Guards against a chain that breaks when more requests arrive."""

    async def main(cluster: builders.Cluster) -> None:
        node = await _filled(cluster, 25)
        first = await node.ledger.export("till", limit=10)
        receipt = node.ledger.record_receipt(
            "till", "r00", kind="desk", received_ms=1_800_000_000_001, body_hash="x"
        )
        await node.ledger.wait_until_recorded(receipt, timeout_s=1)
        # Another instance, which has no state of the export, returns the rest.
        pages = [first]
        other = cluster.stream()
        while not pages[-1].complete:
            pages.append(await export.export(other, "till", after=pages[-1].after))
        assert export.verify(pages)[0] == 25
        assert len((await node.ledger.export("till")).rows) == 26
        await cluster.close()

    builders.run(main)


def test_entries_that_expired_unread_are_admitted():
    """Guards against an incomplete account that is reported as complete."""

    async def main(cluster: builders.Cluster) -> None:
        node = await _filled(cluster, 45)
        first = await node.ledger.export("till", limit=10)
        cluster.log.expire(messages.STREAM, 2)
        with pytest.raises(errors.Rejected) as moved:
            await export.export(cluster.stream(), "till", after=first.after)
        assert moved.value.reason == "account-moved"
        pages = await builders.whole_account(cluster.stream(), "till")
        assert pages[0].gap and 0 < pages[0].count < 45
        # Later rounds keep the mark of the gap and compact the other entries.
        for slot in (1, 2):
            node.compactor.retention_s = 0.0
            assert await node.compactor.compact(slot)
        after = await builders.whole_account(cluster.stream(), "till")
        assert after[0].gap and after[0].rows == pages[0].rows

        await cluster.close()

    builders.run(main)


def test_only_one_member_carries_a_slot():
    """Guards against instances that all write the same pages."""

    async def main(cluster: builders.Cluster) -> None:
        node = await _filled(cluster, 30)
        other = await cluster.start()
        assert await node.compactor.compact(4)
        appends = cluster.log.appends
        assert not await other.compactor.compact(4)
        assert not await other.compactor.compact(3)
        assert cluster.log.appends == appends
        delays = {each.compactor.start_delay_s(9) for each in (node, other)}
        assert delays == {0.0, 30.0}
        task = asyncio.ensure_future(other.compactor.run())
        await asyncio.sleep(1300)
        task.cancel()
        assert len(other.ledger.stream.index.chains[-1]) >= 2
        await cluster.close()

    builders.run(main)


def test_a_round_that_was_broken_off_does_not_count():
    """Guards against an unfinished round whose pages replace the batches."""

    async def main(cluster: builders.Cluster) -> None:
        node = await _filled(cluster, 30)
        cluster.log.lose_answers = 1
        with pytest.raises(errors.LogUnavailable):
            await node.compactor.compact(1)
        found = cluster.stream()
        await found.catch_up()
        assert found.index.chains == [] and len(found.index.incomplete_round_by_id) == 1
        pages = await builders.whole_account(cluster.stream(), "till")
        assert pages[0].count == 30
        assert await node.compactor.compact(1)
        await cluster.close()

    builders.run(main)


@pytest.mark.parametrize("after", ["x", "é", "e30=", "W10=", "WyJib2IiXQ=="])
def test_cursors_of_others_are_refused(after):
    """Guards against a cursor that reads another account or causes a crash."""
    found = stream.AccountStream(builders.Log(), index.Index())
    with pytest.raises(errors.Rejected) as refused:
        virtual_time.run(export.export(found, "till", after=after))
    assert refused.value.status == 400
    cursor = export._encode_cursor(export._Cursor("bob", 0, False))
    with pytest.raises(errors.Rejected):
        virtual_time.run(export.export(found, "till", after=cursor))
    ahead = export._encode_cursor(export._Cursor("till", 9, False))
    with pytest.raises(errors.Rejected):
        virtual_time.run(export.export(found, "till", after=ahead))


def test_damaged_and_unknown_records_are_skipped(monkeypatch):
    """Guards against a damaged record that makes all accounts unreadable."""
    faults: list[int] = []
    found = index.Index(lambda offset, error: faults.append(offset))
    encoder = messages.RecordEncoder("e1")
    good = encoder.encode(
        messages.BATCH_KIND, messages.make_batch("e1", [builders.entry()])
    )
    page = messages.AccountPage("r", 0, 1, 0, 0, "")
    lines = [
        "",
        "{}",
        '{"k":"account.batch","v":1,"b":{"index":1}}',
        good.replace('"v":1', '"v":9'),
        good.replace("account.batch", "account.other"),
        encoder.encode(messages.PAGE_KIND, page).replace('"bucket":1', '"bucket":2'),
        encoder.encode(messages.MARK_KIND, messages.AccountMark("r", 1, 0, 9, 5, 5, 0)),
    ]
    for offset, line in enumerate(lines):
        found.add(offset, [line, good])
    assert faults == list(range(7))
    assert len(found.blocks) == 1 and found.blocks[0].stop == 7
    assert found.chains == []
    frame = builders.builders.Frame(0, [good.replace("r1", "r2"), good])
    assert len(stream.frame_entries(frame, "till")) == 1


def test_the_index_stays_small(monkeypatch):
    """Guards against an index that grows with the number of batches."""
    monkeypatch.setattr(index, "MAX_BLOCKS", 8)
    found = index.Index()
    line = messages.RecordEncoder("e1").encode(
        messages.BATCH_KIND, messages.make_batch("e1", [builders.entry()])
    )
    for offset in range(5000):
        found.add(offset, [line])
    assert len(found.blocks) <= 8
    assert found.blocks[0].start == 0 and found.blocks[-1].stop == 5000
    assert all(
        a.stop == b.start for a, b in zip(found.blocks, found.blocks[1:], strict=False)
    )
