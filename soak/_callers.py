"""Callers: they hand in jobs, ask for them, cancel some, and keep account."""

import asyncio
import dataclasses

import msgspec

from emulator import deployment
from limpetstream import errors
from limpetstream.workflow import messages
from soak import _cluster

DEADLINE_MS = 3000  # Deadline of most of the users' requests.
TIMEOUT_S = 4.0  # A second more: an answer may come late.
MAX_ATTEMPTS = 8  # About 6 s apart in all, as long as most faults last.
SETTLE_POLL_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.2
CANCEL_SHARE = 0.1  # Of the accepted jobs.
LONG_RUNNING_SHARE = 0.1  # Of all jobs.
NOT_RUN_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class Job:
    """What a caller knows of one job.

    Args:
        job_id: Its id.
        tasks: Number of tasks of all steps.
        is_long_running: Whether its tasks run until it is cancelled.
        accepted: Whether an instance has acknowledged it.
        outcome_unknown: Whether an outcome of handing in is unknown.
        cancelled: Whether its cancelling has been acknowledged.
        cancel_requested: Whether its cancelling was ever sent.
        final_state: Final state that an instance has told.
    """

    job_id: str
    tasks: int
    is_long_running: bool
    accepted: bool = False
    outcome_unknown: bool = False
    cancelled: bool = False
    cancel_requested: bool = False
    final_state: str | None = None


class Callers:
    """All callers of one run.

    Args:
        cluster: Deployment that they call.
    """

    def __init__(self, cluster: _cluster.Cluster) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._cluster = cluster
        self._choices = cluster.caller_choices

    async def run(self, seconds: float, *, per_s: float) -> None:
        """Hand in jobs for a time, and return when all calls have ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as running:
            while loop.time() < until:
                running.create_task(self._one())
                await asyncio.sleep(self._choices.expovariate(per_s))

    async def poll_jobs(self, seconds: float) -> None:
        """Ask for accepted jobs at any instance while faults are injected."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            accepted = [job for job in self.job_by_id.values() if job.accepted]
            if accepted:
                await self._ask(self._choices.choice(accepted))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_settled(self, *, limit_s: float) -> None:
        """Ask until every job stands as it must, or the time is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while loop.time() < until and any(
            map(self.is_unsettled, self.job_by_id.values())
        ):
            for job in list(filter(self.is_unsettled, self.job_by_id.values())):
                await self._ask(job)
            await asyncio.sleep(SETTLE_POLL_INTERVAL_S)

    def is_unsettled(self, job: Job) -> bool:
        """Return whether a job does not yet stand as it must."""
        if not job.accepted or job.final_state is not None:
            return False
        if job.is_long_running and not job.cancelled:
            # A cancelling without an answer may have taken effect or not.
            return not job.cancel_requested and self.running_tasks(job) < job.tasks
        return True

    def running_tasks(self, job: Job) -> int:
        """Return how many tasks of a job run on executors."""
        for advance in self._cluster.breaches.advance_by_executor.values():
            advance()
        return sum(
            bool(executors)
            for task, executors in self._cluster.breaches.executors_by_task.items()
            if task.startswith(job.job_id)
        )

    async def _one(self) -> None:
        source = self._choices
        lasting = source.random() < LONG_RUNNING_SHARE
        cpu = source.choice([500, 1000, 2000, 4000])
        count = source.randint(1, 3 if lasting else 6)
        chain = 1 if lasting else source.randint(1, 3)
        seconds = 0.0 if lasting else source.uniform(0.1, 1.5)
        job_id = f"{source.getrandbits(64):016x}"
        self._cluster.size_by_spec[job_id] = (cpu, seconds)
        steps = [
            messages.Step(
                count,
                cpu_millicores=cpu,
                memory_mb=50,
                estimate_ms=int(seconds * 1000),
                after=(number - 1,) if number else (),
                long_running=lasting,
            )
            for number in range(chain)
        ]
        job = Job(job_id, count * chain, lasting)
        self.job_by_id[job_id] = job
        await self._hand_in(job, deployment.job_body(job_id, steps))
        if job.accepted and source.random() < CANCEL_SHARE:
            await asyncio.sleep(source.uniform(0.0, 3.0))
            await self._cancel(job)

    async def _hand_in(self, job: Job, body: bytes) -> None:
        for _ in range(MAX_ATTEMPTS):
            status, _answer = await self._call("POST", job, body)
            if status == 200:
                job.accepted = True
                return
            if status is None or status == 504:
                job.outcome_unknown = True
            elif status not in NOT_RUN_STATUSES:
                self._find(job, f"handing in was answered {status}")
                return
            await asyncio.sleep(self._choices.uniform(0.3, 1.2))

    async def _cancel(self, job: Job) -> None:
        job.cancel_requested = True
        for _ in range(MAX_ATTEMPTS):
            status, _answer = await self._call("DELETE", job)
            if status == 410:
                self._find(job, "is unknown when it is cancelled")
            if status in (200, 410):
                job.cancelled = True
                loop = asyncio.get_running_loop()
                self._cluster.breaches.cancelled_at[job.job_id] = loop.time()
                return
            await asyncio.sleep(self._choices.uniform(0.3, 1.2))

    async def _ask(self, job: Job) -> None:
        status, answer = await self._call("GET", job)
        if status == 410:
            self._find(job, "was accepted and is not known any more")
            job.final_state = "lost"
        elif status == 200:
            state = msgspec.json.decode(answer)["state"]
            if job.final_state is not None and state != job.final_state:
                self._find(job, f"was {job.final_state} and is {state}")
            if state in messages.FINAL_STATES:
                job.final_state = state

    async def _call(
        self, method: str, job: Job, body: bytes | None = None
    ) -> tuple[int | None, bytes]:
        """Call some instance; the status is None when no answer came.

        A connection that could not be made counts as a refusal: nothing was
        sent.
        """
        instance = self._choices.choice(list(self._cluster.instance_by_name.values()))
        url = f"http://127.0.0.1:{instance.caller_link.port}"
        try:
            answer = await self._cluster.client.call(
                method,
                f"{url}{deployment.PREFIX}{job.job_id}",
                body,
                timeout_s=TIMEOUT_S,
                headers=deployment.headers(DEADLINE_MS),
            )
        except errors.PlatformUnavailable as error:
            return (503 if error.not_applied else None), b""
        return answer.status, answer.body

    def _find(self, job: Job, text: str) -> None:
        self._cluster.findings.append(f"job {job.job_id} {text}")
