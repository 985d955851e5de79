"""Tests of ``platform/adapter``, between the users' platform and the product.

The folder ``platform`` is on the import path, so its package is ``adapter``.
"""

import asyncio
import doctest
import sys
import sysconfig

import hypothesis
import loguru
import msgspec
import pytest
from hypothesis import strategies
from tornado import httputil

from adapter import callers, listing, operator, store
from limpetstream import errors
from limpetstream.border import bounded_server
from limpetstream.shard import state
from limpetstream.store import messages as store_messages
from limpetstream.workflow import checks
from tests import platform_builders as builders

JOB = {
    "spec": "(text)",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
        {"count": 20, "cpu": 2000, "after": [0], "checkpointing": True},
    ],
}


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda values: (
        strategies.lists(values) | strategies.dictionaries(strategies.text(), values)
    ),
    max_leaves=4,
)
odd_waves = strategies.fixed_dictionaries(
    {
        "wave": strategies.integers() | json_values,
        "machines": strategies.lists(strategies.text()) | json_values,
        "duration_s": strategies.floats() | json_values,
        "max_count": strategies.integers() | json_values,
    }
).map(msgspec.json.encode)
odd_routes = strategies.fixed_dictionaries(
    {
        "name": strategies.text(),
        "host": strategies.text(),
        "path_prefix": strategies.text(),
        "service": strategies.text() | json_values,
        "priority": strategies.integers() | json_values,
        "advice": json_values,
    }
)
odd_configurations = strategies.fixed_dictionaries(
    {
        "version": strategies.integers() | json_values,
        "routes": strategies.lists(odd_routes, max_size=2) | json_values,
        "services": strategies.just([]) | json_values,
    }
).map(msgspec.json.encode)


@pytest.fixture(autouse=True)
def disable_logging():
    loguru.logger.remove()


def answer(request, *, job_api=None, view=None):
    caller_api = callers.CallerApi(
        job_api or builders.FakeJobApi(),
        view or builders.make_view(),
        builders.make_clock(),
    )
    return asyncio.run(caller_api.answer(request))


def post(body, **options):
    path = f"/lohu/{builders.JOB_ID}"
    return answer(builders.request("POST", path, body), **options)


def test_folder_does_not_shadow_the_standard_module():
    """Guards against an ``__init__.py`` in the root's folder ``platform``.

    It would hide the standard library's module of that name.
    """
    import platform

    standard = sysconfig.get_paths()["stdlib"]
    assert platform.__file__.startswith(standard)
    assert platform.python_version() == sys.version.split()[0]


def test_examples_in_the_adapter_hold():
    """Guards against outdated doctests, which pytest cannot collect there.

    Only ``store`` has doctests.
    """
    assert doctest.testmod(store).failed == 0


def test_job_fields_are_translated():
    """Guards against fields that are mixed up when a job is decoded."""
    job_api = builders.FakeJobApi()
    assert post(msgspec.json.encode(JOB), job_api=job_api).status == 200
    submission = job_api.submitted[0]
    assert (submission.job_id, submission.queue) == (builders.JOB_ID, "r-1")
    assert submission.max_attempts == 4
    first, second = submission.steps
    assert (first.cpu_millicores, first.memory_mb, first.estimate_ms) == (500, 256, 900)
    assert (second.after, second.checkpoints) == ((0,), True)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"steps": []}',  # Without a spec.
        msgspec.json.encode({"spec": "x", "steps": []}),
        msgspec.json.encode({"spec": "x", "steps": [{"count": 0}]}),
        msgspec.json.encode({"spec": "x", "steps": [{"count": "four"}]}),
        # A step that comes after itself, and after a step that is missing.
        msgspec.json.encode({"spec": "x", "steps": [{"count": 1, "after": [0]}]}),
        msgspec.json.encode({"spec": "x", "steps": [{"count": 1, "after": [7]}]}),
        msgspec.json.encode({"spec": "x", "steps": [{"count": 1, "cpu": -1}]}),
        msgspec.json.encode({"spec": "x" * 5000, "steps": [{"count": 1}]}),
        b"[" * 100_000,  # Nested too deeply to decode.
    ],
)
def test_bad_jobs_are_rejected_and_not_stored(body):
    """Guards against invalid input that is stored or answered with 500."""
    job_api = builders.FakeJobApi()
    response = post(body, job_api=job_api)
    assert response.status == 400
    assert response.body["error"]
    assert not job_api.submitted


