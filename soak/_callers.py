"""Simulates callers that submit, poll and cancel jobs."""

import asyncio
import dataclasses

import msgspec

from emulator import deployment
from limpetstream.shard import names
from limpetstream.workflow import messages
from soak import (
    _cluster,
    _connections,
    _executors,
    _organisations,
    _sizes,
    _stalls,
)

DEADLINE_MS = 3000  # Most requests of real users have this deadline, here all.
TIMEOUT_S = 4.0  # One second more than the deadline, for late answers.
# The pauses between attempts add up to about 6 s; most faults last no longer.
MAX_ATTEMPTS = 8
SETTLE_POLL_INTERVAL_S = 0.5
# Bounds a run whose own process hardly runs; four times ``SETTLE_TIMEOUT_S``.
MAX_SETTLE_WAIT_S = 120.0
POLL_INTERVAL_S = 0.2
CANCEL_SHARE = 0.1  # Share of the accepted jobs that are cancelled.
# Share of the callers that leave after a short time and cancel their jobs.
ABANDON_SHARE = 0.08
PATIENCE_S = (0.02, 1.0)  # Shortest and longest of these times.
REFUSAL_STATUSES = frozenset({429, 503})  # The job never runs.


@dataclasses.dataclass(slots=True)
class Job:
    """What the callers know about one job.

    Args:
        job_id: Id of the job.
        tasks: Number of tasks of all steps.
        is_long_running: Whether the tasks run until the job is cancelled.
        accepted: Whether an instance has acknowledged the submission.
        outcome_unknown: Whether the outcome of any attempt to submit it was
            unknown; a later acknowledgement does not reset it.
        refusals: Number of attempts to submit it that were answered with a
            status of ``REFUSAL_STATUSES``.
        cancelled: Whether an instance has acknowledged the cancellation, or
            has answered it with 410 (unknown job).
        cancel_requested: Whether a cancellation was ever sent.
        accepted_at: Loop time of the acknowledgement of the submission.
        final_state: Final state that an instance has reported; "lost" if an
            accepted job is unknown.
    """

    job_id: str
    tasks: int
    is_long_running: bool
    accepted: bool = False
    outcome_unknown: bool = False
    refusals: int = 0
    cancelled: bool = False
    cancel_requested: bool = False
    accepted_at: float = 0.0
    final_state: str | None = None

    @property
    def is_refused(self) -> bool:
        """Whether every answer promised that the job never runs.

        Attempts that could not be connected have sent nothing and count for
        nothing.
        """
        return self.refusals > 0 and not self.accepted and not self.outcome_unknown


