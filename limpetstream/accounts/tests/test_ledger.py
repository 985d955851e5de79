"""Tests of the ledger in an outage, the witness and the HTTP interface."""

import asyncio

import msgspec
import pytest
import tornado.testing
import tornado.web

from limpetstream import errors
from limpetstream.accounts import export, handlers, messages, witness
from limpetstream.accounts.tests import builders
from limpetstream.border import identity
from standins import virtual_time


def receive(node: builders.Node, request_id: str = "r1", body_hash: str = "ab"):
    return node.ledger.record_receipt(
        "till",
        request_id,
        kind="desk",
        received_ms=1_800_000_000_000,
        body_hash=body_hash,
    )


def test_requests_are_refused_when_nothing_can_be_recorded():
    """Guards against accepted requests that no account shows."""

    async def main(cluster: builders.Cluster) -> None:
        nodes = [await cluster.start() for _ in range(2)]
        ledger = nodes[0].ledger
        assert ledger.can_record(cluster.loop.time())
        cluster.log.down = True
        receipt = receive(nodes[0])
        await ledger.wait_until_recorded(receipt, timeout_s=0.4)
        assert ledger.can_record(cluster.loop.time())
        cluster.unreachable.add("e2")
        await asyncio.sleep(4.0)
        assert not ledger.can_record(cluster.loop.time())
        with pytest.raises(errors.LogUnavailable):
            await ledger.wait_until_recorded(receive(nodes[0], "r2"), timeout_s=1.0)
        cluster.log.down = False
        await asyncio.sleep(1.5)
        assert ledger.can_record(cluster.loop.time())
        assert await ledger.flush(timeout_s=1) and ledger.outbox.bytes_held == 0
        await cluster.close()

    builders.run(main)


def test_memory_is_bounded_in_an_outage():
    """Guards against an instance that runs out of memory in a log outage."""

    async def main(cluster: builders.Cluster) -> None:
        for _ in range(2):
            await cluster.start(outage_bytes=200_000)
        node, other = cluster.node_by_id.values()
        cluster.log.down = True
        count = 0
        while node.ledger.can_record(cluster.loop.time()) and count < 10_000:
            receive(node, f"r{count}")
            count += 1
            await asyncio.sleep(0.01)
        assert 100 < count < 10_000
        assert node.ledger.outbox.bytes_held < 210_000
        assert other.ledger.outbox.bytes_held <= 200_000
        # The other instance holds so many copies that it refuses requests too.
        assert not await node.ledger.flush(timeout_s=1)
        cluster.log.down = False
        assert await node.ledger.flush(timeout_s=10)
        pages = await builders.whole_account(cluster.stream(), "till")
        assert pages[-1].count == count
        await cluster.close()

    builders.run(main)


def test_a_slow_log_costs_a_reply_no_more_than_the_witness():
    """Guards against replies that wait for a slow log."""

    async def main(cluster: builders.Cluster) -> None:
        nodes = [await cluster.start() for _ in range(3)]
        began = cluster.loop.time()
        await nodes[0].ledger.wait_until_recorded(receive(nodes[0]), timeout_s=2.0)
        assert cluster.loop.time() - began < 0.3
        # The witness dies before the log answers; another member takes copies.
        first = nodes[0].ledger.outbox.unconfirmed[0].witness
        await cluster.kill(first)
        receipt = receive(nodes[0], "r2")
        await nodes[0].ledger.wait_until_recorded(receipt, timeout_s=2.0)
        await asyncio.sleep(0.5)
        copies = {each.witness for each in nodes[0].ledger.outbox.unconfirmed}
        assert first not in copies and "" not in copies
        await cluster.close()

    builders.run(main, append_s=3.0)