def test_steps_are_counted_before_they_are_decoded():
    """Guards against the time and memory of thousands of decoded steps."""
    steps = [{"count": 1}] * checks.MAX_STEPS + [{"count": "many"}]
    body = msgspec.json.encode(JOB | {"steps": steps})
    assert "length <= 64" in post(body).body["error"]


def test_the_step_of_an_invalid_value_is_named():
    """Guards against findings that do not tell the place."""
    steps = [{"count": 1}, {"count": 1, "image": "x" * 257}]
    body = msgspec.json.encode(JOB | {"steps": steps})
    assert post(body).body["error"].startswith("invalid-job: steps.1: ")


def test_ids_and_queues_are_checked():
    """Guards against invalid ids, and against a wrong status for a queue.

    An unknown queue gives 404, but before a configuration is read, no queue
    is known to be missing, so the answer is 503. A path without an id returns
    the number of waiting jobs of the queue.
    """
    body = msgspec.json.encode(JOB)
    request = builders.request("POST", "/lohu/xyz", body)
    assert answer(request).status == 400
    other = builders.request("POST", f"/none/{builders.JOB_ID}", body)
    assert answer(other).status == 404
    assert post(body, view=builders.make_view(configured=False)).status == 503
    waiting = answer(builders.request("GET", "/lohu/"))
    assert (waiting.status, waiting.body) == (200, {"waiting": 12})


def test_refusals_differ_from_unknown_outcomes():
    """Guards against "not run" for a job that may have been stored.

    The status of a job that is not known at all is 410.
    """
    job_api = builders.FakeJobApi()
    job_api.submit_error = errors.NotRun("store-unavailable", retry_after_s=1.0)
    refusal = post(msgspec.json.encode(JOB), job_api=job_api)
    assert (refusal.status, refusal.retry_after_s) == (503, 1.0)
    job_api.submit_error = errors.OutcomeUnknown("no answer")
    assert post(msgspec.json.encode(JOB), job_api=job_api).status == 504
    job_api.state = None
    status_request = builders.request("GET", f"/lohu/{builders.JOB_ID}")
    assert answer(status_request, job_api=job_api).status == 410


def refuse(
    method="POST",
    path=f"/lohu/{builders.JOB_ID}",
    *,
    status=503,
    host=builders.QUEUE.host,
    stored=(builders.JOB_ID,),
):
    """Return the status and headers of a refusal as they are sent."""
    job_api = builders.FakeJobApi()
    job_api.stored.update(stored)
    caller_api = callers.CallerApi(job_api, builders.make_view(), builders.make_clock())
    refusal = bounded_server.Refusal(status, "busy", {"Retry-After": "1"}, b"{}")
    start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
    caller_api.encode_refusal(start_line, httputil.HTTPHeaders({"Host": host}), refusal)
    assert (refusal.reason, refusal.body) == ("busy", b"{}")
    return refusal.status, refusal.headers


@pytest.mark.parametrize(
    "options",
    [
        {},
        {"path": f"/lohu/{builders.JOB_ID}?a=1"},
        {"host": f"{builders.QUEUE.host.upper()}:80"},
    ],
)
def test_a_repeat_of_a_job_that_may_be_stored_is_not_refused(options):
    """Guards against a promise that a stored job never runs (rule REFUSED)."""
    assert refuse(**options) == (504, {})