class Callers:
    """All callers of one run.

    Args:
        cluster: Cluster that they call.
        organisations: Organisations that they belong to; None without any.
    """

    def __init__(
        self,
        cluster: _cluster.Cluster,
        organisations: _organisations.Organisations | None = None,
    ) -> None:
        self.job_by_id: dict[str, Job] = {}
        self._cluster = cluster
        self._organisations = organisations
        self._random = cluster.caller_choices
        self._lasting_left = 0  # Millicores.

    async def run(
        self, seconds: float, *, per_s: float, max_lasting_millicores: int
    ) -> None:
        """Submit jobs for a time; return when all calls have ended.

        Args:
            seconds: How long jobs are submitted.
            per_s: Mean rate of the jobs.
            max_lasting_millicores: What all lasting tasks together may need.
        """
        self._lasting_left = max_lasting_millicores
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        async with asyncio.TaskGroup() as task_group:
            while loop.time() < deadline:
                task_group.create_task(self._submit_random_job())
                await asyncio.sleep(self._random.expovariate(per_s))

    async def poll_jobs(self, seconds: float) -> None:
        """Poll accepted jobs for a time while faults are injected."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            accepted = [job for job in self.job_by_id.values() if job.accepted]
            if accepted:
                await self._poll_job(self._random.choice(accepted))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_settled(self, watch: _stalls.Watch, *, limit_s: float) -> None:
        """Poll until every job has settled or a time has passed.

        Args:
            watch: Measures the time without stalls of this process.
            limit_s: Longest time without stalls. After ``MAX_SETTLE_WAIT_S``
                the stalls no longer matter.
        """
        loop = asyncio.get_running_loop()
        ends_at, end_s = (
            loop.time() + MAX_SETTLE_WAIT_S,
            watch.undisturbed_s() + limit_s,
        )
        while (
            watch.undisturbed_s() < end_s
            and loop.time() < ends_at
            and any(map(self.is_unsettled, self.job_by_id.values()))
        ):
            for job in list(filter(self.is_unsettled, self.job_by_id.values())):
                await self._poll_job(job)
            await asyncio.sleep(SETTLE_POLL_INTERVAL_S)

    async def cancel_lasting_jobs(self, seconds: float) -> None:
        """Cancel half of the lasting jobs at random times after all faults.

        Args:
            seconds: Longest time until the last one is cancelled.
        """
        choices = self._cluster.cancel_choices
        async with asyncio.TaskGroup() as task_group:
            for job in list(self.job_by_id.values()):
                is_open = job.accepted and not job.cancel_requested
                if job.is_long_running and is_open and choices.random() < 0.5:
                    delay_s = choices.uniform(0.0, seconds)
                    task_group.create_task(self._cancel_later(job, delay_s))

    async def _cancel_later(self, job: Job, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._cancel(job)
        for _ in range(MAX_ATTEMPTS):
            if job.final_state is None:
                await self._poll_job(job)
                await asyncio.sleep(POLL_INTERVAL_S)

    def is_unsettled(self, job: Job) -> bool:
        """Return whether an accepted job has not reached its expected state.

        A long-running job that is not cancelled is expected to run all its
        tasks; every other job is expected to reach a final state.
        """
        if not job.accepted or job.final_state is not None:
            return False
        if job.is_long_running and not job.cancelled:
            # A cancellation without an answer may have taken effect or not.
            return (
                not job.cancel_requested and self.count_running_tasks(job) < job.tasks
            )
        return True

    def count_running_tasks(self, job: Job) -> int:
        """Advance all executors and count the tasks of a job that they run.

        An executor ends runs that are due only when it is advanced.
        """
        for advance in self._cluster.breaches.advance_by_executor.values():
            advance()
        return sum(
            bool(executors)
            for task, executors in self._cluster.breaches.executors_by_task.items()
            if task.startswith(job.job_id)  # Task ids begin with the job's id.
        )

    async def _submit_random_job(self) -> None:
        generator = self._random
        long_running = generator.random() < _sizes.LONG_RUNNING_SHARE
        cpu = generator.choice(_sizes.MILLICORES)
        count = generator.randint(
            1, _sizes.MAX_LONG_RUNNING_COUNT if long_running else _sizes.MAX_COUNT
        )
        step_count = 1 if long_running else generator.randint(1, _sizes.MAX_STEPS)
        seconds = 0.0 if long_running else generator.uniform(_sizes.MIN_S, _sizes.MAX_S)
        job_id = f"{generator.getrandbits(64):016x}"
        job, body = self._make_job(
            job_id,
            count,
            step_count,
            cpu=cpu,
            seconds=seconds,
            long_running=long_running,
        )
        if self._cluster.abandon_choices.random() < ABANDON_SHARE:
            await self._abandon(job, body)
            return
        await self._submit(job, body)
        if job.accepted and generator.random() < CANCEL_SHARE:
            await asyncio.sleep(generator.uniform(0.0, 3.0))
            await self._cancel(job)

    async def submit_lasting_job(self, count: int, *, cpu: int) -> None:
        """Submit a job of tasks that last until it is cancelled."""
        choices = self._cluster.restart_choices
        job_id = f"{choices.getrandbits(64):016x}"
        job, body = self._make_job(
            job_id, count, 1, cpu=cpu, seconds=0.0, long_running=True
        )
        await self._submit(job, body)

    def _make_job(
        self,
        job_id: str,
        count: int,
        step_count: int,
        *,
        cpu: int,
        seconds: float,
        long_running: bool,
    ) -> tuple[Job, bytes]:
        """Return a new job and the body of the request that submits it."""
        if long_running:
            # Faults choose by what was drawn.
            self._cluster.lasting_millicores += cpu * count
            cpu = self._limit(cpu, count)
        # The spec of the job is its id; executors look up the size by it.
        self._cluster.size_by_spec[job_id] = (cpu, seconds)
        steps = [
            messages.Step(
                count,
                cpu_millicores=cpu,
                memory_mb=_executors.TASK_MEMORY_MB,
                estimate_ms=int(seconds * 1000),
                after=(number - 1,) if number else (),
                long_running=long_running,
            )
            for number in range(step_count)
        ]
        job = Job(job_id, count * step_count, long_running)
        self.job_by_id[job_id] = job
        return job, deployment.job_body(job_id, steps)

    def _limit(self, cpu: int, count: int) -> int:
        """Return the processors of each task of a lasting job.

        The job gets at most half of what is left for lasting tasks, so that
        each later one gets something.
        """
        cpu = max(1, min(cpu, self._lasting_left // (2 * count)))
        self._lasting_left -= cpu * count
        return cpu

    async def _submit(self, job: Job, body: bytes) -> None:
        patience = self._cluster.draw_patience(MAX_ATTEMPTS)
        for _ in range(MAX_ATTEMPTS):
            answer = await self._call("POST", job, body)
            if answer.status == 200:
                job.accepted = True
                job.accepted_at = asyncio.get_running_loop().time()
                return
            if answer.status in REFUSAL_STATUSES:
                job.refusals += 1
            elif answer.status == 504 or (not answer.status and answer.was_sent):
                job.outcome_unknown = True
            elif answer.status:
                self._add_finding(job, f"got status {answer.status} for its submission")
                return
            if job.is_refused and job.refusals >= patience:
                return
            await asyncio.sleep(self._random.uniform(0.3, 1.2))

    async def _abandon(self, job: Job, body: bytes) -> None:
        """Hand a job in, leave without its answer, and cancel the job.

        Its appends take effect seconds later. It must not run then.
        """
        patience_s = self._cluster.abandon_choices.uniform(*PATIENCE_S)
        for instance in self._cluster.instance_by_name.values():
            instance.client.faults.delayed_keys.add(
                (names.SUBMISSIONS_TOPIC, job.job_id)
            )
        answer = await self._call("POST", job, body, timeout_s=patience_s)
        job.accepted = answer.status == 200
        job.outcome_unknown = not job.accepted
        job.accepted_at = asyncio.get_running_loop().time()
        await self._cancel(job)

    async def _cancel(self, job: Job) -> None:
        """Cancel a job; any status but 200 and 410 is retried.

        A cancellation that no attempt gets acknowledged is no finding. It is
        due all the same if an instance has told that it may take effect; one
        that was refused or got no answer each time waits for none any more.
        """
        job.cancel_requested = True
        loop = asyncio.get_running_loop()
        breaches = self._cluster.breaches
        breaches.cancel_asked_at[job.job_id] = loop.time()
        is_told_unknown = False
        for _ in range(MAX_ATTEMPTS):
            answer = await self._call("DELETE", job)
            if answer.status == 410 and job.accepted:
                self._add_finding(
                    job, "was accepted but is reported unknown on cancellation"
                )
            if answer.status in (200, 410):
                job.cancelled = True
                breaches.cancelled_at.setdefault(job.job_id, loop.time())
                return
            is_told_unknown = is_told_unknown or answer.status == 504
            await asyncio.sleep(self._random.uniform(0.3, 1.2))
        if not is_told_unknown:
            del breaches.cancel_asked_at[job.job_id]

    async def _poll_job(self, job: Job) -> None:
        answer = await self._call("GET", job)
        if answer.status == 410:
            self._add_finding(job, "was accepted but is now unknown")
            job.final_state = "lost"
        elif answer.status == 200:
            state = msgspec.json.decode(answer.body)["state"]
            if job.final_state is not None and state != job.final_state:
                self._add_finding(
                    job, f"changed from final state {job.final_state} to {state}"
                )
            if state in messages.FINAL_STATES:
                job.final_state = state

    async def _call(
        self,
        method: str,
        job: Job,
        body: bytes | None = None,
        *,
        timeout_s: float = TIMEOUT_S,
    ) -> _connections.Answer:
        """Call a random instance."""
        instance = self._random.choice(list(self._cluster.instance_by_name.values()))
        headers = deployment.headers(DEADLINE_MS)
        if self._organisations is not None:
            headers |= self._organisations.headers_of(job.job_id)
        return await self._cluster.client.call(
            method,
            instance.caller_link.port,
            f"{deployment.PREFIX}{job.job_id}",
            body,
            headers=headers,
            timeout_s=timeout_s,
        )

    def _add_finding(self, job: Job, text: str) -> None:
        self._cluster.findings.append(f"job {job.job_id} {text}")
