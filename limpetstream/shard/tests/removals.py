"""Catalogue of what design.md 11.3 and 11.8 rest on, which can be removed.

Those are the checks of 11.3, and the ends of the waits of 11.8 with the bounds
of these. A removal replaces a text in the source of one function while a
context is open; a changed constant gets another value. The test that guards
the check or the end fails then.
"""

import contextlib
import importlib
import inspect
import textwrap
from collections.abc import Iterator
from types import FunctionType, ModuleType

from limpetstream.shard.tests import (
    late_constants,
    late_ends,
    removals_of_places,
    removals_of_quorum,
    removals_of_rounds,
    removals_of_runs,
    removals_of_searches,
    removals_of_store,
    removals_of_times,
    removals_of_waits,
    removed_checks,
)

REMOVALS = [
    *removals_of_runs.REMOVALS,
    *removals_of_store.REMOVALS,
    *removals_of_quorum.REMOVALS,
    *removals_of_times.REMOVALS,
    *removals_of_rounds.REMOVALS,
    *removals_of_waits.REMOVALS,
    *removals_of_places.REMOVALS,
    *removals_of_searches.REMOVALS,
    *late_ends.REMOVALS,
]
REMOVAL_BY_NAME = {removal.name: removal for removal in REMOVALS}
CHANGES: list[removed_checks.Change] = [*REMOVALS, *late_constants.CONSTANTS]
CHANGE_BY_NAME = {change.name: change for change in CHANGES}
NAMES_OF_WAITS = [
    change.name
    for change in (
        *removals_of_waits.REMOVALS,
        *removals_of_places.REMOVALS,
        *removals_of_searches.REMOVALS,
        *late_ends.REMOVALS,
        *late_constants.CONSTANTS,
    )
]


def main_removals() -> list[removed_checks.Removal]:
    """Return the first removal of each row, which stands for the row."""
    first_by_row: dict[str, removed_checks.Removal] = {}
    for removal in REMOVALS:
        first_by_row.setdefault(removal.row, removal)
    return list(first_by_row.values())


@contextlib.contextmanager
def removed(name: str) -> Iterator[None]:
    """Make a change, and those that are made with it, for a while.

    Raises:
        KeyError: There is no such change.
        ValueError: The old text does not occur exactly once.
    """
    change = CHANGE_BY_NAME[name]
    with contextlib.ExitStack() as stack:
        for each in (change, *(CHANGE_BY_NAME[other] for other in change.also)):
            if isinstance(each, removed_checks.ChangedConstant):
                stack.enter_context(_changed(each))
            else:
                stack.enter_context(_replaced(each))
        yield


@contextlib.contextmanager
def _changed(change: removed_checks.ChangedConstant) -> Iterator[None]:
    """Give a constant another value; restore it."""
    module = importlib.import_module(change.module)
    original = getattr(module, change.constant)
    setattr(module, change.constant, change.value)
    try:
        yield
    finally:
        setattr(module, change.constant, original)


@contextlib.contextmanager
def _replaced(removal: removed_checks.Removal) -> Iterator[None]:
    """Execute one function again with its text replaced; restore it."""
    owner, name = find_owner(removal)
    original = vars(owner)[name]
    source = find_source(removal)
    if source.count(removal.old) != 1:
        raise ValueError(f"{removal.name}: {removal.old!r} has to occur once")
    module = importlib.import_module(removal.module)
    setattr(owner, name, _execute(module, name, source, removal))
    try:
        yield
    finally:
        setattr(owner, name, original)


def _execute(
    module: ModuleType, name: str, source: str, removal: removed_checks.Removal
) -> FunctionType:
    """Return the changed function; its globals are those of the module."""
    changed = source.replace(removal.old, removal.new)
    code = compile(changed, f"<{removal.name}>", "exec")
    defined: dict[str, FunctionType] = {}
    exec(code, vars(module), defined)
    return defined[name]


def find_owner(removal: removed_checks.Removal) -> tuple[ModuleType | type, str]:
    """Return the module or class of the function, and its name there."""
    owner: ModuleType | type = importlib.import_module(removal.module)
    *classes, name = removal.function.split(".")
    for each in classes:
        owner = getattr(owner, each)
    return owner, name


def find_source(removal: removed_checks.Removal) -> str:
    """Return the source of the function, with its decorators."""
    owner, name = find_owner(removal)
    return textwrap.dedent(inspect.getsource(inspect.unwrap(vars(owner)[name])))
