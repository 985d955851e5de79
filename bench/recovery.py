"""Time until a new instance serves again, and what its start costs."""

import dataclasses
import random
import time
from typing import Any

import loguru

from bench import result
from limpetstream.membership import members
from limpetstream.membership.tests import builders as cluster_builders
from limpetstream.records import codec, committer
from limpetstream.records.tests import builders
from limpetstream.snapshots import loader, messages, pages as pages_module, writer
from standins import virtual_time

MAX_RUN_S = 2.0
BOUND_S = 5.0
INSTANCES = 7
# Brightwater today: 24 executors in groups and 4 data centres of workers.
RESOURCES = 10
DATA_CENTRES = ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario")
# Live tasks, intents and settings of today: 48 services and watchers, weekly
# planning, and the intents of a day at one every 15 s.
LIVE_TODAY = 8_000
FACTORS = (1, 10, 100)
TAIL_FRAMES = 2_000
SNAPSHOTS = 4
# Records of the bench have about the size of a task's state.
TEXT = "x" * 180


@dataclasses.dataclass(slots=True)
class Cost:
    """Real time of one start from a snapshot."""

    pages: int
    block_s: float
    dump_s: float
    load_s: float
    tail_s: float

    @property
    def total_s(self) -> float:
        """Seconds until the view is complete."""
        return self.load_s + self.tail_s


@dataclasses.dataclass(slots=True)
class Table:
    """State that stays at one size whatever the length of its history."""

    text_by_row: dict[int, str] = dataclasses.field(default_factory=dict)

    def register(self, target: Any) -> None:
        """Register the state and its applier."""
        target.register_state("table", self.dump, self.load)

    def dump(self) -> Any:
        """Return all rows."""
        return self.text_by_row.items()

    def load(self, objects: Any) -> None:
        """Replace all rows."""
        self.text_by_row = {slot: text for slot, text in objects}


def _node(log: builders.MemoryLog, name: str) -> tuple[builders.Node, Table]:
    node = builders.make_node(log, name)
    table = Table()
    table.register(node.view)

    def apply(entry: Any) -> None:
        slot, _, text = entry.body.text.partition("|")
        table.text_by_row[int(slot)] = text

    node.view.register_applier("note", apply)
    node.client.delay_s = 0.0
    return node, table


def _line(sequence: int, slot: int) -> str:
    note = builders.Note(f"{slot}|{TEXT}")
    return codec.encode(codec.Envelope("note", 1, "w1", sequence, note))


def _writer(node: builders.Node) -> writer.SnapshotWriter:
    stream = committer.StreamWriter(
        node.client, messages.STREAM, node.clock, node.client.random, node.budget
    )
    return writer.SnapshotWriter(
        stream, node.view, members.Members(), "w1", node.clock, 600.0, lambda: -1
    )


