"""Measures the time until a new instance serves, and the cost of its start."""

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

MAX_REQUEST_S = 2.0
MAX_RECOVERY_S = 5.0
INSTANCES = 7
# Brightwater today: 24 executors in groups and 4 data centres of workers.
RESOURCES = 10
DATA_CENTRES = ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario")
# Live tasks, intents and settings of today: 48 services and watchers, weekly
# planning, and the intents of a day at one every 15 s.
ROWS_TODAY = 8_000
FACTORS = (1, 10, 100)
TAIL_FRAMES = 2_000
SNAPSHOTS = 4
# A record of the bench is about as large as the state of a task.
ROW_TEXT = "x" * 180


@dataclasses.dataclass(slots=True)
class Cost:
    """Real time that a snapshot and a start from it take.

    Args:
        pages: Pages of the snapshot.
        block_s: Seconds for which the dump blocks the event loop.
        dump_s: Seconds to write the snapshot.
        load_s: Seconds to load the snapshot.
        tail_s: Seconds to apply the records after the snapshot.
    """

    pages: int
    block_s: float
    dump_s: float
    load_s: float
    tail_s: float

    @property
    def total_s(self) -> float:
        """Seconds from the start until the view is complete."""
        return self.load_s + self.tail_s


@dataclasses.dataclass(slots=True)
class Table:
    """State whose size does not depend on the number of writes."""

    text_by_row: dict[int, str] = dataclasses.field(default_factory=dict)

    def register(self, target: Any) -> None:
        """Register the state for snapshots."""
        target.register_state("table", self.dump, self.load)

    def dump(self) -> Any:
        """Return all rows."""
        return self.text_by_row.items()

    def load(self, objects: Any) -> None:
        """Replace all rows."""
        self.text_by_row = {row: text for row, text in objects}


def _make_node(log: builders.MemoryLog, name: str) -> tuple[builders.Node, Table]:
    node = builders.make_node(log, name)
    table = Table()
    table.register(node.view)

    def apply(entry: Any) -> None:
        row, _, text = entry.body.text.partition("|")
        table.text_by_row[int(row)] = text

    node.view.register_applier("note", apply)
    node.client.delay_s = 0.0
    return node, table


def _record_line(sequence: int, row: int) -> str:
    note = builders.Note(f"{row}|{ROW_TEXT}")
    return codec.encode(codec.Envelope("note", 1, "w1", sequence, note))


def _snapshot_writer(node: builders.Node) -> writer.SnapshotWriter:
    stream = committer.StreamWriter(
        node.client, messages.STREAM, node.clock, node.client.random, node.budget
    )
    return writer.SnapshotWriter(
        stream, node.view, members.Members(), "w1", node.clock, 600.0, lambda: -1
    )


