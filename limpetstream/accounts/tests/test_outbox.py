"""Tests that the outbox keeps to the limits of the stream's writer."""

import random

from limpetstream.accounts import ledger as ledgers, stream as streams, witness
from limpetstream.records import budget, committer
from limpetstream.settings.tests import builders
from standins import virtual_time

REQUESTS = 6000
OUTAGE_S = 60.0


def test_backlog_of_a_long_outage_reaches_the_log():
    """Guards against a backlog frame that the stream's writer refuses.

    Such a frame ended the commit task; after an outage of 60 s, 1,469 requests
    were missing from the accounts.
    """
    loop = virtual_time.Loop()
    clock = virtual_time.make_clock(loop)
    log = builders.MemoryLog()

    async def run() -> tuple[bool, int]:
        turns = budget.AppendBudget(clock)
        writer = committer.StreamWriter(log, "accounts", clock, random.Random(1), turns)
        alone = witness.WitnessClient("e1", None, lambda: ["e1"], clock)
        ledger = ledgers.Ledger(
            "e1", writer.append, streams.AccountStream(log), alone, clock
        )
        async with ledger.running():
            log.down = True
            for number in range(REQUESTS):
                receipt = ledger.record_receipt(
                    "till",
                    f"r{number:05d}",
                    kind="desk",
                    received_ms=clock.wall_ms(),
                    body_hash="0" * 64,
                )
                ledger.record_outcome(receipt, state="answered", attempts=1)
                await clock.sleep(OUTAGE_S / REQUESTS)
            log.down = False
            flushed = await ledger.flush(timeout_s=OUTAGE_S / 10)
        rows = 0
        after, complete = "", False
        while not complete:
            page = await ledger.export("till", after=after)
            rows += len(page.rows)
            after, complete = page.after, page.complete
        return flushed, rows

    assert virtual_time.run(run(), loop=loop) == (True, REQUESTS)
