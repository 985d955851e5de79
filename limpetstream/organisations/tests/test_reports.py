"""Tests of what owners log about organisations, and of the metrics of it."""

import pytest

from limpetstream.organisations import owner_events, reports, wait_reasons
from limpetstream.organisations.tests import report_builders as builders
from limpetstream.shard import (
    audits,
    events as shard_events,
    owner_reports,
    wait_reports,
)
from limpetstream.telemetry import event_metrics, logs, organisation_metrics


@pytest.fixture
def rows(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event, fields))
    )
    return found


def states(rows):
    return {
        fields["organisation"]: fields
        for event, fields in rows
        if event is owner_events.ORGANISATION_STATE
    }


def test_share_usage_limit_and_held_back_tasks_are_logged(rows):
    """Guards against a report that hides why an organisation's work waits."""
    shard = builders.make_shard(
        builders.organisation("mill", weight=2.0, limit=(20_000, 0, 0)),
        builders.organisation("quay"),
    )
    shard.clock.monotonic = lambda: 3.0
    builders.run(shard, builders.make_tasks(shard, "mill", count=2))
    builders.run(shard, builders.make_tasks(shard, "mill", long_running=True))
    builders.wait(shard, builders.make_tasks(shard, "mill", cpu_millicores=2_000))
    builders.wait(shard, builders.make_tasks(shard, "mill", count=3), since=0.5)
    assert reports.log(shard, frozenset()) == {"mill"}
    (row,) = states(rows).values()
    # 12 of 64 cores without the long-running run, 18 with it.
    assert (row["share_percent"], row["weighted_share_percent"]) == (18.75, 9.38)
    assert (row["used_millicores"], row["limit_millicores"]) == (18_000, 20_000)
    assert (row["waiting"], row["held_back"], row["longest_wait_ms"]) == (4, 3, 3000)


def test_an_organisation_without_work_is_reported_once_more(rows):
    """Guards against gauges that stay at the last figures of work."""
    shard = builders.make_shard(builders.organisation("mill"))
    assert reports.log(shard, frozenset({"mill"})) == frozenset()
    assert states(rows)["mill"]["used_millicores"] == 0
    rows.clear()
    reports.log(shard, frozenset())
    assert not rows


def test_nothing_is_computed_without_organisations(rows, monkeypatch):
    """Guards against costs where the configuration names no organisation."""
    shard = builders.make_shard()
    builders.wait(shard, builders.make_tasks(shard, "mill"))
    monkeypatch.setattr(shard, "usage", None)
    assert reports.log(shard, frozenset({"mill"})) == frozenset()
    assert not rows


def test_the_lines_of_a_report_are_bounded(rows):
    """Guards against a log that grows with the number of organisations."""
    names = [f"o{number}" for number in range(reports.MAX_LINES + 5)]
    shard = builders.make_shard(*map(builders.organisation, names))
    shard.clock.monotonic = lambda: 9.0
    for name in names:
        since = 1.0 if name == names[-1] else 2.0
        builders.wait(shard, builders.make_tasks(shard, name), since=since)
    reports.log(shard, frozenset())
    assert len(states(rows)) == reports.MAX_LINES
    assert names[-1] in states(rows)
    assert rows[0][1] == {"organisations": len(names), "left_out": 5}


def test_the_owner_logs_organisations_with_its_own_state(rows):
    """Guards against reports that no owner makes."""
    shard = builders.make_shard(builders.organisation("mill"))
    builders.wait(shard, builders.make_tasks(shard, "mill"))
    builders.wait(shard, builders.make_tasks(shard, ""))
    reporter = owner_reports.Reporter(0.0)
    owner_reports.report_if_due(shard, reporter, audits.Audit(shard))
    assert set(states(rows)) == {"mill", reports.NO_ORGANISATION}
    assert reporter.organisations == {"mill", ""}


def test_a_waiting_task_names_the_limit_or_the_share_as_the_reason(rows):
    """Guards against tasks that wait beside free executors for no reason."""
    shard = builders.make_shard(
        builders.organisation("mill", limit=(13_000, 0, 0)),
        builders.organisation("quay"),
    )
    builders.run(shard, builders.make_tasks(shard, "mill", count=2))
    builders.run(shard, builders.make_tasks(shard, "quay", count=3))
    held, small = (
        builders.make_tasks(shard, "mill", cpu_millicores=cpu)[0] for cpu in (6000, 500)
    )
    behind = builders.make_tasks(shard, "quay")[0]
    for task in (held, small, behind):
        builders.wait(shard, [task], since=-9.0)
    wait_reports.report_waiting_jobs(shard)
    reason_by_task = {fields["task"]: fields["held_by"] for _event, fields in rows}
    assert reason_by_task == {
        held.name: wait_reasons.LIMIT,
        small.name: "",
        behind.name: wait_reasons.SHARE,
    }


def observed(*rows):
    metrics = organisation_metrics.OrganisationMetrics()
    for event, fields in rows:
        metrics.observe(event, fields)
    return metrics.render().decode()


def state(name, **fields):
    return owner_events.ORGANISATION_STATE, {"organisation": name, **fields}


def test_metrics_have_a_label_for_each_organisation():
    """Guards against a gauge that shows one organisation as all of them."""
    text = observed(state("mill", waiting=3), state('q"y', waiting=4))
    assert 'limpetstream_organisation_waiting{organisation="mill"} 3\n' in text
    assert 'limpetstream_organisation_waiting{organisation="q\\"y"} 4\n' in text
    metrics = event_metrics.EventMetrics()
    metrics.observe(*state("mill", share_percent=3.0))
    assert not metrics.percent_by_event_and_field


def test_labels_are_bounded_and_end_with_the_ownership():
    """Guards against metrics that grow, and figures of a former owner."""
    most = organisation_metrics.MAX_ORGANISATIONS
    rows = [state(f"o{number}", waiting=1) for number in range(most + 3)]
    text = observed(*rows)
    assert text.count("{") == most
    assert '"o2"' not in text
    assert not observed(*rows, (shard_events.SHARD_RELEASED, {}))


def test_refusals_are_counted_by_organisation_and_reason():
    """Guards against refusals that no metric tells."""
    refused = owner_events.events.Event(1600, "request-refused", "INFO", "", "")
    row = refused, {"organisation": "mill", "reason": "not-fresh", "requests": 3}
    assert ('refusals_total{organisation="mill",reason="not-fresh"} 6') in observed(
        row, row
    )


def test_the_share_of_another_service_is_no_reason(rows):
    """Guards against a reason that the order of the tasks does not have."""
    shard = builders.make_shard(
        builders.organisation("mill"), builders.organisation("quay")
    )
    other = builders.make_tasks(shard, "quay", count=3)
    other[0].job.submission.queue = other[0].job.submission.service = "other"
    builders.run(shard, other)
    builders.run(shard, builders.make_tasks(shard, "mill"))
    for name in ("mill", "quay"):
        builders.wait(shard, builders.make_tasks(shard, name), since=-9.0)
    wait_reports.report_waiting_jobs(shard)
    held_by = {fields["organisation"]: fields["held_by"] for _event, fields in rows}
    assert held_by == {"mill": wait_reasons.SHARE, "quay": ""}
