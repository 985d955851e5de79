"""Measures what organisations cost the owner of a deployment at the target.

72 organisations have runs on 2,300 executors and waiting tasks, half of them
at their limits. Their report is compared with that of the owner itself, and a
scheduling pass with one whose configuration names no organisation.
"""

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import loguru
import msgspec

from bench import result
from limpetstream.organisations import keys, reports, settings
from limpetstream.shard import audits, owner_reports, scheduling, state
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs, organisation_metrics
from limpetstream.workflow import messages, state as workflow_state
from standins import shard_cluster, virtual_time

ORGANISATIONS = 72
EXECUTORS = 2300
RUNS_PER_EXECUTOR = 2  # 1,700 starts per second of 1 to 3 s.
WAITING = 10_000
TASKS_PER_JOB = 10
ROUNDS = 15
LIMIT = (300_000, 0, 0)


def run(seed: int) -> result.Result:
    """Measure reports and passes with and without organisations in turn."""
    loguru.logger.remove()
    shared, plain = _make_shard(is_shared=True), _make_shard(is_shared=False)
    lines: list[bytes] = []
    metrics = organisation_metrics.OrganisationMetrics()

    def observe(event: Any, fields: dict[str, Any]) -> None:
        metrics.observe(event, fields)
        lines.append(msgspec.json.encode(fields))

    logs.observers.append(observe)
    try:
        reported = reports.log(shared, frozenset())
        line_count, line_bytes = len(lines), sum(map(len, lines))
        report_ms = _median_ms(lambda: reports.log(shared, reported))
        no_report_ms = _median_ms(lambda: reports.log(plain, frozenset()))
        owner_ms = _median_ms(lambda: _report_owner(plain))
    finally:
        logs.observers.remove(observe)
    pass_ms, plain_pass_ms = _measure_passes(shared, plain)
    interval_s = owner_reports.REPORT_INTERVAL_S
    figures: dict[str, object] = {
        "organisations, executors, runs, waiting tasks": (
            ORGANISATIONS,
            EXECUTORS,
            EXECUTORS * RUNS_PER_EXECUTOR,
            len(shared.waiting_tasks),
        ),
        "lines per second": round(line_count / interval_s, 1),
        "bytes of fields per second": round(line_bytes / interval_s),
        "report of organisations (ms)": round(report_ms, 2),
        "report without organisations (ms)": round(no_report_ms, 4),
        "report of the owner itself (ms)": round(owner_ms, 2),
        "ratio of both reports": round(report_ms / owner_ms, 2),
        "bytes of all metrics": len(metrics.render()),
        "bytes kept for metrics": _kept_bytes(lambda: _kept_metrics(shared)),
        "bytes kept for organisations and keys": _kept_bytes(_make_configuration),
        "pass with organisations (ms)": round(pass_ms, 2),
        "pass without organisations (ms)": round(plain_pass_ms, 2),
        "ratio of both passes": round(pass_ms / plain_pass_ms, 3),
    }
    return result.Result("organisation_reports", seed, figures, {})


def _make_shard(*, is_shared: bool) -> state.Shard:
    shard = builders.make_shard(virtual_time.Loop(), executors=EXECUTORS)
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    shard.view.configuration = messages.Configuration(
        1,
        [shard_cluster.BATCH],
        organisation_by_name={
            name: settings.Organisation(name, limit=LIMIT if number % 2 else (0, 0, 0))
            for number, name in enumerate(names)
            if is_shared
        },
    )
    # 28 of 64 cores, so that two of them leave no room for a waiting task.
    running = builders.copy_step(builders.SHORT, cpu_millicores=28_000)
    for number, executor in enumerate(shard.executor_by_id.values()):
        for each in range(RUNS_PER_EXECUTOR):
            name = names[(number + each) % ORGANISATIONS]
            for task in _make_tasks(shard, running, name, is_shared=is_shared):
                builders.start_run(executor, task, start_requested_at=-0.2)
    for number in range(WAITING // TASKS_PER_JOB):
        step = builders.copy_step(
            builders.SHORT, count=TASKS_PER_JOB, cpu_millicores=9_000 + number % 50
        )
        name = names[number % ORGANISATIONS]
        for task in _make_tasks(shard, step, name, is_shared=is_shared):
            task.ready_at = -0.5
            shard.waiting_tasks.append(task)
    return shard


def _make_tasks(
    shard: state.Shard, step: messages.Step, name: str, *, is_shared: bool
) -> list[workflow_state.Task]:
    tasks = builders.make_tasks(shard, step)
    if is_shared:
        job = tasks[0].job
        job.submission = dataclasses.replace(job.submission, organisation=name)
    return tasks


def _report_owner(shard: state.Shard) -> None:
    owner_reports.report_if_due(
        shard, owner_reports.Reporter(float("-inf")), audits.Audit(shard)
    )


def _measure_passes(shared: state.Shard, plain: state.Shard) -> tuple[float, float]:
    """Return the milliseconds of a later pass with and without, in turn."""
    took_by_shard: dict[int, list[float]] = {id(shared): [], id(plain): []}
    for _ in range(ROUNDS):
        for shard in (shared, plain):
            shard.ownership_proven_at = shard.clock.monotonic()
            started = time.perf_counter()
            scheduling.run_pass(shard)
            took_ms = (time.perf_counter() - started) * 1000
            took_by_shard[id(shard)].append(took_ms)
    first, second = map(statistics.median, took_by_shard.values())
    return first, second


def _median_ms(call: Callable[[], object]) -> float:
    took = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        call()
        took.append((time.perf_counter() - started) * 1000)
    return statistics.median(took)


def _kept_bytes(make: Callable[[], object]) -> int:
    """Return how much memory an object keeps."""
    tracemalloc.start()
    try:
        before, _peak = tracemalloc.get_traced_memory()
        kept = make()
        after, _peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return after - before


def _kept_metrics(shard: state.Shard) -> organisation_metrics.OrganisationMetrics:
    metrics = organisation_metrics.OrganisationMetrics()
    logs.observers.append(metrics.observe)
    try:
        reports.log(shard, frozenset())
    finally:
        logs.observers.remove(metrics.observe)
    return metrics


def _make_configuration() -> object:
    """Return all organisations, and a table of two keys of each."""
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    table = keys.KeyTable(
        (f"key {number} of {name}", name) for name in names for number in range(2)
    )
    return table, {name: settings.Organisation(name, limit=LIMIT) for name in names}
