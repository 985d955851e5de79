"""Tests of the operators' API: roles, conflicts, dry runs, undo, history."""

import concurrent.futures
import json
import re
import time
from collections.abc import Iterator
from typing import Any

import pytest

from limpetstream.admin.tests import builders

DESK = "/services/recover-desk"
DRAIN = "data-centres/gl-erie"


@pytest.fixture(scope="module")
def system() -> Iterator[builders.System]:
    """Run two instances for all tests of this module."""
    with builders.system("admin-1", "admin-2") as running:
        builders.add_viewer(running)
        yield running


def operations(system: builders.System) -> list[tuple[str, str, Any]]:
    """Return method, path and a valid body of each documented operation."""
    body_by_name = {
        "EditRequest": {
            "changes": [{"path": DESK, "set": {"timeout_ms": 1}}],
            "reason": "x",
        },
        "DataCentreRequest": {"state": "out", "reason": "x"},
        "UndoRequest": {"version": 0, "reason": "x"},
    }
    calls = []
    for path, methods in system.get("openapi.json")["paths"].items():
        for method, described in methods.items():
            schema = json.dumps(described.get("requestBody", ""))
            name = re.search(r"schemas/(\w+)", schema)
            body = body_by_name[name[1]] if name else None
            call_path = path.replace("{name}", "gl-erie")
            call_path = re.sub(r"{\w+}", "x", call_path)
            calls.append((method.upper(), call_path, body))
    return calls


@pytest.mark.parametrize("key", ["", "no-such-key", builders.CALLER_KEY])
def test_no_call_works_without_an_operators_key(system: builders.System, key: str):
    """Guards against an operation that does not authenticate."""
    before = system.get("history"), system.get("tree")
    for method, path, body in operations(system):
        reply = system.connect(key=key).call(method, path, body)
        assert reply.status == 401, (method, path)
    assert (system.get("history"), system.get("tree")) == before


def test_no_change_without_the_role(system: builders.System):
    """Guards against edits by operators who only have the read role."""
    before = system.get("history"), system.get("tree")
    for method, path, body in operations(system):
        for number in (0, 1):
            viewer = system.connect(number, builders.VIEWER_KEY)
            status = viewer.call(method, path, body).status
            assert status == 403 if method != "GET" else status in (200, 404), path
    assert (system.get("history"), system.get("tree")) == before


def test_a_later_edit_on_an_old_version_conflicts(system: builders.System):
    """Guards against overwriting an edit that the operator has not seen."""
    base = system.version()
    first = system.edit(DESK, values={"timeout_ms": 1501}, base_version=base)
    assert first.status == 200
    system.wait_for_version(first.json()["version"])
    late_edit = system.edit(DESK, 1, values={"timeout_ms": 1502}, base_version=base)
    assert late_edit.status == 409
    assert late_edit.json()["reason"] == "conflict"
    assert (
        f"the current version is {first.json()['version']}"
        in late_edit.json()["detail"]
    )
    assert effective(system, DESK)["timeout_ms"] == 1501


def test_of_two_edits_at_once_one_wins(system: builders.System):
    """Guards against confirming both of two conflicting edits."""
    for round_number in range(5):
        base = system.version()
        system.wait_for_version(base)

        def send(
            number: int, base: int = base, round_number: int = round_number
        ) -> Any:
            values = {"queue_limit": 100 + 2 * round_number + number}
            return system.edit(DESK, number, values=values, base_version=base)

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            replies = list(pool.map(send, (0, 1)))
        assert sorted(each.status for each in replies) == [200, 409]
        winner = 0 if replies[0].status == 200 else 1
        version = replies[winner].json()["version"]
        system.wait_for_version(version)
        assert str(version) in replies[1 - winner].json()["detail"]
        limit = effective(system, DESK)["queue_limit"]
        assert limit == 100 + 2 * round_number + winner


def test_a_dry_run_shows_the_difference_and_changes_nothing(
    system: builders.System,
):
    """Guards against dry runs that are wrong or take effect."""
    before = system.get("history"), system.get("tree")
    values = {"timeout_ms": 1234, "objective_ms": 321}
    preview = system.edit(DESK, values=values, dry_run=True)
    assert preview.status == 200
    assert (system.get("history"), system.get("tree")) == before
    real = system.edit(DESK, values=values).json()
    assert real["difference"] == preview.json()["difference"]
    assert {each["key"] for each in real["difference"]} == set(values)


