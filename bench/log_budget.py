"""Measures the load on the log, today and at the target size."""

import asyncio
import dataclasses
import random

import loguru
import msgspec

from bench import result
from limpetstream.membership.tests import builders as cluster_builders
from limpetstream.records import budget, codec
from limpetstream.records.tests import builders
from standins import virtual_time

MAX_APPENDS_PER_S = 150.0
MAX_NODE_BYTES_PER_S = 6_000.0
INSTANCES = 7
DATA_CENTRES = ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario")
SETTLE_S = 15
MEASURED_S = 30
# Target of section 1.3; the system spans 7 regions.
REGIONS = 7
TARGET_DATA_CENTRES = 25
TARGET_STARTS_PER_S = 1_700
TARGET_JOBS_PER_DAY = 37_000
TARGET_EDITS_PER_DAY = 1_300
TARGET_NODES = 2_300
# At the peak, batch starts come in bursts; the mean follows from the jobs.
TASKS_PER_JOB = 20
DAY_S = 86_400
LOAD_SIZES = (50, 100, 200, 400)
RESOURCE_SIZES = (10, 20, 40)


@dataclasses.dataclass(slots=True)
class Rate:
    """Load on the log.

    Args:
        appends: Appends per second of all instances together.
        written: Bytes per second written to the log.
    """

    appends: float
    written: float


@dataclasses.dataclass(slots=True)
class Placement:
    """Body of the size of a ``task.place`` record for one task."""

    task: str
    attempt: int
    worker: str


def _measure_membership(seed: int, resources: int) -> tuple[Rate, float]:
    """Measure renewals and messages between members without load.

    Returns:
        Load on the log, and bytes of messages per second and instance.
    """
    cluster = cluster_builders.make_cluster(
        seed=seed, resources=resources, data_centres=DATA_CENTRES
    )

    async def main() -> tuple[Rate, float]:
        for number in range(INSTANCES):
            process = cluster.start(DATA_CENTRES[number % len(DATA_CENTRES)], act=False)
            process.client.max_frames = 500
        await cluster.run_for(SETTLE_S, step_s=0.1)
        log = cluster.log
        appends, written = log.appends, log.bytes_by_stream[builders.STREAM]
        message_bytes = cluster.message_bytes
        await cluster.run_for(MEASURED_S, step_s=0.1)
        rate = Rate(
            (log.appends - appends) / MEASURED_S,
            (log.bytes_by_stream[builders.STREAM] - written) / MEASURED_S,
        )
        return rate, (cluster.message_bytes - message_bytes) / MEASURED_S / INSTANCES

    return virtual_time.run(main(), loop=cluster.loop)


def _measure_load(seed: int, per_second: int) -> Rate:
    """Measure one instance that records placements at a given rate."""

    async def main() -> Rate:
        log = builders.MemoryLog()
        node = builders.make_node(log, "e1")
        node.view.registry.register("task.place", 1, Placement)
        node.view.register_applier("task.place", lambda entry: None)
        tasks = node.start()
        rng = random.Random(seed)
        for number in range(per_second * 10):
            body = Placement(f"job-{number // 20}/task-{number % 20}", 1, f"w-{number}")
            tasks.append(
                asyncio.ensure_future(node.committer.append("task.place", body))
            )
            await node.clock.sleep(rng.expovariate(per_second))
        elapsed_s = node.clock.monotonic()
        written = log.bytes_by_stream[builders.STREAM]
        return Rate(log.appends / elapsed_s, written / elapsed_s)

    return virtual_time.run(main())


