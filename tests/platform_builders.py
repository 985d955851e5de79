"""Builders of requests and state for the tests of the platform adapter."""

from collections.abc import Callable

from tornado import httputil

from limpetstream import clock, errors
from limpetstream.organisations import revocations
from limpetstream.shard import state
from limpetstream.workflow import messages

QUEUE = messages.Queue("r-1", "desk.example", "/lohu/", "service", max_attempts=4)
JOB_ID = "5c0e7a21d94b36f8"


class FakeJobApi:
    """Fake of the job operations that records submitted jobs.

    Tests set ``submit_error`` to make submissions fail, and ``state`` to the
    state of every job; None stands for an unknown job. ``admissions`` tells
    how each call was admitted. ``stored`` holds the ids of jobs that may be
    stored.
    """

    def __init__(self) -> None:
        self.submitted: list[messages.Submission] = []
        self.admissions: list[revocations.Admission] = []
        self.submit_error: errors.LimpetstreamError | None = None
        self.state: str | None = "running"
        self.stored: set[str] = set()

    async def submit(
        self,
        submission: messages.Submission,
        *,
        wait_s: float,
        is_wanted: Callable[[], bool],
        admission: revocations.Admission,
    ) -> None:
        """Record a job, or raise ``submit_error``."""
        self.admissions.append(admission)
        if self.submit_error:
            raise self.submit_error
        self.submitted.append(submission)

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether the test counts a job as stored."""
        return job_id in self.stored

    async def job_state(
        self, job_id: str, *, wait_s: float, admission: revocations.Admission
    ) -> str | None:
        """Return the state that the test set."""
        self.admissions.append(admission)
        return self.state

    async def cancel(
        self, job_id: str, *, wait_s: float, admission: revocations.Admission
    ) -> bool:
        """Return whether the job is known."""
        self.admissions.append(admission)
        return self.state is not None

    async def count_waiting_jobs(
        self, queue: str, *, wait_s: float, admission: revocations.Admission
    ) -> int:
        """Return a constant."""
        self.admissions.append(admission)
        return 12


def make_view(*, configured: bool = True) -> state.DeploymentView:
    """Return the view of an instance, with or without a configuration."""
    view = state.DeploymentView()
    if configured:
        view.configuration = messages.Configuration(1, [QUEUE])
    return view


def make_clock() -> clock.Clock:
    """Return a clock that does not advance."""
    return clock.Clock(monotonic=lambda: 0.0, wall=lambda: 1_800_000_000.0)


def request(
    method: str, path: str, body: bytes = b"", *, host: str = QUEUE.host
) -> httputil.HTTPServerRequest:
    """Return a caller's request."""
    headers = httputil.HTTPHeaders({"Host": host, "X-Deadline-Ms": "3000"})
    start = httputil.RequestStartLine(method, path, "HTTP/1.1")
    return httputil.HTTPServerRequest(headers=headers, body=body, start_line=start)
