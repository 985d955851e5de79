"""Tests that checks and ends of design.md have tests that notice removals."""

import importlib
import pathlib

import pytest

import limpetstream
from limpetstream.shard.tests import late_constants, removals, removals_of_waits

PACKAGE = pathlib.Path(limpetstream.__file__).parent
# A changed function that does not fit its module proves nothing.
PROGRAM_ERRORS = ("NameError", "SyntaxError", "AttributeError", "TypeError")


class Outcomes:
    """Collects how tests have ended in a run of pytest."""

    def __init__(self):
        self.passed = set()
        self.failed = {}

    def pytest_runtest_logreport(self, report):
        if report.when == "call" and report.passed:
            self.passed.add(report.nodeid)
        elif report.failed:
            self.failed[report.nodeid] = report

    def is_program_error(self):
        """Return whether a test failed by an error of the changed program."""
        return any(
            report.when != "call"
            or report.longrepr.reprcrash.message.startswith(PROGRAM_ERRORS)
            for report in self.failed.values()
        )


def run_tests(tests):
    """Run tests, given relative to the package, in this process."""
    outcomes = Outcomes()
    options = ["-p", "no:terminal", "-p", "no:timeout", "-p", "no:cacheprovider"]
    options += ["-o", "addopts=", "--import-mode=importlib", "-W", "ignore"]
    pytest.main(
        [*options, *(str(PACKAGE / test) for test in tests)], plugins=[outcomes]
    )
    return outcomes


def named_tests():
    """Return the tests of the catalogue."""
    return sorted({each.test for each in removals.CHANGES if each.test})


@pytest.mark.parametrize("name", removals.REMOVAL_BY_NAME)
def test_the_text_of_a_check_occurs_once(name):
    """Guards against a removal that removes nothing, or another check."""
    removal = removals.REMOVAL_BY_NAME[name]
    source = removals.find_source(removal)
    assert source.count(removal.old) == 1
    owner, function = removals.find_owner(removal)
    before = getattr(owner, function)
    with removals.removed(name):
        assert getattr(owner, function) is not before
    assert getattr(owner, function) is before


@pytest.mark.parametrize(
    "change", late_constants.CONSTANTS, ids=lambda change: change.name
)
def test_a_changed_constant_gets_its_value_back(change):
    """Guards against a change that changes nothing, or stays."""
    module = importlib.import_module(change.module)
    before = getattr(module, change.constant)
    assert before != change.value
    with removals.removed(change.name):
        assert getattr(module, change.constant) == change.value
    assert getattr(module, change.constant) == before


def test_names_of_removals_are_unique():
    """Guards against an entry that hides another one."""
    assert len(removals.CHANGE_BY_NAME) == len(removals.CHANGES)


def test_a_row_without_an_end_has_no_change():
    """Guards against a search for what nobody promises."""
    outside = removals_of_waits.ROWS_WITHOUT_END
    assert not outside.keys() & {change.row for change in removals.CHANGES}


def test_each_row_has_one_main_removal():
    """Guards against a search that misses a row of the table."""
    rows = [removal.row for removal in removals.main_removals()]
    assert sorted(rows) == sorted({removal.row for removal in removals.REMOVALS})


def test_named_tests_pass_with_all_checks_in_place():
    """Guards against a named test that always fails, or does not exist."""
    tests = named_tests()
    outcomes = run_tests(tests)
    assert not outcomes.failed
    assert len(outcomes.passed) == len(tests)


@pytest.mark.parametrize("name", [each.name for each in removals.CHANGES if each.test])
def test_a_named_test_fails_without_its_check(name):
    """Guards against a check that no test notices when it is removed."""
    with removals.removed(name):
        outcomes = run_tests([removals.CHANGE_BY_NAME[name].test])
    assert outcomes.failed
    assert not outcomes.is_program_error()