def test_one_entry_tells_of_a_fast_request():
    """Guards against two entries for a request that ends before the commit."""

    async def main(cluster: builders.Cluster) -> None:
        node = await cluster.start()
        receipt = receive(node)
        node.ledger.record_outcome(receipt, state="answered", attempts=1, detail="d")
        assert await node.ledger.flush(timeout_s=1)
        [frame] = cluster.log.frames_by_stream[messages.STREAM]
        batch = messages.decode(frame.records[0], messages.AccountBatch)
        assert len(batch.rows) == 1
        with pytest.raises(ValueError):
            node.ledger.record_outcome(receipt, state="lost", attempts=1)
        await cluster.close()

    builders.run(main)


def test_the_witness_refuses_what_is_not_a_copy():
    """Guards against a peer that sends records in the name of another."""
    encoder = messages.RecordEncoder("e1")
    line = encoder.encode(
        messages.BATCH_KIND, messages.make_batch("e1", [builders.entry()])
    )
    mark = encoder.encode(
        messages.MARK_KIND, messages.AccountMark("r", 1, 0, 9, 0, 0, 0)
    )
    held: list[str] = []

    def hold(lines: list[str]) -> bool:
        held.extend(lines)
        return True

    def body(origin: str, *lines: str) -> bytes:
        return msgspec.json.encode(witness.CopyRequest(origin, list(lines)))

    for member, content, status in (
        ("e1", b"{", 400),
        ("e2", body("e1", line), 403),
        ("e2", body("e2", line), 400),
        ("e1", body("e1", line[:-3] + '9"}'), 400),
        ("e1", body("e1", mark), 400),
    ):
        with pytest.raises(errors.Rejected) as refused:
            witness.accept_copy(member, content, hold)
        assert refused.value.status == status
    assert held == []
    witness.accept_copy("e1", body("e1"), lambda lines: False)
    with pytest.raises(errors.Rejected):
        witness.accept_copy("e1", body("e1", line), lambda lines: False)
    witness.accept_copy("e1", body("e1", line), hold)
    assert held == [line]


class AccountTest(tornado.testing.AsyncHTTPTestCase):
    """``GET /v1/account`` over a socket."""

    def get_app(self) -> tornado.web.Application:
        async def fill() -> builders.Cluster:
            cluster = builders.Cluster()
            node = await cluster.start()
            for number in range(5):
                receive(node, f"r{number}")
            assert await node.ledger.flush(timeout_s=1)
            return cluster

        async def filled() -> builders.Cluster:
            return await fill()

        self.cluster = virtual_time.run(filled())
        [node] = self.cluster.node_by_id.values()
        callers = {identity.key_hash("k1"): "till", identity.key_hash("k2"): "other"}

        def find(key_hash: str) -> tuple[str, None] | None:
            name = callers.get(key_hash)
            return None if name is None else (name, None)

        return tornado.web.Application(handlers.routes(node.ledger, find))

    def ask(self, query: str = "", key: str = "k1"):
        headers = {"Authorization": f"Bearer {key}"}
        return self.fetch(f"/v1/account{query}", headers=headers)

    def test_a_caller_sees_its_own_account_only(self) -> None:
        """Guards against accounts that other callers can read."""
        page = msgspec.json.decode(self.ask("?limit=3").body, type=export.Page)
        assert [row.request_id for row in page.rows] == ["r0", "r1", "r2"]
        assert {row.state for row in page.rows} == {"unknown"}
        last = self.ask(f"?after={page.after}")
        last_page = msgspec.json.decode(last.body, type=export.Page)
        assert export.verify([page, last_page])[0] == 5
        other = msgspec.json.decode(self.ask(key="k2").body, type=export.Page)
        assert other.rows == [] and other.complete
        assert self.ask(f"?after={page.after}", key="k2").code == 400
        assert self.ask(key="k3").code == 401

    def test_bad_input_is_refused_with_a_reason(self) -> None:
        """Guards against status 500 for invalid input of a caller."""
        for query in ("?limit=0", "?limit=1001", "?limit=x", "?after=1"):
            reply = self.ask(query)
            assert reply.code == 400, query
            assert b"reason" in reply.body
        self.cluster.log.down = True
        reply = self.ask()
        assert reply.code == 503 and b"log-unavailable" in reply.body
