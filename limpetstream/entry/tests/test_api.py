"""Tests of the operators' API against its OpenAPI document."""

import re
from collections.abc import Iterator
from typing import Any

import pytest

from limpetstream.admin.tests import builders

METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")


@pytest.fixture(scope="module")
def system() -> Iterator[builders.System]:
    """Run one instance for all tests of this module."""
    with builders.system("api-1") as running:
        yield running


def paths(system: builders.System) -> dict[str, dict[str, Any]]:
    """Return the described operations by path and upper-case method."""
    document = system.connect(key="").call("GET", "/admin/v1/openapi.json").json()
    return {
        path: {method.upper(): each for method, each in methods.items()}
        for path, methods in document["paths"].items()
    }


def existing(path: str) -> str:
    """Return a path with parameters filled in; ``name`` gets a data centre."""
    return re.sub(r"{\w+}", "x", path.replace("{name}", "gl-erie"))


def test_each_described_call_is_served(system: builders.System):
    """Guards against documented operations that the server does not offer."""
    described = paths(system)
    assert len(described) >= 18
    for path, methods in described.items():
        for method in methods:
            reply = system.connect().call(method, existing(path))
            answer = reply.json()
            if "{" in path and reply.status == 404:
                # The path exists; only the object is missing.
                assert answer["detail"] != "no such path", path
                continue
            needs_body = "requestBody" in methods[method]
            assert reply.status == (400 if needs_body else 200), (path, answer)


def test_each_other_method_is_answered_405(system: builders.System):
    """Guards against operations that work but are not documented."""
    before = system.get("history")
    for path, methods in paths(system).items():
        for method in METHODS:
            if method not in methods:
                reply = system.connect().call(method, existing(path), {})
                assert reply.status == 405, (method, path)
    assert system.get("history") == before


def test_each_described_schema_and_id_is_unique(system: builders.System):
    """Guards against a document that client generators reject."""
    document = system.get("openapi.json")
    ids = [
        each["operationId"]
        for methods in document["paths"].values()
        for each in methods.values()
    ]
    assert len(ids) == len(set(ids))
    references = set(re.findall(r"#/components/schemas/(\w+)", str(document)))
    assert references == set(document["components"]["schemas"])


def test_query_parameters_are_checked(system: builders.System):
    """Guards against invalid parameters that are ignored or answered 500."""
    for query in ("history?limit=x", "difference?before=1e3", "difference?after=-"):
        reply = system.connect().call("GET", f"/admin/v1/{query}")
        assert reply.status == 400, query
    assert system.connect().call("GET", "/admin/v1/no-such-path").status == 404