def _fit_line(sizes: tuple[int, ...], values: list[float]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line."""
    mean_x, mean_y = sum(sizes) / len(sizes), sum(values) / len(values)
    square = sum((x - mean_x) ** 2 for x in sizes)
    product = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    slope = product / square
    return mean_y - slope * mean_x, slope


def _bytes_per_packed_placement(placements: int) -> float:
    """Return the bytes per placement if one record holds many."""
    placement_bodies = [
        msgspec.to_builtins(Placement(f"job-{n // 20}/task-{n % 20}", 1, f"w-{n}"))
        for n in range(placements)
    ]
    envelope = codec.Envelope(
        "task.place", 1, "e1", 1, {"placements": placement_bodies}, "w/a", 9
    )
    return len(codec.encode(envelope)) / placements


def _extrapolate_rights(
    seed: int, figures: dict[str, object]
) -> tuple[float, float, float]:
    """Extrapolate the cost of rights to the target number of resources.

    Returns:
        Appends per second today, bytes per second at the target, and bytes of
        messages per second and instance.
    """
    rates, messages = [], []
    for resources in RESOURCE_SIZES:
        rate, message_bytes = _measure_membership(seed, resources)
        rates.append(rate)
        messages.append(message_bytes)
        figures[f"rights, {resources} resources: appends/s, B/s written"] = (
            f"{rate.appends:.1f}, {rate.written:.0f}"
        )
    intercept, slope = _fit_line(RESOURCE_SIZES, [rate.written for rate in rates])
    # Two resources per data centre of a region as today: groups and workers.
    target = 10 * TARGET_DATA_CENTRES / REGIONS / len(DATA_CENTRES)
    figures["rights, B/s per resource (slope)"] = round(slope, 1)
    figures["messages between members, B/s per instance"] = round(messages[0])
    return rates[0].appends, intercept + slope * target, messages[0]


def _measure_starts(seed: int, figures: dict[str, object]) -> tuple[float, float]:
    """Measure one instance under increasing load.

    Returns:
        The most appends per second, and the bytes per placement if one record
        holds 20.
    """
    rates = []
    for size in LOAD_SIZES:
        rate = _measure_load(seed, size)
        rates.append(rate)
        figures[f"load, {size} records/s at one instance: appends/s, B/s"] = (
            f"{rate.appends:.1f}, {rate.written:.0f}"
        )
    _, bytes_alone = _fit_line(LOAD_SIZES, [rate.written for rate in rates])
    bytes_packed = _bytes_per_packed_placement(20)
    figures["bytes per placement, alone in its record"] = round(bytes_alone, 1)
    figures["bytes per placement, 20 in one record"] = round(bytes_packed, 1)
    return max(rate.appends for rate in rates), bytes_packed


def run(seed: int) -> result.Result:
    """Measure the log budget.

    Args:
        seed: Seed of the schedules.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    rights_appends, rights_bytes, message_bytes = _extrapolate_rights(seed, figures)
    today, _ = _measure_membership(seed, RESOURCE_SIZES[0])
    max_appends_per_instance, bytes_packed = _measure_starts(seed, figures)
    append_limit = INSTANCES / budget.TICK_S
    # Each start has a record of its placement and one of its end.
    mean_starts = TARGET_JOBS_PER_DAY * TASKS_PER_JOB / DAY_S / REGIONS
    peak_starts = TARGET_STARTS_PER_S / REGIONS
    edit_bytes = TARGET_EDITS_PER_DAY / DAY_S * 600
    idle_bytes = rights_bytes + edit_bytes + message_bytes
    mean_bytes = idle_bytes + 2 * bytes_packed * mean_starts
    peak_bytes = idle_bytes + 2 * bytes_packed * peak_starts
    today_bytes = today.written + message_bytes
    bytes_per_node = peak_bytes * INSTANCES / (TARGET_NODES / REGIONS)
    figures["today: appends/s without load"] = round(rights_appends, 1)
    figures["most appends/s of all instances under any load"] = round(
        INSTANCES * max_appends_per_instance, 1
    )
    figures["today: control B/s at an entry instance, no load"] = round(today_bytes)
    figures["target, per region: control B/s at an entry instance, mean"] = round(
        mean_bytes
    )
    figures["target, per region: control B/s at an entry instance, peak"] = round(
        peak_bytes
    )
    figures["target: control B/s over all nodes of a region, peak"] = round(
        bytes_per_node
    )
    max_bytes = MAX_NODE_BYTES_PER_S
    bounds = {
        f"{INSTANCES} instances append less than {MAX_APPENDS_PER_S:.0f}/s": (
            append_limit < MAX_APPENDS_PER_S
            and INSTANCES * max_appends_per_instance < MAX_APPENDS_PER_S
        ),
        "today: control under 6 KB/s at an entry instance": today_bytes < max_bytes,
        "target, mean: control under 6 KB/s at an entry instance": mean_bytes
        < max_bytes,
        "target, peak: control under 6 KB/s at an entry instance": peak_bytes
        < max_bytes,
        "target, peak: control under 6 KB/s per node of a region": bytes_per_node
        < max_bytes,
    }
    return result.Result("log_budget", seed, figures, bounds)
