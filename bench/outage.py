"""Measures log outages under load.

It counts what is lost or done twice, and measures backlog and memory.
"""

import asyncio
import collections
import dataclasses
import random
import resource

import loguru

from bench import result
from limpetstream import errors
from limpetstream.membership.tests import builders as cluster_builders
from limpetstream.records import committer
from standins import virtual_time

OUTAGE_LENGTHS_S = (1.0, 60.0, 1800.0)
INSTANCES = 3
DATA_CENTRES = ("gl-erie", "gl-huron")
# Records per second and instance on the control stream, such as intents and
# placements.
CONTROL_PER_S = 10
# Account entries per second and instance; none of them may be lost.
ACCOUNTS_PER_S = 20
ENTRY_TEXT = "e" * 200
MAX_WAITING_BYTES = 64 * 1024 * 1024
WARM_UP_S = 5.0
# Share of the appends whose answer is lost although they took effect.
LOST_ANSWER_PROBABILITY = 0.05
MAX_PENDING_BYTES = committer.MAX_PENDING_BYTES + committer.MAX_FRAME_BYTES


@dataclasses.dataclass(slots=True)
class LoadGenerator:
    """Load of one process, and what was confirmed to its callers.

    As in the ledger, account entries wait in memory until they are on the
    stream; control records are abandoned at their time-out.
    """

    process: cluster_builders.Process
    accounts: committer.StreamWriter
    random: random.Random
    confirmed: list[str] = dataclasses.field(default_factory=list)
    unknown_count: int = 0
    control_count: int = 0
    entry_count: int = 0
    waiting_entries: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )
    max_waiting_bytes: int = 0
    max_pending_bytes: int = 0

    async def control(self) -> None:
        """Append control records, ``CONTROL_PER_S`` on average."""
        tasks = set()
        while True:
            await asyncio.sleep(self.random.expovariate(CONTROL_PER_S))
            self.control_count += 1
            task = asyncio.ensure_future(
                self._append_record(f"{self.process.id}-{self.control_count}")
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            pending = self.process.committer.pending_bytes
            self.max_pending_bytes = max(self.max_pending_bytes, pending)

    async def _append_record(self, text: str) -> None:
        try:
            apply_result = await self.process.committer.append(
                "work", cluster_builders.Note(text)
            )
            assert apply_result.void_reason is None
            self.confirmed.append(text)
        except errors.LogUnavailable:
            self.unknown_count += 1

    async def receive(self) -> None:
        """Receive account entries, ``ACCOUNTS_PER_S`` on average."""
        while True:
            await asyncio.sleep(self.random.expovariate(ACCOUNTS_PER_S))
            self.entry_count += 1
            self.waiting_entries.append(
                f"{self.process.id}-{self.entry_count}|{ENTRY_TEXT}"
            )
            waiting = len(self.waiting_entries) * len(self.waiting_entries[0])
            self.max_waiting_bytes = max(self.max_waiting_bytes, waiting)

    async def append(self) -> None:
        """Append the waiting entries, one frame at a time."""
        while True:
            if not self.waiting_entries:
                await asyncio.sleep(0.05)
                continue
            size = len(self.waiting_entries[0]) + 10
            lines = list(self.waiting_entries)[: committer.MAX_FRAME_BYTES // size]
            try:
                await self.accounts.append(lines, timeout_s=30)
            except errors.LogUnavailable:
                continue
            for _ in lines:
                self.waiting_entries.popleft()


@dataclasses.dataclass(slots=True)
class Outcome:
    """Figures of one outage.

    Args:
        lost: Confirmed records and appended entries that are not on the log.
        duplicated: Records that were applied more than once.
        unknown_count: Records whose outcome their callers do not know.
        waiting_bytes: Most bytes of waiting entries at one instance.
        pending_bytes: Most bytes of pending records at one instance.
        control_s: Seconds until the backlog of control was cleared.
        accounts_s: Seconds until the backlog of accounts was cleared.
        memory_mb: Growth of the memory of the whole process.
        rights_kept: Whether all rights kept their holders without a breach.
    """

    lost: int
    duplicated: int
    unknown_count: int
    waiting_bytes: int
    pending_bytes: int
    control_s: float
    accounts_s: float
    memory_mb: float
    rights_kept: bool


def _start(cluster: cluster_builders.Cluster, seed: int) -> list[LoadGenerator]:
    loads = []
    for number in range(INSTANCES):
        process = cluster.start(DATA_CENTRES[number % 2], act=False)
        process.client.max_frames = 500
        process.client.lost_answer_share = LOST_ANSWER_PROBABILITY
        cluster_builders.register_work(process.replica)
        writer = committer.StreamWriter(
            process.client,
            "accounts",
            process.clock,
            process.client.random,
            process.committer.budget,
        )
        loads.append(LoadGenerator(process, writer, random.Random(f"{seed}/{number}")))
    return loads


async def _outage(
    cluster: cluster_builders.Cluster, seed: int, length_s: float
) -> Outcome:
    """Play one outage under load and return its figures."""
    cluster_builders.register_work(cluster.reference)
    loads = _start(cluster, seed)
    await cluster.run_for(WARM_UP_S)
    for load in loads:
        for run in (load.control(), load.receive(), load.append()):
            cluster.spawn(load.process.id, run)
    await cluster.run_for(5)
    holders_before = cluster.holders()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    cluster.set_log_down(True)
    await cluster.run_for(length_s, step_s=min(0.1, length_s / 10))
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    memory_mb = (after_kb - before_kb) / 1024
    rights_kept = cluster.holders() == holders_before
    entry_counts = [load.entry_count for load in loads]
    control_counts = [load.control_count for load in loads]
    cluster.set_log_down(False)
    control_s, accounts_s = await _wait_for_backlog(
        cluster, loads, control_counts, entry_counts
    )
    await cluster.run_for(10)
    return _evaluate(cluster, loads, (control_s, accounts_s, memory_mb, rights_kept))


async def _wait_for_backlog(
    cluster: cluster_builders.Cluster,
    loads: list[LoadGenerator],
    control_counts: list[int],
    entry_counts: list[int],
) -> tuple[float, float]:
    """Return the seconds until control and accounts have no backlog.

    Args:
        cluster: Simulated instances.
        loads: Load of each instance.
        control_counts: Control records of each instance at the end of the
            outage.
        entry_counts: Account entries of each instance at the end of the
            outage.
    """
    started = cluster.loop.time()
    control_s = accounts_s = None
    while control_s is None or accounts_s is None:
        await cluster.run_for(0.005, step_s=0.005)
        elapsed_s = cluster.loop.time() - started
        records_settled = all(
            len(load.confirmed) + load.unknown_count >= expected
            for load, expected in zip(loads, control_counts, strict=True)
        )
        if control_s is None and records_settled:
            control_s = elapsed_s
        appended = all(
            load.entry_count - len(load.waiting_entries) >= expected
            for load, expected in zip(loads, entry_counts, strict=True)
        )
        if accounts_s is None and appended:
            accounts_s = elapsed_s
        assert elapsed_s < 600
    return control_s, accounts_s


def _evaluate(
    cluster: cluster_builders.Cluster,
    loads: list[LoadGenerator],
    measured: tuple[float, float, float, bool],
) -> Outcome:
    control_s, accounts_s, memory_mb, rights_kept = measured
    applied_counts = collections.Counter(cluster.reference.works)
    appended_entries = {
        line.partition("|")[0]
        for frame in cluster.log.frames_by_stream["accounts"]
        for line in frame.records
    }
    lost = 0
    for load in loads:
        lost += sum(applied_counts[text] == 0 for text in load.confirmed)
        appended_count = load.entry_count - len(load.waiting_entries)
        for number in range(1, appended_count + 1):
            lost += f"{load.process.id}-{number}" not in appended_entries
    duplicated = sum(count - 1 for count in applied_counts.values())
    return Outcome(
        lost,
        duplicated,
        sum(load.unknown_count for load in loads),
        max(load.max_waiting_bytes for load in loads),
        max(load.max_pending_bytes for load in loads),
        control_s,
        accounts_s,
        memory_mb,
        rights_kept and not cluster.breaches,
    )


def run(seed: int) -> result.Result:
    """Measure an outage of each length.

    Args:
        seed: Seed of the load.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    bounds: dict[str, bool] = {}
    for length_s in OUTAGE_LENGTHS_S:
        cluster = cluster_builders.make_cluster(
            seed=seed, resources=4, data_centres=DATA_CENTRES
        )
        outcome = virtual_time.run(_outage(cluster, seed, length_s), loop=cluster.loop)
        name = f"{length_s:.0f} s"
        figures[f"{name}: lost, twice, unknown to callers"] = (
            f"{outcome.lost}, {outcome.duplicated}, {outcome.unknown_count}"
        )
        figures[f"{name}: backlog of control, accounts (s)"] = (
            f"{outcome.control_s:.2f}, {outcome.accounts_s:.2f}"
        )
        figures[f"{name}: most bytes pending, entries waiting, per instance"] = (
            f"{outcome.pending_bytes}, {outcome.waiting_bytes}"
        )
        figures[f"{name}: growth of the whole process (MB)"] = round(
            outcome.memory_mb, 1
        )
        max_backlog_s = max(outcome.control_s, outcome.accounts_s)
        bounds[f"{name}: 0 lost, 0 twice"] = outcome.lost == outcome.duplicated == 0
        bounds[f"{name}: rights kept all the time"] = outcome.rights_kept
        bounds[f"{name}: memory bounded"] = (
            outcome.pending_bytes <= MAX_PENDING_BYTES
            and outcome.waiting_bytes <= MAX_WAITING_BYTES
        )
        bounds[f"{name}: backlog cleared in a tenth"] = max_backlog_s <= length_s / 10
    return result.Result("outage", seed, figures, bounds)
