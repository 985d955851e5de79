"""Log outages with load: what is kept, lost or done twice, and the backlog."""

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

OUTAGES_S = (1.0, 60.0, 1800.0)
INSTANCES = 3
DATA_CENTRES = ("gl-erie", "gl-huron")
# Records a second per instance on control, such as intents and placements.
CONTROL_PER_S = 10
# Account entries a second per instance; none of them may be lost.
ACCOUNTS_PER_S = 20
ENTRY = "e" * 200
ACCOUNTS_BYTES = 64 * 1024 * 1024
WARM_UP_S = 5.0
# Share of the appends that take effect without an answer.
LOST_ANSWERS = 0.05
PENDING_BYTES = committer.MAX_PENDING_BYTES + committer.MAX_FRAME_BYTES


@dataclasses.dataclass(slots=True)
class LoadGenerator:
    """Load of one process, with what was confirmed to its callers.

    Account entries wait in memory until the stream has them, as the ledger
    keeps them; control records are given up at their time-out.
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
        """Append records to control at a rate."""
        tasks = set()
        while True:
            await asyncio.sleep(self.random.expovariate(CONTROL_PER_S))
            self.control_count += 1
            task = asyncio.ensure_future(
                self._one(f"{self.process.id}-{self.control_count}")
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            pending = self.process.committer.pending_bytes
            self.max_pending_bytes = max(self.max_pending_bytes, pending)

    async def _one(self, text: str) -> None:
        try:
            apply_result = await self.process.committer.append(
                "work", cluster_builders.Note(text)
            )
            assert apply_result.void_reason is None
            self.confirmed.append(text)
        except errors.LogUnavailable:
            self.unknown_count += 1

    async def receive(self) -> None:
        """Receive account entries at a rate."""
        while True:
            await asyncio.sleep(self.random.expovariate(ACCOUNTS_PER_S))
            self.entry_count += 1
            self.waiting_entries.append(f"{self.process.id}-{self.entry_count}|{ENTRY}")
            waiting = len(self.waiting_entries) * len(self.waiting_entries[0])
            self.max_waiting_bytes = max(self.max_waiting_bytes, waiting)

    async def append(self) -> None:
        """Append the waiting entries, a frame at a time."""
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
    """What one outage has shown."""

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
        process.client.lost_answer_share = LOST_ANSWERS
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
    """Run one outage and judge what came of it."""
    cluster_builders.register_work(cluster.reference)
    loads = _start(cluster, seed)
    await cluster.run_for(WARM_UP_S)
    for load in loads:
        for run in (load.control(), load.receive(), load.append()):
            cluster.spawn(load.process.id, run)
    await cluster.run_for(5)
    holders = cluster.holders()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    cluster.set_log_down(True)
    await cluster.run_for(length_s, step_s=min(0.1, length_s / 10))
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    memory_mb = (after_kb - before_kb) / 1024
    kept = cluster.holders() == holders
    received = [load.entry_count for load in loads]
    asked = [load.control_count for load in loads]
    cluster.set_log_down(False)
    control_s, accounts_s = await _cleared(cluster, loads, asked, received)
    await cluster.run_for(10)
    return _judge(cluster, loads, (control_s, accounts_s, memory_mb, kept))


async def _cleared(
    cluster: cluster_builders.Cluster,
    loads: list[LoadGenerator],
    asked: list[int],
    received: list[int],
) -> tuple[float, float]:
    """Return the seconds until control and accounts have no backlog left."""
    started = cluster.loop.time()
    control_s = accounts_s = None
    while control_s is None or accounts_s is None:
        await cluster.run_for(0.005, step_s=0.005)
        used = cluster.loop.time() - started
        done = all(
            len(load.confirmed) + load.unknown_count >= wanted
            for load, wanted in zip(loads, asked, strict=True)
        )
        if control_s is None and done:
            control_s = used
        appended = all(
            load.entry_count - len(load.waiting_entries) >= wanted
            for load, wanted in zip(loads, received, strict=True)
        )
        if accounts_s is None and appended:
            accounts_s = used
        assert used < 600
    return control_s, accounts_s


def _judge(
    cluster: cluster_builders.Cluster,
    loads: list[LoadGenerator],
    measured: tuple[float, float, float, bool],
) -> Outcome:
    control_s, accounts_s, memory_mb, kept = measured
    works = collections.Counter(cluster.reference.works)
    entries = {
        line.partition("|")[0]
        for frame in cluster.log.frames_by_stream["accounts"]
        for line in frame.records
    }
    lost = 0
    for load in loads:
        lost += sum(works[text] == 0 for text in load.confirmed)
        done = load.entry_count - len(load.waiting_entries)
        for number in range(1, done + 1):
            lost += f"{load.process.id}-{number}" not in entries
    twice = sum(count - 1 for count in works.values())
    return Outcome(
        lost,
        twice,
        sum(load.unknown_count for load in loads),
        max(load.max_waiting_bytes for load in loads),
        max(load.max_pending_bytes for load in loads),
        control_s,
        accounts_s,
        memory_mb,
        kept and not cluster.breaches,
    )


def run(seed: int) -> result.Result:
    """Measure outages.

    Args:
        seed: Seed of the load.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    bounds: dict[str, bool] = {}
    for length_s in OUTAGES_S:
        cluster = cluster_builders.make_cluster(
            seed=seed, resources=4, data_centres=DATA_CENTRES
        )
        found = virtual_time.run(_outage(cluster, seed, length_s), loop=cluster.loop)
        name = f"{length_s:.0f} s"
        figures[f"{name}: lost, twice, unknown to callers"] = (
            f"{found.lost}, {found.duplicated}, {found.unknown_count}"
        )
        figures[f"{name}: backlog of control, accounts (s)"] = (
            f"{found.control_s:.2f}, {found.accounts_s:.2f}"
        )
        figures[f"{name}: most bytes pending, entries waiting, per instance"] = (
            f"{found.pending_bytes}, {found.waiting_bytes}"
        )
        figures[f"{name}: growth of the whole process (MB)"] = round(found.memory_mb, 1)
        slowest = max(found.control_s, found.accounts_s)
        bounds[f"{name}: 0 lost, 0 twice"] = found.lost == found.duplicated == 0
        bounds[f"{name}: rights kept all the time"] = found.rights_kept
        bounds[f"{name}: memory bounded"] = (
            found.pending_bytes <= PENDING_BYTES
            and found.waiting_bytes <= ACCOUNTS_BYTES
        )
        bounds[f"{name}: backlog cleared in a tenth"] = slowest <= length_s / 10
    return result.Result("outage", seed, figures, bounds)
