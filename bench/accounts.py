"""Checks the accounts of 200 callers after a million requests.

It runs on virtual time over a log in memory that expires records. Instances
are killed and replaced while they hold unconfirmed entries, the log has an
outage, and answers to appends are lost. Every account must equal the
reference, which keeps each request in a list.
"""

import asyncio
import collections
import dataclasses
import random
import time
import tracemalloc

from bench import result
from limpetstream.accounts import compaction, export, messages
from limpetstream.accounts.tests import builders
from limpetstream.telemetry import logs

REQUESTS, CALLERS, INSTANCES = 1_000_000, 200, 7
STEP_S = 1.0
REQUESTS_PER_STEP = 1000
RETENTION_S = 600.0
COMPACTION_INTERVAL_S = 100.0
REPLACE_INTERVAL_S = 100.0
OUTAGE_START_AND_END_S = (330.0, 370.0)
MAX_EXPORT_PEAK_MB = 64.0
TRACED_EXPORTS = 3  # Exports whose memory is traced, from the largest account.
REQUESTS_PER_DAY = 5_400_000  # Of today: 125 per second for 12 hours.
HISTORY_DAYS = 365
LOG_DAYS = 7  # Retention that the figures per day assume.

ReferenceRow = tuple[str, str, int, str, int]
"""Request id, state, time of receipt in ms, body hash and attempts."""


