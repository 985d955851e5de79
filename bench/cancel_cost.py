"""Measures what cancels of jobs that are not stored cost.

Each is in the journal before it is answered. One instance owns the shard and
another one is asked, on virtual time with a store that answers after 4 ms.
"""

import asyncio
import random
import statistics

import loguru

from bench import result
from limpetstream.shard import names
from standins import shard_cluster, virtual_time

RATES_PER_S = (0, 5, 30)  # The last is about what the bound allows.
SECONDS = 20
# An answer waits for one append, which groups all that came meanwhile.
MAX_MEDIAN_MS = 50.0


def run(seed: int) -> result.Result:
    """Measure at several rates of cancels.

    Args:
        seed: Seed of the ids and of the times.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    for rate in RATES_PER_S:
        loop = virtual_time.Loop()
        asyncio.set_event_loop(loop)
        random.seed(seed)
        measured = virtual_time.run(_measure(loop, seed, rate), loop=loop)
        figures |= {f"{rate}/s: {name}": value for name, value in measured.items()}
    median_ms = figures[f"{RATES_PER_S[-1]}/s: answer, median, ms"]
    bounds = {f"median answer under {MAX_MEDIAN_MS:g} ms": median_ms < MAX_MEDIAN_MS}
    return result.Result("cancel_cost", seed, figures, bounds)


async def _measure(
    loop: virtual_time.Loop, seed: int, rate: int
) -> dict[str, float | int]:
    cluster = shard_cluster.ShardCluster(loop, seed=seed)
    for member in ("m0", "m1"):
        cluster.start(member)
    await asyncio.sleep(5)
    owner = cluster.owner_member()
    other = next(each for each in cluster.instance_by_member if each != owner)
    journal = shard_cluster.shard_zero(cluster.instance_by_member[owner]).journal
    appends, written = journal.append_count, journal.appended_bytes
    took_ms: list[float] = []

    async def cancel(job_id: str) -> None:
        sent_at = loop.time()
        api = cluster.instance_by_member[other].job_api
        assert not await api.cancel(job_id, wait_s=3.0)
        took_ms.append(1000 * (loop.time() - sent_at))

    async with asyncio.TaskGroup() as calls:
        for number in range(rate * SECONDS):
            calls.create_task(cancel(f"{number:016x}"))
            await asyncio.sleep(cluster.random.expovariate(rate))
    await asyncio.sleep(0 if rate else SECONDS)
    measured = {
        "appends a second": round((journal.append_count - appends) / SECONDS, 2),
        "bytes a second": round((journal.appended_bytes - written) / SECONDS, 1),
        "cancels in the journal": _count_cancels(cluster),
    }
    if took_ms:
        measured["answer, median, ms"] = round(statistics.median(took_ms), 1)
        measured["answer, longest, ms"] = round(max(took_ms), 1)
    for member in list(cluster.instance_by_member):
        await cluster.kill(member)
    return measured


def _count_cancels(cluster: shard_cluster.ShardCluster) -> int:
    newest = cluster.store.newest(names.PROGRESS_TOPIC, 0)
    return sum(not key.startswith("!") for key in newest)
