"""Tests of the HTTP handlers for batch jobs, over real sockets."""

import dataclasses
import json

import pytest
import tornado.testing
import tornado.web

from bench import _platform_fakes
from limpetstream import clock, errors
from limpetstream.batch import context, explain, handlers, messages, requests
from limpetstream.batch.tests import builders
from limpetstream.border import identity
from limpetstream.records import view
from limpetstream.settings import schema
from limpetstream.telemetry import metrics


@dataclasses.dataclass(slots=True)
class Ledger:
    """Fake of the ledger (section 3.4) that keeps the states in a list."""

    states: list = dataclasses.field(default_factory=list)
    reachable: bool = True

    def can_record(self, now):
        return self.reachable

    def record_receipt(self, caller, request_id, *, kind, received_ms, body_hash):
        self.states.append((caller, request_id, kind, "received"))
        return (caller, request_id, kind)

    async def wait_until_recorded(self, receipt, *, timeout_s):
        return None

    def record_outcome(self, receipt, *, state, attempts, detail=""):
        self.states.append((*receipt, state))


class Committer:
    """Applies records at once, and confirms them unless told otherwise."""

    def __init__(self, log):
        self.log = log
        self.confirms = True

    async def append(self, kind, body, *, resource=None, epoch=0, timeout_s=5.0):
        void = self.log.write(kind, body)
        if not self.confirms:
            raise errors.LogUnavailable("not confirmed in time")
        return view.ApplyResult(0, 0, void)


class JobsTest(tornado.testing.AsyncHTTPTestCase):
    """A caller port with two callers and one worker."""

    def get_app(self):
        self.log = builders.record_log()
        for key, team in (("k1", "red"), ("k2", "blue")):
            caller = (f"caller-{key}", schema.Caller(team=team))
            self.log.tree.caller_by_hash[identity.key_hash(key)] = caller
        directory = _platform_fakes.Directory(lambda: 0.0)
        directory.by_id["w1"] = _platform_fakes.Instance(
            "w1", "worker", "", "a", "r1", cores=8.0, memory_gb=32.0
        )
        self.ledger, self.committer = Ledger(), Committer(self.log)
        self.log.view.fresh_at = float("inf")
        batch_context = context.Context(
            clock.Clock(),
            self.log.view,
            self.log.jobs,
            self.committer,
            None,
            None,
            self.log.tree,
            directory,
            metrics.Metrics(),
        )
        return tornado.web.Application(
            handlers.routes(context=batch_context, ledger=self.ledger)
        )

    def call(self, method, path, body=None, *, key="k1", request_id="r1"):
        headers = {"Authorization": f"Bearer {key}", "Request-Id": request_id}
        raw = json.dumps(body) if isinstance(body, dict) else body
        answer = self.fetch(path, method=method, headers=headers, body=raw)
        return answer.code, json.loads(answer.body), answer.headers

    def submit(self, *, cores=1.0, count=2, **options):
        body = {"tasks": [{"count": count, "cores": cores}], "work_class": "plan"}
        return self.call("POST", "/v1/jobs", body, **options)

    def test_a_repeat_is_one_job(self):
        """Guards against two jobs when one request is sent twice."""
        first, second = self.submit(), self.submit()
        assert first[0] == second[0] == 200
        assert first[1]["id"] == second[1]["id"]
        assert len(self.log.jobs.job_by_id) == 1
        assert self.submit(request_id="r2")[1]["id"] != first[1]["id"]

    def test_the_same_id_with_another_body_is_refused(self):
        """Guards against an answer about a job that was not submitted."""
        self.submit()
        status, body, _ = self.submit(cores=2.0)
        assert (status, body["reason"]) == (409, "id-conflict")

    def test_another_caller_sees_nothing(self):
        """Guards against callers that read or cancel others' jobs."""
        job = self.submit()[1]["id"]
        assert self.call("GET", f"/v1/jobs/{job}", key="k2")[0] == 404
        assert self.call("DELETE", f"/v1/jobs/{job}", key="k2")[0] == 404
        assert self.call("GET", f"/v1/jobs/{job}", key="none")[0] == 401
        assert not self.log.jobs.job_by_id[job].cancelled

    def test_a_job_that_can_never_run_is_named(self):
        """Guards against a job that is pending forever without explanation."""
        status, body, _ = self.submit(cores=9.0)
        assert (status, body["reason"]) == (400, "never-runnable")
        assert "cores: needs 9" in body["findings"][0]
        assert self.ledger.states[-1][-1] == "not-run"

    def test_an_unconfirmed_append_is_unknown(self):
        """Guards against "not run" for a job that may run (I6)."""
        self.committer.confirms = False
        assert self.submit()[0] == 504
        assert self.ledger.states[-1][-1] == "unknown"
        self.committer.confirms = True
        assert self.submit()[0] == 200
        assert len(self.log.jobs.job_by_id) == 1

    def test_a_log_outage_refuses_submissions(self):
        """Guards against submissions while the log is down (section 6.3)."""
        self.log.view.fresh_at = float("-inf")
        status, body, headers = self.submit()
        assert (status, body["reason"]) == (503, "log-unavailable")
        assert headers["Outcome"] == "not-run"
        assert self.log.jobs.job_by_id == {}

    def test_a_job_is_not_refused_after_an_earlier_request_may_have_submitted_it(
        self,
    ):
        """Guards against "not run" for a job that may run (I6)."""

        async def never_confirmed(kind, body):
            raise errors.LogUnavailable("the append may take effect later")

        self.committer.append = never_confirmed
        assert self.submit()[0] == 504
        self.log.view.fresh_at = float("-inf")
        assert self.submit()[0] == 504
        assert self.submit(request_id="r2")[0] == 503
        self.ledger.reachable = False
        assert self.submit()[0] == 504

    def test_no_account_no_work(self):
        """Guards against work that the account does not show (I11)."""
        self.ledger.reachable = False
        assert self.submit()[1]["reason"] == "account-unavailable"
        assert self.log.jobs.job_by_id == {}

    def test_cancel_and_page(self):
        """Guards the pages of a job's tasks, and its state once cancelled."""
        job = self.submit(count=3)[1]["id"]
        status, body, _ = self.call("GET", f"/v1/jobs/{job}?limit=2")
        assert (status, len(body["tasks"]), body["next"]) == (200, 2, 2)
        assert body["tasks"][0]["story"][0]["what"] == "submitted"
        assert self.call("DELETE", f"/v1/jobs/{job}", request_id="r2")[0] == 200
        assert self.call("GET", f"/v1/jobs/{job}")[1]["state"] == "cancelled"
        assert self.call("GET", f"/v1/jobs/{job}?limit=-1")[0] == 400

    def test_bad_bodies_are_refused_with_their_place(self):
        """Guards against invalid bodies in the log."""
        for body in ("", "[]", "{", '{"tasks": []}', '{"tasks": [{"cores": NaN}]}'):
            assert self.call("POST", "/v1/jobs", body)[0] == 400
        bad = {"tasks": [{"cores": -1, "count": 0}], "priority": "first"}
        status, body, _ = self.call("POST", "/v1/jobs", bad)
        assert status == 400
        assert [one.split(":")[0] for one in body["findings"]] == [
            "priority",
            "tasks[0].count",
            "tasks[0].cores",
        ]
        assert self.log.jobs.job_by_id == {}


