"""HTTP handlers by which callers submit, read and cancel batch jobs."""

import dataclasses
import hashlib
import uuid
from typing import Any

from limpetstream import errors, recent_ids
from limpetstream.batch import context, explain, fleet, jobs, messages, requests, tasks
from limpetstream.border import handler, identity

MAX_VIEW_AGE_S = 1.0
ENTRY_RECORD_TIMEOUT_S = 5.0
MAX_TASKS_PER_PAGE = 100
# Refused submissions and cancellations are counted under this name.
REFUSALS_SERVICE = "(jobs)"


@dataclasses.dataclass(slots=True)
class HandlerContext:
    """Dependencies that the handlers share.

    Args:
        context: Dependencies from the rest of the process.
        ledger: Accounts of callers.
        workers: All workers, for explanations.
        unknown_jobs: Ids of jobs whose submission had an unknown outcome.
    """

    context: context.Context
    ledger: Any
    workers: fleet.Fleet
    unknown_jobs: recent_ids.RecentIds = dataclasses.field(
        default_factory=recent_ids.RecentIds
    )


def routes(
    *,
    context: context.Context,
    ledger: Any,
    unknown_jobs: recent_ids.RecentIds | None = None,
) -> list[Any]:
    """Return the URL rules of the caller port.

    Args:
        context: Dependencies from the rest of the process.
        ledger: Accounts of callers.
        unknown_jobs: Collects the ids of jobs whose submission had an unknown
            outcome.
    """
    workers = explain.make_global_fleet(context.state, context.tree, context.directory)
    if unknown_jobs is None:
        unknown_jobs = recent_ids.RecentIds()
    shared = {"shared": HandlerContext(context, ledger, workers, unknown_jobs)}
    return [
        (r"/v1/jobs", JobsHandler, shared),
        (r"/v1/jobs/([A-Za-z0-9]{1,64})", JobHandler, shared),
    ]


class _BatchHandler(handler.BaseHandler):
    """Authenticates the caller and records requests in its account."""

    def initialize(self, shared: HandlerContext) -> None:
        """Store the shared dependencies."""
        self.shared = shared

    def prepare(self) -> None:
        """Authenticate the caller."""
        header = self.request.headers.get("Authorization")
        tree = self.shared.context.tree
        self.caller = identity.authenticate(header, tree.caller_by_key)

    def open_entry(self, kind: str) -> tuple[str, Any]:
        """Open an account entry for the request.

        Returns:
            The request id and the receipt of the entry.

        Raises:
            NotRun: The account is not available.
            Rejected: The Request-Id is not valid.
        """
        given = self.request.headers.get("Request-Id") or uuid.uuid4().hex
        request_id = requests.check_request_id(given)
        self.set_header("Request-Id", request_id)
        context, ledger = self.shared.context, self.shared.ledger
        now = context.clock.monotonic()
        if not ledger.can_record(now):
            detail = "the caller's account is not available now; nothing was done"
            raise errors.NotRun("account-unavailable", detail, retry_after_s=1.0)
        receipt = ledger.record_receipt(
            self.caller.name,
            request_id,
            kind=kind,
            received_ms=context.clock.wall_ms(),
            body_hash=hashlib.sha256(self.request.body).hexdigest(),
        )
        return request_id, receipt

    async def run_accounted(self, receipt: Any, work: Any) -> Any:
        """Await the work and record its outcome in the account.

        Raises:
            OutcomeUnknown: The work was done, but the log did not confirm the
                account entry in time.
        """
        record_outcome = self.shared.ledger.record_outcome
        try:
            result = await work
        except errors.OutcomeUnknown as error:
            record_outcome(receipt, state="unknown", attempts=1, detail=str(error))
            raise
        except (errors.NotRun, errors.Rejected) as error:
            record_outcome(receipt, state="not-run", attempts=0, detail=error.reason)
            self.shared.context.metrics.increment(
                "refusals", service=REFUSALS_SERVICE, reason=error.reason
            )
            raise
        except BaseException:
            record_outcome(
                receipt, state="unknown", attempts=1, detail="internal error"
            )
            raise
        record_outcome(
            receipt, state="answered", attempts=1, detail=str(result.get("id", ""))
        )
        try:
            await self.shared.ledger.wait_until_recorded(
                receipt, timeout_s=ENTRY_RECORD_TIMEOUT_S
            )
        except errors.LogUnavailable as error:
            raise errors.OutcomeUnknown(
                "the job was accepted, but its account entry is not recorded yet"
            ) from error
        return result

    async def append(self, kind: str, body: object) -> str | None:
        """Append a record and return why it is void, or None.

        Raises:
            NotRun: The log is unreachable, so nothing was sent.
            OutcomeUnknown: The record was sent but not confirmed.
        """
        context = self.shared.context
        if context.view.age(context.clock.monotonic()) >= MAX_VIEW_AGE_S:
            detail = "the log is unreachable; nothing was submitted"
            raise errors.NotRun("log-unavailable", detail, retry_after_s=2.0)
        try:
            apply_result = await context.committer.append(kind, body)
        except errors.LogUnavailable as error:
            raise errors.OutcomeUnknown(
                "the log did not confirm in time; repeat with the same Request-Id"
            ) from error
        return apply_result.void_reason

    def own_job(self, job_id: str) -> tasks.Job:
        """Return a job of this caller.

        Raises:
            Rejected: The caller has no job with this id.
        """
        job = self.shared.context.state.job_by_id.get(job_id)
        if job is None or job.submit.caller != self.caller.name:
            raise errors.Rejected(404, "not-found", "you have no job with this id")
        return job


