"""Plays the events of the demonstration under load.

A data centre is taken out and brought back, an entry instance is killed,
another one is stopped, and a backend server leaves.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from demo import cluster, desk_load, http_client, operations, plan, results
from standins import processes

ENTRY_COUNT = 4
# Times of the events, in seconds after the start of load.
DATA_CENTRE_OUT_AT_S = 5.0
KILL_AT_S = 8.0
DATA_CENTRE_BACK_AT_S = 14.0
STOP_AT_S = 17.0
LEAVE_AT_S = 20.0
REPLACE_AFTER_S = 0.5
STOP_TIMEOUT_S = 15.0  # For the planned stop of an entry instance.
POLL_INTERVAL_S = 0.5
PROCESS_STOP_TIMEOUT_S = 5.0  # For all processes at the end.


class Scenario:
    """One run of the demonstration.

    Args:
        plan: Deployment, jobs and callers.
        cluster: Processes of the deployment.
        client: Sends HTTP calls.
        seed: Seed of the load.
        print_progress: Prints one line of progress.
    """

    def __init__(
        self,
        *,
        plan: plan.Plan,
        cluster: cluster.Cluster,
        client: http_client.HttpClient,
        seed: int,
        print_progress: Callable[[str], None],
    ) -> None:
        self._plan = plan
        self._cluster = cluster
        self._client = client
        self._print_progress = print_progress
        self._load_generator = desk_load.LoadGenerator(
            plan=plan, cluster=cluster, client=client, seed=seed
        )
        self._stopped_entry = ""
        self._planned_stop_status: int | None = None

    async def run(self) -> results.Results:
        """Start all processes, play the events and count the results."""
        entries = await self._start()
        async with _background(self._cluster.poll_readiness()):
            self._print_progress(
                f"{len(entries)} entry instances are ready; load begins"
            )
            events = asyncio.gather(*self._play_events(entries))
            await self._load_generator.run(plan.LOAD_DURATION_S, plan.REQUESTS_PER_S)
            await events
            await self._wait_for_tasks()
            resolved = await self._load_generator.resolve_unknown_outcomes()
            self._print_progress(
                f"{resolved} outcomes resolved by request id afterwards"
            )
            return results.evaluate(
                self._load_generator.sent, self._plan.jobs, await self._observe()
            )

    async def _start(self) -> list[cluster.Entry]:
        await self._cluster.start_stand_ins()
        await self._cluster.seed_settings()
        self._print_progress("settings are on the log")
        data_centres = self._plan.layout.data_centres
        entries = [
            await self._cluster.start_entry(data_centres[number % len(data_centres)])
            for number in range(ENTRY_COUNT)
        ]
        await self._cluster.wait_ready(entries)
        return entries

    def _play_events(self, entries: list[cluster.Entry]) -> list[Awaitable[None]]:
        keys = list(self._plan.key_by_caller.values())
        events = [
            self._play_at(
                job.submit_at_s,
                f"submit {job.name}",
                operations.submit_job(
                    self._cluster, self._client, job, key=keys[number % len(keys)]
                ),
            )
            for number, job in enumerate(self._plan.jobs)
        ]
        name = self._plan.data_centre_out
        for at_s, state in (
            (DATA_CENTRE_OUT_AT_S, "out"),
            (DATA_CENTRE_BACK_AT_S, "in"),
        ):
            state_change = operations.set_data_centre(
                self._cluster, self._client, name, state=state
            )
            events.append(
                self._play_at(at_s, f"data centre {name} {state}", state_change)
            )
        entry_to_kill, entry_to_stop = entries[0], entries[-1]
        return [
            *events,
            self._play_at(
                KILL_AT_S, f"kill {entry_to_kill.id}", self._kill_entry(entry_to_kill)
            ),
            self._play_at(
                STOP_AT_S, f"stop {entry_to_stop.id}", self._stop_entry(entry_to_stop)
            ),
            self._play_at(
                LEAVE_AT_S, "one backend server leaves", self._remove_backend()
            ),
        ]

    async def _play_at(
        self, at_s: float, description: str, event: Awaitable[None]
    ) -> None:
        await asyncio.sleep(at_s)
        self._print_progress(description)
        await event

    async def _kill_entry(self, entry: cluster.Entry) -> None:
        entry.process.kill()
        await asyncio.sleep(REPLACE_AFTER_S)
        await self._replace_entry(entry)

    async def _stop_entry(self, entry: cluster.Entry) -> None:
        self._stopped_entry = entry.id
        entry.process.terminate()
        await self._cluster.publish_entry_state(entry, "leaving")
        replaced = asyncio.create_task(self._replace_entry(entry, keep_serving=True))
        self._planned_stop_status = await entry.process.wait_for_exit(
            timeout_s=STOP_TIMEOUT_S
        )
        self._print_progress(
            f"{entry.id} has stopped with exit status {self._planned_stop_status}"
        )
        await replaced
        self._cluster.entry_by_id.pop(entry.id, None)
        await self._cluster.publish_entry_state(entry, "gone")

    async def _replace_entry(
        self, entry: cluster.Entry, *, keep_serving: bool = False
    ) -> None:
        """Start an entry instance that replaces another one.

        Args:
            entry: Instance to replace.
            keep_serving: Whether it still receives calls.
        """
        if not keep_serving:
            self._cluster.entry_by_id.pop(entry.id, None)
            await self._cluster.publish_entry_state(entry, "gone")
        replacement = await self._cluster.start_entry(entry.data_centre)
        self._print_progress(f"{replacement.id} starts in place of {entry.id}")

    async def _remove_backend(self) -> None:
        layout = self._plan.layout
        name = f"{layout.service}-{layout.workers()[0].id}"
        url = f"{self._cluster.backend_url}/leave"
        await self._client.call("POST", url, body={"executors": [name]})

    async def _wait_for_tasks(self) -> None:
        """Wait until every task has finished or, of a watcher, runs."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + plan.SETTLE_TIMEOUT_S
        while loop.time() < deadline:
            tasks = await self._read_platform("/tasks")
            unfinished = sum(results.lost_tasks(job, tasks) for job in self._plan.jobs)
            # The settings tree may configure longer jobs of its own.
            job_ids = {job.id for job in self._plan.jobs}
            running = sum(
                bool(task["active"]) and not task["watcher"] and task["job"] in job_ids
                for task in tasks.values()
            )
            if not unfinished and not running:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._print_progress(
            f"time limit: {running} tasks still run, {unfinished} do not run"
        )

    async def _observe(self) -> results.Observations:
        backend_url = self._cluster.backend_url
        return results.Observations(
            breaches=await self._read_platform("/breaches"),
            totals=await self._read_platform("/totals"),
            tasks=await self._read_platform("/tasks"),
            stats=(await self._client.call("GET", f"{backend_url}/stats")).json(),
            runs=(await self._client.call("GET", f"{backend_url}/runs")).json(),
            accounts={
                caller: await operations.read_account(
                    self._cluster, self._client, key=key
                )
                for caller, key in self._plan.key_by_caller.items()
            },
            stopped_entry=self._stopped_entry,
            planned_stop_status=self._planned_stop_status,
        )

    async def _read_platform(self, path: str) -> dict:
        url = f"{self._cluster.platform_url}{path}"
        return (await self._client.call("GET", url)).json()


@contextlib.asynccontextmanager
async def _background(background_work: Awaitable[None]) -> AsyncIterator[None]:
    task = asyncio.ensure_future(background_work)
    try:
        yield
    finally:
        task.cancel()


async def run(
    deployment: str, *, seed: int, print_progress: Callable[[str], None]
) -> results.Results:
    """Run the demonstration of one deployment and end all its processes.

    Args:
        deployment: Key of ``layouts.layout_by_name``.
        seed: Seed of the load and the stand-ins.
        print_progress: Prints one line of progress.
    """
    chosen_plan = plan.make(deployment)
    client = http_client.HttpClient()
    try:
        with processes.process_group(
            cluster.DIRECTORY, stop_timeout_s=PROCESS_STOP_TIMEOUT_S
        ) as group:
            started_cluster = cluster.Cluster(
                plan=chosen_plan, group=group, client=client, seed=seed
            )
            scenario = Scenario(
                plan=chosen_plan,
                cluster=started_cluster,
                client=client,
                seed=seed,
                print_progress=print_progress,
            )
            return await scenario.run()
    finally:
        client.close()
