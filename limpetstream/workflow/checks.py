"""Validates submitted jobs; all findings are reported together."""

import re

from limpetstream import errors
from limpetstream.workflow import messages

MAX_SPEC_BYTES = 4000  # Limit of the callers' interface.
MAX_STEPS = 64  # Limits the cost of one request; the jobs in use need 5.
MAX_NAME_CHARACTERS = 256  # Of labels, racks and images; limits the state of one job.
MAX_TASKS = 4096  # Limits the state of one job; the jobs in use need 200.
MAX_OCCURRENCES = 10_000  # Limits the state of one scheduled job.
JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id.

    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
    (True, False)
    """
    return JOB_ID.match(text) is not None


def check(submission: messages.Submission) -> None:
    """Check the values of a submission that the types do not restrict.

    Raises:
        Rejected: The submission is invalid. There is one finding for each
            invalid value, with its path.
    """
    findings = []
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        findings.append(f"spec: expected at most {MAX_SPEC_BYTES} bytes")
    if not 1 <= len(submission.steps) <= MAX_STEPS:
        findings.append(f"steps: expected 1 to {MAX_STEPS}")
    if not 0 <= submission.occurrences <= MAX_OCCURRENCES:
        findings.append(f"occurrences: expected 0 to {MAX_OCCURRENCES}")
    for number, step in enumerate(submission.steps):
        findings.extend(
            f"steps.{number}.{finding}" for finding in _check_step(number, step)
        )
    if sum(step.count for step in submission.steps) > MAX_TASKS:
        findings.append(f"steps: expected at most {MAX_TASKS} tasks in total")
    if findings:
        raise errors.Rejected(400, "invalid-job", findings[0], findings=tuple(findings))


def _check_step(number: int, step: messages.Step) -> list[str]:
    findings = []
    if step.count < 1:
        findings.append("count: expected 1 or more")
    sizes = (step.cpu_millicores, step.memory_mb, step.accelerators)
    if min(*sizes, step.estimate_ms, step.max_per_executor, step.may_miss) < 0:
        findings.append("sizes: expected 0 or more")
    if any(earlier < 0 or earlier >= number for earlier in step.after):
        findings.append("after: expected numbers of earlier steps")
    return findings