class JobsHandler(_BatchHandler):
    """``POST /v1/jobs``."""

    async def post(self) -> None:
        """Submit a job; repeats with the same Request-Id submit it once."""
        job_id = requests.job_id(
            self.caller.name, self.request.headers.get("Request-Id", "")
        )
        try:
            request_id, receipt = self.open_entry("job")
            result = await self.run_accounted(receipt, self._submit(request_id))
        except errors.OutcomeUnknown:
            self.shared.unknown_jobs.add(job_id)
            raise
        except errors.NotRun as error:
            if job_id in self.shared.unknown_jobs:
                # An earlier request may have submitted the job.
                raise errors.OutcomeUnknown(str(error)) from error
            raise
        self.set_header("Outcome", "answered")
        self.reply(200, result)

    async def _submit(self, request_id: str) -> dict[str, Any]:
        request = requests.decode(self.request.body)
        submit = self._body(request, request_id)
        state = self.shared.context.state
        if submit.job not in state.job_by_id:
            if jobs.job_hash(submit.job) in state.dropped_job_hashes:
                raise errors.Rejected(409, "already-ended", "this job ended long ago")
            self._check_runnable(submit)
            void_reason = await self.append("job.submit", submit)
            if submit.job not in state.job_by_id:
                raise errors.Rejected(
                    409, "refused", void_reason or "the job has ended"
                )
        job = state.job_by_id[submit.job]
        if job.submit.body_hash != submit.body_hash:
            detail = "this Request-Id was used for another job"
            raise errors.Rejected(409, "id-conflict", detail)
        return _summary(job)

    def _body(self, request: requests.JobRequest, request_id: str) -> Any:
        return messages.JobSubmit(
            job=requests.job_id(self.caller.name, request_id),
            caller=self.caller.name,
            request_id=request_id,
            body_hash=hashlib.sha256(self.request.body).hexdigest(),
            team=self.caller.settings.team,
            work_class=request.work_class,
            tasks=request.tasks,
            priority=request.priority,
            kind=request.kind,
            spread=request.spread,
            idempotent=request.idempotent,
            checkpoint_s=request.checkpoint_s,
            deadline_ms=request.deadline_ms,
            at_ms=self.shared.context.clock.wall_ms(),
        )

    def _check_runnable(self, submit: messages.JobSubmit) -> None:
        context = self.shared.context
        capacities = explain.worker_capacities(self.shared.workers)
        reasons = explain.impossible_reasons(submit, capacities, context.state.quota)
        if reasons:
            detail = "this job can never run; the findings name each constraint"
            raise errors.Rejected(
                400, "never-runnable", detail, findings=tuple(reasons)
            )


class JobHandler(_BatchHandler):
    """``GET`` and ``DELETE /v1/jobs/{id}``."""

    def get(self, job_id: str) -> None:
        """Return the state of a job and of one page of its tasks."""
        job = self.own_job(job_id)
        start = self._number("after", 0)
        limit = min(MAX_TASKS_PER_PAGE, self._number("limit", MAX_TASKS_PER_PAGE))
        context = self.shared.context
        capacities = explain.worker_capacities(self.shared.workers)
        page = job.task_ids[start : start + limit]
        task_by_id = context.state.task_by_id
        result = _summary(job)
        result["tasks"] = [
            explain.explain(
                task_by_id[task_id], context.state, context.tree, capacities
            )
            for task_id in page
            if task_id in task_by_id
        ]
        end = start + len(page)
        result["next"] = end if end < len(job.task_ids) else None
        self.reply(200, result)

    def _number(self, name: str, default: int) -> int:
        text = self.get_query_argument(name, str(default))
        if not text.isascii() or not text.isdecimal() or len(text) > 9:
            raise errors.Rejected(400, "bad-argument", f"{name} must be a number")
        return int(text)

    async def delete(self, job_id: str) -> None:
        """Cancel a job; its running tasks are stopped asynchronously."""
        self.own_job(job_id)
        _, receipt = self.open_entry("job-cancel")
        result = await self.run_accounted(receipt, self._cancel(job_id))
        self.set_header("Outcome", "answered")
        self.reply(200, result)

    async def _cancel(self, job_id: str) -> dict[str, Any]:
        job = self.own_job(job_id)
        if not job.final and not job.cancelled:
            at_ms = self.shared.context.clock.wall_ms()
            body = messages.JobCancel(job_id, "cancelled by the caller", at_ms)
            await self.append("job.cancel", body)
        return _summary(job)


def _summary(job: tasks.Job) -> dict[str, Any]:
    return {
        "id": job.submit.job,
        "state": job.state,
        "task_count": len(job.task_ids),
        "finished": job.finished,
        "open": job.open_tasks,
        "reason": job.cancel_reason,
        "failed_workers": job.failed_workers,
    }