@dataclasses.dataclass(slots=True)
class Simulation:
    """The simulated instances and the reference accounts."""

    random: random.Random
    cluster: builders.Cluster
    rows_by_caller: dict[str, list[ReferenceRow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    offset_at_times: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    request_count: int = 0
    replaced_count: int = 0
    killed_with_unconfirmed: int = 0
    page_bytes: int = 0
    batch_bytes: int = 0
    rounds: int = 0
    full_rounds: int = 0
    compaction_cpu_s: float = 0.0

    async def receive_second(self, live: list[str]) -> None:
        """Receive and finish the requests of one second.

        Args:
            live: Ids of the running instances.
        """
        now_ms = int((1_800_000_000 + self.cluster.loop.time()) * 1000)
        to_kill = self.instance_to_replace(live)
        for _ in range(min(REQUESTS_PER_STEP, REQUESTS - self.request_count)):
            self.request_count += 1
            name = live[self.request_count % len(live)]
            self.request(name, now_ms + self.random.randrange(900), name == to_kill)
        await asyncio.sleep(STEP_S)

    def instance_to_replace(self, live: list[str]) -> str:
        """Return the instance to kill after this second; empty for none."""
        steps = int(self.cluster.loop.time() / STEP_S)
        if (steps + 1) % int(REPLACE_INTERVAL_S / STEP_S):
            return ""
        return live[steps // int(REPLACE_INTERVAL_S / STEP_S) % len(live)]

    def request(self, name: str, received_ms: int, will_be_killed: bool) -> None:
        """Receive a request; finish it unless its instance is to be killed."""
        draw_random = self.random.random
        caller = f"caller-{int(CALLERS * draw_random() ** 1.5)}"
        request_id = f"{self.random.getrandbits(128):032x}"
        body_hash = f"{self.random.getrandbits(64):016x}"
        ledger = self.cluster.node_by_id[name].ledger
        receipt = ledger.record_receipt(
            caller,
            request_id,
            kind="desk",
            received_ms=received_ms,
            body_hash=body_hash,
        )
        state, attempts = "unknown", 0
        if not will_be_killed:
            outcome_draw = draw_random()
            state = (
                "answered"
                if outcome_draw < 0.97
                else "failed"
                if outcome_draw < 0.98
                else "not-run"
            )
            attempts = 0 if state == "not-run" else 1
            finish = lambda: ledger.record_outcome(  # noqa: E731
                receipt, state=state, attempts=attempts
            )
            if outcome_draw < 0.5:
                finish()
            else:
                # These are first committed as received, like most requests
                # that take longer than the group commit.
                self.cluster.loop.call_later(0.1 + 0.4 * draw_random(), finish)
        row = (request_id, state, received_ms, body_hash, attempts)
        self.rows_by_caller[caller].append(row)

    async def main(self) -> None:
        """Make all requests, with outages, replacements and compactions."""
        for _ in range(INSTANCES):
            await self.start()
        next_round = COMPACTION_INTERVAL_S
        while self.request_count < REQUESTS:
            live = list(self.cluster.node_by_id)
            to_kill = self.instance_to_replace(live)
            await self.receive_second(live)
            now = self.cluster.loop.time()
            self.cluster.log.down = (
                OUTAGE_START_AND_END_S[0] <= now < OUTAGE_START_AND_END_S[1]
            )
            if self.random.random() < 0.01:
                self.cluster.log.lose_answers += 1
            if to_kill:
                await self.replace(to_kill)
            if now >= next_round and not self.cluster.log.down:
                next_round += COMPACTION_INTERVAL_S
                await self.compact(now)
        await self.settle()

    async def start(self) -> None:
        node = await self.cluster.start()
        node.compactor.retention_s, node.compactor.interval_s = (
            RETENTION_S,
            COMPACTION_INTERVAL_S,
        )

    async def replace(self, name: str) -> None:
        """Kill an instance and start another one."""
        # The requests of its last second were received but never finished.
        ledger = self.cluster.node_by_id[name].ledger
        self.killed_with_unconfirmed += not ledger.outbox.empty
        await self.cluster.kill(name)
        self.cluster.members.remove(name)
        await self.start()
        self.replaced_count += 1

    async def compact(self, now: float) -> None:
        """Let one instance compact the accounts, then expire old records.

        Compaction rewrites the entries of accounts into pages before the log
        expires their records.
        """
        compactor: compaction.Compactor = self.random.choice(
            list(self.cluster.node_by_id.values())
        ).compactor
        self.cluster.log.lose_answers = 0
        started = time.process_time()
        before = compactor.bytes_written
        await compactor.compact(compactor.current_slot())
        self.compaction_cpu_s += time.process_time() - started
        self.page_bytes += compactor.bytes_written - before
        self.rounds += 1
        chains = compactor.stream.index.chains
        self.full_rounds += len(chains[-1]) == 1
        self.offset_at_times.append((now, compactor.stream.index.next_offset))
        expirable_offsets = [
            offset
            for time_s, offset in self.offset_at_times
            if time_s <= now - RETENTION_S
        ]
        if expirable_offsets:
            self.cluster.log.expire(messages.STREAM, expirable_offsets[-1])

    async def settle(self) -> None:
        """Wait until every instance has flushed its entries."""
        await asyncio.sleep(2.0)
        for node in self.cluster.node_by_id.values():
            assert await node.ledger.flush(timeout_s=30.0)

    async def compare(self) -> tuple[int, int, float]:
        """Export every account from a new instance.

        Returns:
            The exported rows, the differences from the reference, and the peak
            memory in MB of the exports of the largest accounts.
        """
        stream = self.cluster.stream()
        largest_first = sorted(
            self.rows_by_caller.items(), key=lambda item: -len(item[1])
        )
        rows = difference_count = 0
        tracemalloc.start()
        for number, (caller, expected) in enumerate(largest_first):
            if number == TRACED_EXPORTS:
                # Tracing memory makes exports several times slower.
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
            expected.sort(key=lambda row: (row[2], row[0]))
            row_index = 0
            after, more_pages = "", True
            while more_pages:
                page = await export.export(stream, caller, after=after)
                for row in page.rows:
                    difference_count += (
                        row_index >= len(expected)
                        or _reference_row(row) != expected[row_index]
                    )
                    row_index += 1
                after, more_pages = page.after, not page.complete
                difference_count += page.gap
            rows += row_index
            difference_count += row_index != len(expected) or page.count != row_index
        return rows, difference_count, peak / 1e6

    async def verify(self) -> bool:
        """Export one account twice; return whether the chains agree."""
        caller = min(
            self.rows_by_caller, key=lambda name: len(self.rows_by_caller[name])
        )
        node = next(iter(self.cluster.node_by_id.values()))
        first = await builders.whole_account(self.cluster.stream(), caller)
        second = await builders.whole_account(node.ledger.stream, caller, limit=100)
        return export.verify(first) == export.verify(second)


def _reference_row(row: export.Row) -> ReferenceRow:
    return row.request_id, row.state, row.received_ms, row.body_hash, row.attempts


def _capacity(run: Simulation) -> dict[str, object]:
    """Return bytes per request, and per day at 1, 10 and 100 times load."""
    batch_bytes = (run.cluster.log.appended_bytes - run.page_bytes) / REQUESTS
    index = next(iter(run.cluster.node_by_id.values())).ledger.stream.index
    log = run.cluster.log
    first = log.first_by_stream.get(messages.STREAM, 0)
    frames = log.frames_by_stream[messages.STREAM]
    full_round = index.chains[-1][0]
    full_round_bytes = sum(
        len(frames[ref.offset - first].records[ref.index])
        for ref in full_round.ref_by_number.values()
    )
    assert full_round.mark is not None
    page_bytes = full_round_bytes / full_round.mark.entries
    figures: dict[str, object] = {
        "batch bytes per request": round(batch_bytes, 1),
        "page bytes per request": round(page_bytes, 1),
    }
    for factor in (1, 10, 100):
        new_entries = REQUESTS_PER_DAY * factor
        written = new_entries * (batch_bytes + page_bytes)
        rewritten = (
            new_entries
            * HISTORY_DAYS
            * page_bytes
            / (LOG_DAYS * compaction.FULL_ROUND_AGE_SHARE)
        )
        figures[f"new entries, GB a day at {factor}x"] = round(written / 1e9, 2)
        figures[f"carried forward, GB a day at {factor}x"] = round(rewritten / 1e9, 2)
    return figures


def run(seed: int) -> result.Result:
    """Run the measurement."""
    logs.configure(instance="bench", level="ERROR")
    cluster = builders.Cluster()
    simulation = Simulation(random.Random(seed), cluster)
    started = time.perf_counter()
    cluster.run(simulation.main())
    made_s = time.perf_counter() - started
    started = time.perf_counter()
    rows, difference_count, peak = cluster.run(simulation.compare())
    chains_agree = cluster.run(simulation.verify())
    export_s = time.perf_counter() - started
    duration_s = cluster.loop.time()
    log = cluster.log
    figures: dict[str, object] = {
        "requests": simulation.request_count,
        "callers": len(simulation.rows_by_caller),
        "rows exported": rows,
        "rows that differ": difference_count,
        "instances replaced": simulation.replaced_count,
        "frames appended": log.appends,
        "oldest offset kept": log.first_by_stream.get(messages.STREAM, 0),
        "rounds, of them full": f"{simulation.rounds}, {simulation.full_rounds}",
        "virtual s": round(duration_s),
        "s to make and carry": round(made_s, 1),
        "of them carrying, s": round(simulation.compaction_cpu_s, 1),
        "s to export all": round(export_s, 1),
        "peak memory of the largest exports, MB": round(peak, 1),
        **_capacity(simulation),
    }
    cluster.run(cluster.close())
    return result.Result(
        "accounts",
        seed,
        figures,
        {
            "every account complete and equal to the naive version's": difference_count
            == 0
            and rows == REQUESTS,
            "two instances give one chain": chains_agree,
            "records expired": log.first_by_stream.get(messages.STREAM, 0) > 0,
            f"exports peak under {MAX_EXPORT_PEAK_MB} MB": peak < MAX_EXPORT_PEAK_MB,
        },
    )
