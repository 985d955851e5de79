"""Control cost of one entry instance that holds everything, without load."""

import asyncio
import json
import os
import pathlib
import re
import time

from bench import result
from demo import cluster, http_client, operations, plan
from standins import processes

SIZES = (1, 10, 100)
WORKERS = 24
TASKS = 100
CALLERS = 20
WARM_S = 12.0
WINDOW_S = 15.0
# Request line, status line and headers of one call, as tornado and curl send
# them; the counters hold paths and bodies only.
HEADER_BYTES = 400
TASKS_PER_JOB = 5000
CORE_SHARE = 0.044
MEMORY_MB = 128
BYTES_PER_S = 6000


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


async def traffic(client: http_client.HttpClient, url: str) -> float:
    """Return the bytes that the instance exchanged with the platform."""
    text = (await client.call("GET", f"{url}/metrics", timeout_s=20)).body.decode()

    def gauge(name: str) -> float:
        return float(re.search(rf"^limpetstream_{name} (\S+)", text, re.M)[1])

    return gauge("platform_bytes") + HEADER_BYTES * gauge("platform_calls")


async def grow(
    made: cluster.Cluster, client: http_client.HttpClient, size: int
) -> None:
    """Add workers and executors to the platform's list."""
    added = []
    names = ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario")
    for number in range(WORKERS * (size - 1)):
        name, worker = names[number % 4], f"added-w{number}"
        added.append(
            {
                "id": worker,
                "role": "worker",
                "data_centre": name,
                "rack": f"{name}-r{number // 24}",
                "cores": 64,
                "memory_gb": 250,
            }
        )
        added.append(
            {
                "id": f"added-x{number}",
                "role": "backend",
                "address": "127.0.0.1:1",
                "data_centre": name,
                "service": "recover-desk",
                "worker": worker,
            }
        )
    body = {"instances": added}
    await client.call("POST", f"{made.platform_url}/instances", body=body)


async def fill(
    made: cluster.Cluster, client: http_client.HttpClient, size: int
) -> None:
    """Submit long tasks, and callers as further nodes of the settings."""
    changes = [
        {"path": f"/callers/added-{number}", "kind": "caller", "set": {}}
        for number in range(CALLERS * (size - 1))
    ]
    if changes:
        edit = {"changes": changes, "reason": "bench"}
        url = f"{made.next_entry().url}/admin/v1/edits"
        key = plan.OPERATOR_KEY
        reply = await client.call("POST", url, key=key, body=edit, timeout_s=30)
        assert reply.status == 200, reply.body[:500]
    left = TASKS * size
    while left:
        chosen = plan.Job(
            "long",
            "long",
            submit_at_s=0,
            tasks=min(left, TASKS_PER_JOB),
            cores=0.1,
            memory_gb=0.25,
            run_s=3600,
        )
        await operations.submit_job(made, client, chosen, key="demo-caller-key-planner")
        left -= chosen.tasks


async def measure(size: int, seed: int) -> dict[str, float]:
    """Return the cost at one size."""
    chosen = plan.make("brightwater")
    client = http_client.HttpClient()
    directory = f"build/control/{size}"
    try:
        with processes.process_group(directory, stop_timeout_s=3.0) as group:
            made = cluster.Cluster(
                plan=chosen, group=group, client=client, seed=seed, directory=directory
            )
            await made.start_stand_ins()
            await grow(made, client, size)
            await made.seed_settings()
            entry = await made.start_entry("gl-erie")
            await made.wait_ready([entry])
            await asyncio.sleep(4.0)
            await fill(made, client, size)
            await asyncio.sleep(WARM_S)
            pid = entry.process.popen.pid
            before = cpu_s(pid), await traffic(client, entry.url), time.monotonic()
            await asyncio.sleep(WINDOW_S)
            after = cpu_s(pid), await traffic(client, entry.url), time.monotonic()
            window = after[2] - before[2]
            totals = await client.call("GET", f"{made.platform_url}/totals")
            return {
                "core_share": round((after[0] - before[0]) / window, 4),
                "resident_mb": round(resident_mb(pid), 1),
                "bytes_per_s": round((after[1] - before[1]) / window),
                "starts": json.loads(totals.body).get("started", 0),
            }
    finally:
        client.close()


def run(seed: int) -> result.Result:
    """Measure three sizes and their slopes."""
    by_size = {size: asyncio.run(measure(size, seed)) for size in SIZES}
    figures: dict[str, object] = {
        f"{size}x: {WORKERS * size} workers, {TASKS * size} tasks": found
        for size, found in by_size.items()
    }
    for name in ("core_share", "resident_mb", "bytes_per_s"):
        rise = by_size[SIZES[-1]][name] - by_size[1][name]
        figures[f"slope of {name} per 100 workers and 417 tasks"] = round(
            rise / (WORKERS * (SIZES[-1] - 1) / 100), 5
        )
    bounds = {}
    for size, found in by_size.items():
        bounds[f"{size}x: at most 4.4% of a core"] = found["core_share"] <= CORE_SHARE
        bounds[f"{size}x: at most 128 MB"] = found["resident_mb"] <= MEMORY_MB
        bounds[f"{size}x: at most 6 KB/s"] = found["bytes_per_s"] <= BYTES_PER_S
    return result.Result("control_cost", seed, figures, bounds)
