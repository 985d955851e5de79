"""Counts what the demonstration lost, did twice or ran over capacity."""

import collections
import dataclasses
from typing import Any

from demo import desk_load, plan

TableRows = list[tuple[str, str]]


@dataclasses.dataclass(slots=True)
class Observations:
    """What the stand-ins and the accounts report at the end.

    Args:
        breaches: Breaches that the platform counted.
        totals: Totals of the platform.
        tasks: Tasks as the platform knows them, by id.
        stats: Counters of the backend servers.
        runs: Number of runs by request.
        accounts: State by request id, by caller.
        stopped_entry: Id of the entry instance whose stop was planned.
        planned_stop_status: Exit status of that entry instance.
    """

    breaches: dict[str, Any]
    totals: dict[str, int]
    tasks: dict[str, dict[str, Any]]
    stats: dict[str, Any]
    runs: dict[str, int]
    accounts: dict[str, dict[str, str]]
    stopped_entry: str
    planned_stop_status: int | None


@dataclasses.dataclass(slots=True)
class Results:
    """Counts of the demonstration.

    All from ``planned_stop_status`` on must be 0.
    """

    outcomes: collections.Counter[str]
    latencies_ms: list[float]
    finished_tasks: int
    evictions: int
    planned_stop_status: int | None
    requests_cut: int
    lost: dict[str, int]
    done_twice: dict[str, int]
    over_capacity: dict[str, int]
    refused_but_run: int
    late_work: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether nothing was lost, done twice, over capacity, cut or late."""
        if self.planned_stop_status != 0 or self.requests_cut or self.refused_but_run:
            return False
        counted = (self.lost, self.done_twice, self.over_capacity, self.late_work)
        return not any(sum(counts.values()) for counts in counted)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    >>> percentile([5.0, 1.0, 3.0], 0.5)
    3.0
    >>> percentile([], 0.99)
    0.0
    """
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def evaluate(
    requests: list[desk_load.SentRequest],
    jobs: list[plan.Job],
    observations: Observations,
) -> Results:
    """Compare what callers were told with what the stand-ins saw."""
    runs = collections.Counter[str]()
    for key, number in observations.runs.items():
        runs[key.rpartition("/")[2]] += number
    answered = [sent for sent in requests if sent.outcome == "answered"]
    return Results(
        outcomes=collections.Counter(sent.outcome for sent in requests),
        latencies_ms=[sent.latency_ms for sent in answered if sent.latency_ms],
        finished_tasks=observations.totals.get("finished", 0),
        evictions=observations.totals.get("stopped", 0),
        planned_stop_status=observations.planned_stop_status,
        requests_cut=sum(
            observations.stopped_entry in sent.cut_off_by for sent in requests
        ),
        lost={
            "tasks": sum(lost_tasks(job, observations.tasks) for job in jobs),
            "answers not whole": sum(
                sent.answer_fault is not None for sent in answered
            ),
            **_account_faults(requests, observations.accounts),
        },
        done_twice={
            "tasks": observations.breaches["done_twice"]
            + observations.breaches["started_after_finish"],
            "tasks in two places": observations.breaches["two_places"],
            "non-idempotent requests": sum(
                runs[sent.request_id] > 1 for sent in requests if not sent.idempotent
            ),
        },
        over_capacity={
            "workers": observations.breaches["over_capacity"],
            "slots": observations.stats["breaches"]["over_slots"],
            "connections": observations.stats["breaches"]["over_connections"],
        },
        refused_but_run=sum(
            runs[sent.request_id] > 0 for sent in requests if sent.outcome == "not-run"
        ),
        late_work={
            "starts in a data centre that is out": observations.breaches[
                "started_while_out"
            ],
            "requests at a leaving server": observations.stats["breaches"][
                "after_leave"
            ],
        },
    )


def lost_tasks(job: plan.Job, tasks: dict[str, dict[str, Any]]) -> int:
    """Return how many tasks of a job have neither finished nor run now."""
    accounted_for = sum(
        1
        for task in tasks.values()
        if task["job"] == job.id and (task["finished"] or task["active"])
    )
    return max(0, job.tasks - accounted_for)


def _account_faults(
    requests: list[desk_load.SentRequest], accounts: dict[str, dict[str, str]]
) -> dict[str, int]:
    """Count requests that are missing or wrong in the accounts.

    A request without a reply may never have arrived, so it may be missing. An
    instance that was killed right after its reply may leave a request as
    ``received`` or ``unknown``, which does not contradict the reply.
    """
    missing = wrong = 0
    for sent in requests:
        state = accounts.get(sent.caller, {}).get(sent.request_id)
        if state is None:
            missing += sent.outcome in ("answered", "unknown", "failed")
        elif {state, sent.outcome} == {"answered", "not-run"}:
            wrong += 1
    return {"missing in accounts": missing, "wrong in accounts": wrong}


def render(results: Results, *, title: str) -> str:
    """Return the counts as a text table.

    Args:
        results: Counts to show.
        title: First line of the table.
    """
    p50, p99 = (percentile(results.latencies_ms, share) for share in (0.5, 0.99))
    outcomes = collections.Counter(results.outcomes)
    rows: TableRows = [("requests answered", str(outcomes.pop("answered", 0)))]
    rows.append(("requests refused (not run)", str(outcomes.pop("not-run", 0))))
    unknown = outcomes.pop("unknown", 0) + outcomes.pop("no-reply", 0)
    rows.append(("requests unknown", str(unknown)))
    rows += [
        (f"requests {name}", str(count)) for name, count in sorted(outcomes.items())
    ]
    rows.append(("p50 / p99 of answered, ms", f"{p50:.0f} / {p99:.0f}"))
    rows.append(("tasks finished", str(results.finished_tasks)))
    rows.append(("evictions", str(results.evictions)))
    rows.append(("planned stop, exit status", str(results.planned_stop_status)))
    rows.append(("requests cut by it", str(results.requests_cut)))
    rows.append(("lost", _format_counts(results.lost)))
    rows.append(("done twice", _format_counts(results.done_twice)))
    rows.append(("over capacity", _format_counts(results.over_capacity)))
    rows.append(("refused but run", str(results.refused_but_run)))
    rows.append(("late work", _format_counts(results.late_work)))
    width = max(len(name) for name, _ in rows)
    lines = [f"{name:<{width}}  {value}" for name, value in rows]
    return "\n".join([title, "-" * len(title), *lines])


def _format_counts(counts: dict[str, int]) -> str:
    """Return the sum of the counts, followed by those that are not 0.

    >>> _format_counts({"tasks": 2, "slots": 0})
    '2 (tasks 2)'
    """
    nonzero_counts = ", ".join(
        f"{name} {number}" for name, number in counts.items() if number
    )
    return f"{sum(counts.values())} ({nonzero_counts})" if nonzero_counts else "0"