@pytest.mark.parametrize("field", ["dry_runn", "base_versoin"])
def test_an_unknown_field_is_refused(system: builders.System, field: str):
    """Guards against carrying out an edit whose dry run is misspelt."""
    before = system.get("history")
    reply = system.edit(DESK, **{field: True})
    assert reply.status == 400
    assert "did you mean" in reply.json()["detail"]
    assert system.get("history") == before


def test_undo_brings_the_old_values_back_once(system: builders.System):
    """Guards against an undo that restores other values."""
    before = effective(system, DESK)
    edited = system.edit(DESK, values={"slots": 3, "timeout_ms": 777}).json()
    body = {"version": edited["version"], "reason": "wrong"}
    undone = system.connect().call("POST", "/admin/v1/undo", body)
    assert undone.status == 200
    assert effective(system, DESK) == before
    again = system.connect().call("POST", "/admin/v1/undo", body)
    assert again.status in (400, 409)
    unknown = {"version": 999_999, "reason": "wrong"}
    assert system.connect().call("POST", "/admin/v1/undo", unknown).status == 404


def test_an_undo_does_not_overwrite_a_later_edit(system: builders.System):
    """Guards against undoing more than the named edit."""
    edited = system.edit(DESK, values={"timeout_ms": 888}).json()
    assert system.edit(DESK, values={"timeout_ms": 889}).status == 200
    body = {"version": edited["version"], "reason": "late"}
    assert system.connect().call("POST", "/admin/v1/undo", body).status == 409
    assert effective(system, DESK)["timeout_ms"] == 889


def test_the_difference_holds_exactly_what_changed(system: builders.System):
    """Guards against differences that miss a key or show a key hash."""
    before = system.version()
    system.edit(DESK, values={"timeout_ms": 1111})
    last = system.edit("/callers/till", values={"key_sha256": ["0" * 64]}).json()
    path = f"difference?before={before}&after={last['version']}"
    after_by_path_and_key = {
        (each["path"], each["key"]): each["after"] for each in system.get(path)
    }
    assert after_by_path_and_key == {
        (DESK, "timeout_ms"): 1111,
        ("/callers/till", "key_sha256"): "1 key(s)",
    }
    undo = {"version": last["version"], "reason": "test"}
    assert system.connect().call("POST", "/admin/v1/undo", undo).status == 200


def test_every_change_is_on_record_with_author_and_time(system: builders.System):
    """Guards against changes without an author, a time or a reason."""
    started_ms = int(time.time() * 1000) - 1000
    edited = system.edit(DESK, values={"timeout_ms": 1000}, reason="edit").json()
    changes = [("PUT", DRAIN, {"state": "out", "reason": "drain"})]
    changes += [("PUT", DRAIN, {"state": "in", "reason": "restore"})]
    changes += [("POST", "undo", {"version": edited["version"], "reason": "undo"})]
    versions = [edited["version"]]
    for method, path, body in changes:
        reply = system.connect().call(method, f"/admin/v1/{path}", body)
        assert reply.status == 200, reply.body
        versions.append(reply.json()["version"])
    system.wait_for_version(versions[-1])
    rows = system.get("history", 1)[-4:]
    assert [row["version"] for row in rows] == versions
    assert [row["reason"] for row in rows] == ["edit", "drain", "restore", "undo"]
    ended_ms = int(time.time() * 1000) + 1000
    for row in rows:
        assert row["author"] == "shift-lead"
        assert started_ms <= row["at_ms"] <= ended_ms


def test_refusals_are_counted_by_reason(system: builders.System):
    """Guards against a list of refusals that does not match the answers."""
    system.running[0].components.core.metrics.increment(
        "refusals", 3, service="recover-desk", reason="overload"
    )
    system.running[0].components.core.metrics.increment(
        "refusals", service="(jobs)", reason="quota"
    )
    rows = [row for row in system.get("refusals") if row["reason"] != "deadline"]
    assert rows == [
        {"service": "recover-desk", "reason": "overload", "count": 3},
        {"service": "(jobs)", "reason": "quota", "count": 1},
    ]


def test_unknown_filters_suggest_a_name(system: builders.System):
    """Guards against an empty table for a misspelt name."""
    for path in ("workers?data_centre=gl-eri", "jobs?team=countr"):
        reply = system.connect().call("GET", f"/admin/v1/{path}")
        assert reply.status == 404
        assert "did you mean" in reply.json()["detail"]


def effective(system: builders.System, path: str) -> dict[str, Any]:
    """Return the effective values of a node."""
    return {row["key"]: row["value"] for row in system.get(f"settings?path={path}")}
