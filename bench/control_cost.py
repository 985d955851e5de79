"""Measures the control cost of one entry instance without load.

The instance holds all rights of the deployment.
"""

import asyncio
import json
import os
import pathlib
import re
import time

from bench import result
from demo import cluster, http_client, operations, plan
from standins import processes

SIZE_FACTORS = (1, 10, 100)
WORKERS = 24
TASKS = 100
CALLERS = 20
WARM_UP_S = 12.0
WINDOW_S = 15.0
# Size of the request line, status line and headers of one call, as tornado and
# curl send them; the counters hold paths and bodies only.
HEADER_BYTES = 400
TASKS_PER_JOB = 5000
MAX_CORE_SHARE = 0.044
MAX_MEMORY_MB = 128
MAX_BYTES_PER_S = 6000


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


async def platform_bytes(client: http_client.HttpClient, url: str) -> float:
    """Return the bytes that an instance has exchanged with the platform."""
    text = (await client.call("GET", f"{url}/metrics", timeout_s=20)).body.decode()

    def gauge(name: str) -> float:
        return float(re.search(rf"^limpetstream_{name} (\S+)", text, re.M)[1])

    return gauge("platform_bytes") + HEADER_BYTES * gauge("platform_calls")


async def add_workers(
    deployment: cluster.Cluster, client: http_client.HttpClient, size: int
) -> None:
    """Add workers and executors to the platform's instance list.

    Afterwards it lists ``size`` times as many workers as the deployment.
    """
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
    await client.call("POST", f"{deployment.platform_url}/instances", body=body)


async def add_tasks_and_callers(
    deployment: cluster.Cluster, client: http_client.HttpClient, size: int
) -> None:
    """Submit long tasks, and add callers as further nodes of the settings."""
    changes = [
        {"path": f"/callers/added-{number}", "kind": "caller", "set": {}}
        for number in range(CALLERS * (size - 1))
    ]
    if changes:
        edit = {"changes": changes, "reason": "bench"}
        url = f"{deployment.next_entry().url}/admin/v1/edits"
        key = plan.OPERATOR_KEY
        reply = await client.call("POST", url, key=key, body=edit, timeout_s=30)
        assert reply.status == 200, reply.body[:500]
    remaining_tasks = TASKS * size
    while remaining_tasks:
        chosen = plan.Job(
            "long",
            "long",
            submit_at_s=0,
            tasks=min(remaining_tasks, TASKS_PER_JOB),
            cores=0.1,
            memory_gb=0.25,
            run_s=3600,
        )
        await operations.submit_job(
            deployment, client, chosen, key="demo-caller-key-planner"
        )
        remaining_tasks -= chosen.tasks


async def measure(size: int, seed: int) -> dict[str, float]:
    """Return the control cost at a multiple of the deployment's size."""
    chosen = plan.make("brightwater")
    client = http_client.HttpClient()
    directory = f"build/control/{size}"
    try:
        with processes.process_group(directory, stop_timeout_s=3.0) as group:
            deployment = cluster.Cluster(
                plan=chosen, group=group, client=client, seed=seed, directory=directory
            )
            await deployment.start_stand_ins()
            await add_workers(deployment, client, size)
            await deployment.seed_settings()
            entry = await deployment.start_entry("gl-erie")
            await deployment.wait_ready([entry])
            await asyncio.sleep(4.0)
            await add_tasks_and_callers(deployment, client, size)
            await asyncio.sleep(WARM_UP_S)
            pid = entry.process.popen.pid
            before = (
                cpu_s(pid),
                await platform_bytes(client, entry.url),
                time.monotonic(),
            )
            await asyncio.sleep(WINDOW_S)
            after = (
                cpu_s(pid),
                await platform_bytes(client, entry.url),
                time.monotonic(),
            )
            window = after[2] - before[2]
            totals = await client.call("GET", f"{deployment.platform_url}/totals")
            return {
                "core_share": round((after[0] - before[0]) / window, 4),
                "resident_mb": round(resident_mb(pid), 1),
                "bytes_per_s": round((after[1] - before[1]) / window),
                "starts": json.loads(totals.body).get("started", 0),
            }
    finally:
        client.close()


def run(seed: int) -> result.Result:
    """Measure three sizes, and the slopes between the first and the last."""
    by_size = {size: asyncio.run(measure(size, seed)) for size in SIZE_FACTORS}
    figures: dict[str, object] = {
        f"{size}x: {WORKERS * size} workers, {TASKS * size} tasks": cost
        for size, cost in by_size.items()
    }
    for name in ("core_share", "resident_mb", "bytes_per_s"):
        increase = by_size[SIZE_FACTORS[-1]][name] - by_size[1][name]
        figures[f"slope of {name} per 100 workers and 417 tasks"] = round(
            increase / (WORKERS * (SIZE_FACTORS[-1] - 1) / 100), 5
        )
    bounds = {}
    for size, cost in by_size.items():
        bounds[f"{size}x: at most 4.4% of a core"] = (
            cost["core_share"] <= MAX_CORE_SHARE
        )
        bounds[f"{size}x: at most 128 MB"] = cost["resident_mb"] <= MAX_MEMORY_MB
        bounds[f"{size}x: at most 6 KB/s"] = cost["bytes_per_s"] <= MAX_BYTES_PER_S
    return result.Result("control_cost", seed, figures, bounds)