async def _cost(live: int, history: int) -> Cost:
    """Measure a start with a number of live rows after ``history`` writes."""
    log = builders.MemoryLog()
    source, table = _node(log, "source")
    table.text_by_row = {slot: TEXT for slot in range(live)}
    sequence = 0
    # Some snapshots stand on the stream already, as they do in service.
    for _ in range(SNAPSHOTS):
        for _ in range(history // SNAPSHOTS):
            sequence += 1
            log.append_now(builders.STREAM, [_line(sequence, sequence % live)])
        while source.view.next_offset < log.end(builders.STREAM):
            await source.follower.step()
        dump_s = await _write(source)
    for _ in range(TAIL_FRAMES):
        sequence += 1
        log.append_now(builders.STREAM, [_line(sequence, sequence % live)])
    log.expire(builders.STREAM, 1)
    reader, copy = _node(log, "reader")
    found = loader.SnapshotLoader(
        reader.client, builders.STREAM, reader.view, reader.clock, random.Random(1)
    )
    started = time.perf_counter()
    await found.load_initial()
    loaded = time.perf_counter()
    while reader.view.next_offset < log.end(builders.STREAM):
        await reader.follower.step()
    done = time.perf_counter()
    assert copy.text_by_row.keys() == table.text_by_row.keys()
    pages = found.catalogue.complete[-1].pages
    dumped = time.perf_counter()
    pages_module.checksum(
        list(pages_module.split_into_pages(pages_module.dump_lines(source.view)))
    )
    block_s = time.perf_counter() - dumped
    return Cost(pages, block_s, dump_s, loaded - started, done - loaded)


async def _write(source: builders.Node) -> float:
    """Write one snapshot; return the real seconds of its dump and pages."""
    started = time.perf_counter()
    assert await _writer(source).write(int(source.view.next_offset))
    return time.perf_counter() - started


def _cluster(seed: int) -> cluster_builders.Cluster:
    return cluster_builders.make_cluster(
        seed=seed, resources=RESOURCES, data_centres=DATA_CENTRES
    )


async def _start_all(cluster: cluster_builders.Cluster) -> None:
    for number in range(INSTANCES):
        process = cluster.start(DATA_CENTRES[number % len(DATA_CENTRES)])
        process.client.max_frames = 500


async def _until_served(cluster: cluster_builders.Cluster) -> float:
    """Return the virtual seconds until every resource has a holder."""
    started = cluster.loop.time()
    while set(cluster.holders()) != set(cluster.resources):
        await cluster.run_for(0.02)
        assert cluster.loop.time() - started < 60
    return cluster.loop.time() - started


def _all_replaced(seed: int) -> float:
    cluster = _cluster(seed)

    async def main() -> float:
        await _start_all(cluster)
        await cluster.run_for(20)
        for process in cluster.alive():
            cluster.kill(process.id)
        await _start_all(cluster)
        return await _until_served(cluster)

    return virtual_time.run(main(), loop=cluster.loop)


def _one_joining(seed: int) -> float:
    """Return the virtual seconds until a new instance holds its share."""
    cluster = _cluster(seed)

    async def main() -> float:
        await _start_all(cluster)
        await cluster.run_for(20)
        victim = next(iter(cluster.holders().values()))
        cluster.kill(victim)
        started = cluster.loop.time()
        process = cluster.start(cluster.by_id[victim].membership_agent.join.data_centre)
        process.client.max_frames = 500
        while not process.membership_agent.joined:
            await cluster.run_for(0.02)
        while set(cluster.holders()) != set(cluster.resources):
            await cluster.run_for(0.02)
        return cluster.loop.time() - started

    return virtual_time.run(main(), loop=cluster.loop)


def run(seed: int) -> result.Result:
    """Measure recovery.

    Args:
        seed: Seed of the schedules.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    cost_by_factor = {}
    for factor in FACTORS:
        live = LIVE_TODAY * factor
        cost = virtual_time.run(_cost(live, 4_000))
        cost_by_factor[factor] = cost
        figures[f"{factor}x: rows, pages"] = f"{live}, {cost.pages}"
        figures[f"{factor}x: other tasks wait for the dump (s)"] = round(
            cost.block_s, 3
        )
        figures[f"{factor}x: snapshot written, read, tail folded (s)"] = (
            f"{cost.dump_s:.3f}, {cost.load_s:.3f}, {cost.tail_s:.3f}"
        )
    short = virtual_time.run(_cost(LIVE_TODAY, 4_000))
    long = virtual_time.run(_cost(LIVE_TODAY, 40_000))
    ratio = long.total_s / short.total_s
    figures["history 10x as long, start takes (ratio)"] = round(ratio, 2)
    grows = cost_by_factor[100].load_s / cost_by_factor[10].load_s
    figures["state 10x as large (100x to 10x), load takes (ratio)"] = round(grows, 1)
    claimed = [_all_replaced(seed + n) for n in range(5)]
    joined = [_one_joining(seed + n) for n in range(5)]
    start_s = cost_by_factor[1].total_s
    worst = max(claimed) + start_s + MAX_RUN_S
    figures["all replaced: rights claimed (s, virtual, 5 runs)"] = [
        round(each, 2) for each in claimed
    ]
    figures["one replaced: all served (s, virtual, 5 runs)"] = [
        round(each, 2) for each in joined
    ]
    figures["all replaced: serving again, worst (s)"] = round(worst, 2)
    bounds = {
        f"all replaced: serving again within {BOUND_S:.0f} s": worst < BOUND_S,
        "a history 10x as long costs less than 1.5x": ratio < 1.5,
        "a state 10x as large costs less than 20x": grows < 20,
    }
    return result.Result("recovery", seed, figures, bounds)