async def _measure_start(row_count: int, write_count: int) -> Cost:
    """Measure a start with a state of ``row_count`` rows.

    Args:
        row_count: Rows of the state.
        write_count: Records written to the stream before the last snapshot.
    """
    log = builders.MemoryLog()
    source, table = _make_node(log, "source")
    table.text_by_row = {row: ROW_TEXT for row in range(row_count)}
    sequence = 0
    # The stream holds several earlier snapshots, as it does in production.
    for _ in range(SNAPSHOTS):
        for _ in range(write_count // SNAPSHOTS):
            sequence += 1
            log.append_now(
                builders.STREAM, [_record_line(sequence, sequence % row_count)]
            )
        while source.view.next_offset < log.end(builders.STREAM):
            await source.follower.step()
        dump_s = await _write_snapshot(source)
    for _ in range(TAIL_FRAMES):
        sequence += 1
        log.append_now(builders.STREAM, [_record_line(sequence, sequence % row_count)])
    log.expire(builders.STREAM, 1)
    reader, loaded_table = _make_node(log, "reader")
    snapshot_loader = loader.SnapshotLoader(
        reader.client, builders.STREAM, reader.view, reader.clock, random.Random(1)
    )
    started = time.perf_counter()
    await snapshot_loader.load_initial()
    loaded = time.perf_counter()
    while reader.view.next_offset < log.end(builders.STREAM):
        await reader.follower.step()
    applied = time.perf_counter()
    assert loaded_table.text_by_row.keys() == table.text_by_row.keys()
    pages = snapshot_loader.catalogue.complete[-1].pages
    dumped = time.perf_counter()
    pages_module.checksum(
        list(pages_module.split_into_pages(pages_module.dump_lines(source.view)))
    )
    block_s = time.perf_counter() - dumped
    return Cost(pages, block_s, dump_s, loaded - started, applied - loaded)


async def _write_snapshot(source: builders.Node) -> float:
    """Write one snapshot; return the real seconds that this takes."""
    started = time.perf_counter()
    assert await _snapshot_writer(source).write(int(source.view.next_offset))
    return time.perf_counter() - started


def _make_cluster(seed: int) -> cluster_builders.Cluster:
    return cluster_builders.make_cluster(
        seed=seed, resources=RESOURCES, data_centres=DATA_CENTRES
    )


async def _start_all(cluster: cluster_builders.Cluster) -> None:
    for number in range(INSTANCES):
        process = cluster.start(DATA_CENTRES[number % len(DATA_CENTRES)])
        process.client.max_frames = 500


async def _wait_until_all_held(cluster: cluster_builders.Cluster) -> float:
    """Return the virtual seconds until all resources have a holder."""
    started = cluster.loop.time()
    while set(cluster.holders()) != set(cluster.resources):
        await cluster.run_for(0.02)
        assert cluster.loop.time() - started < 60
    return cluster.loop.time() - started


def _time_full_replacement(seed: int) -> float:
    """Kill all instances at once and start as many new ones.

    Returns:
        Virtual seconds until every resource has a holder.
    """
    cluster = _make_cluster(seed)

    async def main() -> float:
        await _start_all(cluster)
        await cluster.run_for(20)
        for process in cluster.alive():
            cluster.kill(process.id)
        await _start_all(cluster)
        return await _wait_until_all_held(cluster)

    return virtual_time.run(main(), loop=cluster.loop)


def _time_single_replacement(seed: int) -> float:
    """Kill an instance and start another one.

    Returns:
        Virtual seconds until it has joined and every resource has a holder.
    """
    cluster = _make_cluster(seed)

    async def main() -> float:
        await _start_all(cluster)
        await cluster.run_for(20)
        killed_id = next(iter(cluster.holders().values()))
        cluster.kill(killed_id)
        started = cluster.loop.time()
        process = cluster.start(
            cluster.by_id[killed_id].membership_agent.join.data_centre
        )
        process.client.max_frames = 500
        while not process.membership_agent.joined:
            await cluster.run_for(0.02)
        while set(cluster.holders()) != set(cluster.resources):
            await cluster.run_for(0.02)
        return cluster.loop.time() - started

    return virtual_time.run(main(), loop=cluster.loop)


def run(seed: int) -> result.Result:
    """Measure starts from snapshots, and the replacement of instances.

    Args:
        seed: Seed of the schedules.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    cost_by_factor = {}
    for factor in FACTORS:
        row_count = ROWS_TODAY * factor
        cost = virtual_time.run(_measure_start(row_count, 4_000))
        cost_by_factor[factor] = cost
        figures[f"{factor}x: rows, pages"] = f"{row_count}, {cost.pages}"
        figures[f"{factor}x: other tasks wait for the dump (s)"] = round(
            cost.block_s, 3
        )
        figures[f"{factor}x: snapshot written, read, tail folded (s)"] = (
            f"{cost.dump_s:.3f}, {cost.load_s:.3f}, {cost.tail_s:.3f}"
        )
    short_history = virtual_time.run(_measure_start(ROWS_TODAY, 4_000))
    long_history = virtual_time.run(_measure_start(ROWS_TODAY, 40_000))
    start_ratio = long_history.total_s / short_history.total_s
    figures["history 10x as long, start takes (ratio)"] = round(start_ratio, 2)
    load_ratio = cost_by_factor[100].load_s / cost_by_factor[10].load_s
    figures["state 10x as large (100x to 10x), load takes (ratio)"] = round(
        load_ratio, 1
    )
    claim_times_s = [_time_full_replacement(seed + n) for n in range(5)]
    join_times_s = [_time_single_replacement(seed + n) for n in range(5)]
    start_s = cost_by_factor[1].total_s
    # Claims of the rights, start of an instance, and one whole request.
    worst_s = max(claim_times_s) + start_s + MAX_REQUEST_S
    figures["all replaced: rights claimed (s, virtual, 5 runs)"] = [
        round(each, 2) for each in claim_times_s
    ]
    figures["one replaced: all served (s, virtual, 5 runs)"] = [
        round(each, 2) for each in join_times_s
    ]
    figures["all replaced: serving again, worst (s)"] = round(worst_s, 2)
    bounds = {
        f"all replaced: serving again within {MAX_RECOVERY_S:.0f} s": worst_s
        < MAX_RECOVERY_S,
        "a history 10x as long costs less than 1.5x": start_ratio < 1.5,
        "a state 10x as large costs less than 20x": load_ratio < 20,
    }
    return result.Result("recovery", seed, figures, bounds)
