"""Tests that the examples are valid and describe the two deployments."""

import hashlib
import pathlib
import re

import pytest

from limpetstream.settings import check, files, reader, seed, tree

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
EXPECTED_BY_DEPLOYMENT = {
    "brightwater": {
        "data_centres": {"gl-erie", "gl-huron", "gl-michigan", "gl-ontario"},
        "delays": (3, 1),
        "service": "recover-desk",
        "teams": {"counter", "workshop"},
        "executors": 24,
        "workers": 24,
        "workers_per_rack": 6,
    },
    "alto-valle": {
        "data_centres": {"galpon-norte", "galpon-sur", "camara-fria"},
        "delays": (5, 3),
        "service": "mesa-prensa",
        "teams": {"dawn", "afternoon", "traceability", "cold-room"},
        "executors": 33,
        "workers": 33,
        "workers_per_rack": 11,
    },
}


def read_settings(name: str) -> tree.Tree:
    found = tree.Tree()
    found.replace(files.read_tree(EXAMPLES / f"{name}.jsonc"), 1)
    return found


def read_workload(name: str) -> dict:
    content = (EXAMPLES / "workloads" / f"{name}.jsonc").read_bytes()
    document = reader.read(content, name)
    document.collector.raise_all()
    return document.value


@pytest.mark.parametrize("name", EXPECTED_BY_DEPLOYMENT)
def test_examples_are_clean(name):
    """Guards against an example that the checker or an instance rejects."""
    paths = [EXAMPLES / f"{name}.jsonc", EXAMPLES / f"entry-{name}.jsonc"]
    assert check.check(paths) == (check.EXIT_CLEAN, [])
    assert files.read_instance(paths[1]).id.startswith("entry-")
    assert seed.read_edit(paths[0]).base_version == 0


@pytest.mark.parametrize("name", EXPECTED_BY_DEPLOYMENT)
def test_tree_has_the_sizes_of_the_deployment(name):
    """Guards against sizes that differ from those of the deployment."""
    settings, expected = read_settings(name), EXPECTED_BY_DEPLOYMENT[name]
    assert set(settings.names("data-centre")) == expected["data_centres"]
    for each in expected["data_centres"]:
        data_centre = settings.data_centre(each)
        assert (data_centre.one_way_ms, data_centre.client_one_way_ms) == expected[
            "delays"
        ]
        assert data_centre.state == "in"
    assert settings.names("service") == [expected["service"]]
    service = settings.service(expected["service"])
    assert (service.slots, service.connections) == (8, 64)
    assert set(settings.names("team")) == expected["teams"]
    watchers = settings.names("watcher")
    assert bool(watchers) == (name == "alto-valle")
    assert all(settings.work(each).team == "cold-room" for each in watchers)


@pytest.mark.parametrize("name", EXPECTED_BY_DEPLOYMENT)
def test_keys_are_those_in_the_comments(name):
    """Guards against a demonstration key that grants no access."""
    settings = read_settings(name)
    text = (EXAMPLES / f"{name}.jsonc").read_text()
    clear = re.findall(r"only: (demo-\S+)", text)
    callers = [f"demo-caller-key-{each}" for each in settings.names("caller")]
    assert sorted(clear) == sorted([*callers, "demo-operator-key"])
    for key in callers:
        found = settings.caller_by_key(hashlib.sha256(key.encode()).hexdigest())
        assert found is not None and key.endswith(found[0])
    key = hashlib.sha256(b"demo-operator-key").hexdigest()
    found = settings.operator_by_key(key)
    assert found is not None and found[1].roles == ["read", "edit", "drain"]
    assert settings.caller_by_key(key) is None


@pytest.mark.parametrize("name", EXPECTED_BY_DEPLOYMENT)
def test_workload_fits_the_tree(name):
    """Guards against a workload that does not fit the settings tree."""
    settings, workload, expected = (
        read_settings(name),
        read_workload(name),
        EXPECTED_BY_DEPLOYMENT[name],
    )
    for key in ("executors", "workers", "workers_per_rack"):
        assert workload["sizes"][key] == expected[key]
    sizes = workload["sizes"]
    assert (sizes["worker_cores"], sizes["worker_memory_gb"]) == (64, 250)
    assert sizes["entry_instances"] in (6, 7)
    for each in workload["desk"]:
        caller = settings.caller(each["caller"])
        assert each["service"] in caller.services
        assert each["peak_requests_per_s"] <= caller.requests_per_s
        assert each["deadline_ms"] <= settings.service(each["service"]).timeout_ms
    for each in workload["jobs"] + workload["watchers"]:
        assert settings.caller(each["caller"]).team == each["team"]
        assert settings.team(each["team"]).quota_cores >= each["cores"]
    for each in workload["watchers"]:
        assert set(each["names"]) == set(settings.names("watcher"))
