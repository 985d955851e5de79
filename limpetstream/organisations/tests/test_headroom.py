"""Tests of the headroom for organisations below their share."""

import pytest

from limpetstream.organisations import headroom, shares
from limpetstream.organisations.tests import share_builders as builders

# 100 cores, of which 3 are kept free.
CAPACITY = (100_000, 100_000, 0)
# Each is entitled to a quarter.
WEIGHTS = dict.fromkeys(("desk", "press", "archive", "mill"), 1.0)


def make_headroom(
    *, free, desk=0, press=0, long_running=0, largest_free=(64_000, 64_000, 0)
):
    """Return the headroom of a pass; all amounts are in cores."""
    used = {"desk": desk, "press": press}
    pool = shares.Pool(
        {name: (cores * 1000, 0, 0) for name, cores in used.items()},
        CAPACITY,
        largest_free,
        (free * 1000, free * 1000, 0),
        (long_running * 1000, 0, 0),
    )
    return headroom.Headroom(pool, WEIGHTS)


def make_task(organisation, cores=2, **changes):
    task = builders.make_task(organisation, (cores * 1000, 1, 0))
    for field, value in changes.items():
        setattr(task.step, field, value)
    return task


def kept(tasks, room):
    return headroom.leave(tasks, lambda _task: "service", {"service": room})


def test_an_organisation_over_its_share_leaves_the_headroom():
    """Guards against a long backlog that uses up all that becomes free."""
    tasks = [make_task("desk") for _ in range(4)]
    assert kept(tasks, make_headroom(free=8, desk=60, press=32)) == tasks[:2]


def test_an_organisation_below_its_share_uses_the_headroom():
    """Guards against headroom that nobody can use."""
    tasks = [make_task("press") for _ in range(4)]
    assert kept(tasks, make_headroom(free=8, desk=60, press=32)) == tasks


def test_starts_of_the_same_pass_count():
    """Guards against an organisation that exceeds its share in one pass."""
    tasks = [make_task("press") for _ in range(8)]
    # After three it has 51 of 100 cores, over twice its share.
    assert kept(tasks, make_headroom(free=9, desk=46, press=45)) == tasks[:3]


def test_long_running_capacity_is_no_part_of_the_shares():
    """Guards against shares of capacity that no short task can have."""
    room = make_headroom(free=8, desk=30, press=22, long_running=40)
    assert not room.is_over_share("desk")
    room = make_headroom(free=8, desk=31, press=21, long_running=40)
    assert room.is_over_share("desk")


@pytest.mark.parametrize("field", ["long_running", "fills"])
def test_other_tasks_need_not_leave_it(field):
    """Guards against lasting work without a run, and best-effort work."""
    tasks = [make_task("desk", **{field: True}) for _ in range(4)]
    assert kept(tasks, make_headroom(free=4, desk=70, press=20)) == tasks


def test_an_unused_resource_is_not_kept():
    """Guards against tasks that wait for memory that they do not need."""
    pool = shares.Pool(
        {"desk": (50_001, 0, 0)}, CAPACITY, (64_000, 0, 0), (50_000, 0, 0)
    )
    room = headroom.Headroom(pool, WEIGHTS)
    task = builders.make_task("desk", (2000, 0, 0))
    assert kept([task], room) == [task]


def test_a_task_that_fits_nowhere_does_not_count_as_started():
    """Guards against small tasks that starve behind a large one."""
    large, small = make_task("press", cores=6), make_task("press")
    room = make_headroom(free=6, desk=54, press=46, largest_free=(4000, 64_000, 0))
    assert kept([large, small], room) == [large, small]
    assert not room.is_over_share("press")


def test_a_large_task_of_an_organisation_over_its_share_stops_nothing():
    """Guards against runs that are stopped for one organisation's backlog."""
    room = make_headroom(free=8, desk=60, largest_free=(4000, 64_000, 0))
    assert not kept([make_task("desk", cores=6)], room)
    lasting = make_task("desk", cores=6, long_running=True)
    assert kept([lasting], room) == [lasting]