@pytest.mark.parametrize(
    "options",
    [
        {"stored": ()},
        {"stored": ("5c0e7a21d94b36f9",)},
        {"method": "GET"},
        {"method": "DELETE"},
        {"path": f"/other/{builders.JOB_ID}"},
        {"path": "/lohu/"},
        {"host": "other.example"},
        {"host": "a, b"},
        {"host": f"a:{'9' * 5000}"},
    ],
)
def test_other_requests_are_refused_as_they_are(options):
    """Guards against 504 without need, and errors in place of a refusal."""
    assert refuse(**options) == (503, {"Retry-After": "1"})


def test_other_statuses_of_refusals_stay():
    """Guards against an unknown outcome in place of a refusal's reason."""
    assert refuse(status=413) == (413, {"Retry-After": "1"})


@pytest.mark.parametrize("status", [413, 431, 503])
def test_refusals_without_a_configuration_say_so(status):
    """Guards against 413 by a limit that the configuration may raise."""
    caller_api = callers.CallerApi(
        builders.FakeJobApi(),
        builders.make_view(configured=False),
        builders.make_clock(),
    )
    refusal = bounded_server.Refusal(status, "a body is too large", {}, b"{}")
    start_line = httputil.RequestStartLine("POST", "/a", "HTTP/1.1")
    caller_api.encode_refusal(start_line, httputil.HTTPHeaders(), refusal)
    assert (refusal.status, refusal.headers) == (503, {"Retry-After": "1"})
    assert b"no configuration" in refusal.body


def test_records_are_encoded_and_decoded():
    """Guards against keys and values that are split at the wrong byte."""
    entries = [
        store_messages.Entry("!owner", b'{"epoch":1}'),
        store_messages.Entry("gone", None),
    ]
    # The end of the partition, and the first retained offset.
    raw = store.READ_HEADER.pack(9, 0) + store.encode_records(entries)
    page = store.decode_records(raw, 7)
    assert page.end == 9
    assert [(e.key, e.value, e.offset) for e in page.entries] == [
        ("!owner", b'{"epoch":1}', 7),
        ("gone", None, 8),
    ]
    truncated = store.decode_records(raw[:-3], 7)
    assert [entry.key for entry in truncated.entries] == ["!owner"]
    with pytest.raises(errors.PlatformUnavailable):
        store.decode_records(b"short", 0)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"{}",
        b'{"service":"s","address":7,"zone":"a","state":"ready","capacity":{}}',
        b'{"service":"s","address":"x","zone":"a","state":"asleep","capacity":{}}',
    ],
)
def test_foreign_entries_name_no_executor(value):
    """Guards against entries that cannot be decoded and break the list.

    An entry with a state other than ready and draining is one of them.
    """
    assert listing.decode(store_messages.Entry("i-1", value)) is None


def test_older_configuration_is_ignored():
    """Guards against an older configuration that replaces a newer one."""
    view = state.DeploymentView()

    def config(version):
        body = {"version": version, "routes": [], "services": []}
        return store_messages.Entry("config", msgspec.json.encode(body))

    operator.apply(view, [config(7)], True)
    operator.apply(view, [config(5)], False)
    assert view.configuration.version == 7


def test_evacuation_closes_and_reopens_a_data_centre():
    """Guards against a data centre that stays closed after it returned."""
    view = state.DeploymentView()
    operator.apply(view, [store_messages.Entry("evacuate/a", b"{}")], False)
    assert view.closed_data_centres == {"a"}
    operator.apply(view, [store_messages.Entry("evacuate/a", None)], False)
    assert not view.closed_data_centres


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["", "evacuate/", "wave/", "config"]),
            strategies.text(max_size=20) | strategies.from_regex(r"[0-9]{1,250}"),
            strategies.none()
            | strategies.binary(max_size=50)
            | odd_waves
            | odd_configurations,
        ),
        max_size=4,
    ),
    strategies.booleans(),
)
def test_any_operator_entries_are_applied_or_refused(rows, complete):
    """Guards against an operator's entry that ends the process."""
    view = state.DeploymentView()
    entries = [
        store_messages.Entry(prefix if prefix == "config" else prefix + rest, value)
        for prefix, rest, value in rows
    ]
    operator.apply(view, entries, complete)
    assert all(isinstance(number, int) for number in view.wave_by_number)