def test_a_job_of_too_many_tasks_is_refused():
    """Guards the size of the state against a single submission."""
    body = json.dumps({"tasks": [{"count": requests.MAX_TASKS + 1}]}).encode()
    with pytest.raises(errors.Rejected):
        requests.decode(body)


def test_reasons_name_each_constraint():
    """Guards the explanation of a pending task, for each constraint."""
    settings = builders.tree(quota=2.0)
    settings.data_centre_by_name["b"].state = "out"
    log = builders.record_log(settings)
    directory = _platform_fakes.Directory(lambda: 0.0)
    for name, centre in (("w1", "a"), ("w2", "b")):
        directory.by_id[name] = _platform_fakes.Instance(
            name, "worker", "", centre, "r1", cores=3.0, memory_gb=32.0
        )
    workers = explain.make_global_fleet(log.jobs, settings, directory)
    log.submit(tasks=4)
    for number in range(4):
        log.place(f"j1/{number}", worker="w1")
    log.submit("u1", priority="urgent", team="blue")
    log.submit("j2", cores=2.0)
    explanation = explain.explain(
        log.jobs.task_by_id["j2/0"],
        log.jobs,
        settings,
        explain.worker_capacities(workers),
    )
    names = [reason.split(":")[0] for reason in explanation.reasons]
    assert names == ["quota", "data centre", "cores", "priority"]


def test_never_reasons_cover_quota_deadline_and_combination():
    """Guards the reasons why a job can never run, for each constraint."""
    settings = builders.tree(quota=4.0)
    settings.team_by_name["red"].borrow = False
    log = builders.record_log(settings)
    directory = _platform_fakes.Directory(lambda: 0.0)
    for name, cores, memory_gb in (("w1", 8.0, 8.0), ("w2", 2.0, 64.0)):
        directory.by_id[name] = _platform_fakes.Instance(
            name, "worker", "", "a", "r1", cores=cores, memory_gb=memory_gb
        )
    capacities = explain.worker_capacities(
        explain.make_global_fleet(log.jobs, settings, directory)
    )
    group = messages.TaskGroup(1, 6.0, 32.0, 0, 100.0)
    submit = messages.JobSubmit(
        "j1", "shop", "r1", "", "red", "plan", [group], deadline_ms=5000, at_ms=1000
    )
    text = "\n".join(explain.impossible_reasons(submit, capacities, log.jobs.quota))
    assert "more cores than the quota" in text
    assert "all dimensions at once" in text
    assert "deadline" in text
    assert explain.impossible_reasons(submit, [], log.jobs.quota)
