"""The course of the demonstration."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from demo import cluster, desk_load, http_client, operations, plan, results
from standins import processes

ENTRIES = 4
OUT_AT_S = 5.0
KILL_AT_S = 8.0
BACK_AT_S = 14.0
STOP_AT_S = 17.0
LEAVE_AT_S = 20.0
REPLACE_AFTER_S = 0.5
STOP_TIMEOUT_S = 15.0
POLL_S = 0.5
CLOSE_S = 5.0


class Scenario:
    """One run of the demonstration.

    Args:
        plan: What is demonstrated.
        cluster: Its processes.
        client: Sends calls.
        seed: Seed of the load.
        say: Prints one line of progress.
    """

    def __init__(
        self,
        *,
        plan: plan.Plan,
        cluster: cluster.Cluster,
        client: http_client.HttpClient,
        seed: int,
        say: Callable[[str], None],
    ) -> None:
        self._plan = plan
        self._cluster = cluster
        self._client = client
        self._say = say
        self._load_generator = desk_load.LoadGenerator(
            plan=plan, cluster=cluster, client=client, seed=seed
        )
        self._stopped_entry = ""
        self._planned_stop_status: int | None = None

    async def run(self) -> results.Results:
        """Start everything, go through all events and return the counts."""
        entries = await self._start()
        async with _background(self._cluster.poll_readiness()):
            self._say(f"{len(entries)} entry instances are ready; load begins")
            events = asyncio.gather(*self._events(entries))
            await self._load_generator.run(plan.LOAD_DURATION_S, plan.REQUESTS_PER_S)
            await events
            await self._settle()
            known = await self._load_generator.resolve_unknown_outcomes()
            self._say(f"{known} outcomes learned by request id afterwards")
            return results.evaluate(
                self._load_generator.sent, self._plan.jobs, await self._seen()
            )

    async def _start(self) -> list[cluster.Entry]:
        await self._cluster.start_stand_ins()
        await self._cluster.seed_settings()
        self._say("settings are on the log")
        data_centres = self._plan.layout.data_centres
        entries = [
            await self._cluster.start_entry(data_centres[number % len(data_centres)])
            for number in range(ENTRIES)
        ]
        await self._cluster.wait_ready(entries)
        return entries

    def _events(self, entries: list[cluster.Entry]) -> list[Awaitable[None]]:
        keys = list(self._plan.key_by_caller.values())
        events = [
            self._at(
                job.submit_at_s,
                f"submit {job.name}",
                operations.submit_job(
                    self._cluster, self._client, job, key=keys[number % len(keys)]
                ),
            )
            for number, job in enumerate(self._plan.jobs)
        ]
        name = self._plan.data_centre_out
        for at_s, state in ((OUT_AT_S, "out"), (BACK_AT_S, "in")):
            change = operations.set_data_centre(
                self._cluster, self._client, name, state=state
            )
            events.append(self._at(at_s, f"data centre {name} {state}", change))
        killed, stopped = entries[0], entries[-1]
        return [
            *events,
            self._at(KILL_AT_S, f"kill {killed.id}", self._kill(killed)),
            self._at(STOP_AT_S, f"stop {stopped.id}", self._stop(stopped)),
            self._at(LEAVE_AT_S, "one backend server leaves", self._leave()),
        ]

    async def _at(self, at_s: float, what: str, event: Awaitable[None]) -> None:
        await asyncio.sleep(at_s)
        self._say(what)
        await event

    async def _kill(self, entry: cluster.Entry) -> None:
        entry.process.kill()
        await asyncio.sleep(REPLACE_AFTER_S)
        await self._replace(entry)

    async def _stop(self, entry: cluster.Entry) -> None:
        self._stopped_entry = entry.id
        entry.process.terminate()
        await self._cluster.publish_entry_state(entry, "leaving")
        replaced = asyncio.create_task(self._replace(entry, keep=True))
        self._planned_stop_status = await entry.process.wait_for_exit(
            timeout_s=STOP_TIMEOUT_S
        )
        self._say(
            f"{entry.id} has stopped with exit status {self._planned_stop_status}"
        )
        await replaced
        self._cluster.entry_by_id.pop(entry.id, None)
        await self._cluster.publish_entry_state(entry, "gone")

    async def _replace(self, entry: cluster.Entry, *, keep: bool = False) -> None:
        """Start a new entry instance in the place of one that is going."""
        if not keep:
            self._cluster.entry_by_id.pop(entry.id, None)
            await self._cluster.publish_entry_state(entry, "gone")
        new = await self._cluster.start_entry(entry.data_centre)
        self._say(f"{new.id} starts in place of {entry.id}")

    async def _leave(self) -> None:
        layout = self._plan.layout
        name = f"{layout.service}-{layout.workers()[0].id}"
        url = f"{self._cluster.backend_url}/leave"
        await self._client.call("POST", url, body={"executors": [name]})

    async def _settle(self) -> None:
        """Wait until every task has finished, or a watcher runs."""
        loop = asyncio.get_running_loop()
        until = loop.time() + plan.SETTLE_TIMEOUT_S
        while loop.time() < until:
            tasks = await self._platform("/tasks")
            waiting = sum(results.lost_tasks(job, tasks) for job in self._plan.jobs)
            # The settings tree may hold longer work of its own.
            own = {job.id for job in self._plan.jobs}
            running = sum(
                bool(task["active"]) and not task["watcher"] and task["job"] in own
                for task in tasks.values()
            )
            if not waiting and not running:
                return
            await asyncio.sleep(POLL_S)
        self._say(f"{running} tasks still run, {waiting} run nowhere")

    async def _seen(self) -> results.Observations:
        backend_url = self._cluster.backend_url
        return results.Observations(
            breaches=await self._platform("/breaches"),
            totals=await self._platform("/totals"),
            tasks=await self._platform("/tasks"),
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

    async def _platform(self, path: str) -> dict:
        url = f"{self._cluster.platform_url}{path}"
        return (await self._client.call("GET", url)).json()


@contextlib.asynccontextmanager
async def _background(work: Awaitable[None]) -> AsyncIterator[None]:
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()


async def run(
    deployment: str, *, seed: int, say: Callable[[str], None]
) -> results.Results:
    """Run the demonstration of one deployment; all processes end with it."""
    chosen = plan.make(deployment)
    client = http_client.HttpClient()
    try:
        with processes.process_group(
            cluster.DIRECTORY, stop_timeout_s=CLOSE_S
        ) as group:
            started = cluster.Cluster(
                plan=chosen, group=group, client=client, seed=seed
            )
            scenario = Scenario(
                plan=chosen, cluster=started, client=client, seed=seed, say=say
            )
            return await scenario.run()
    finally:
        client.close()
