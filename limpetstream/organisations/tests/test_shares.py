"""Tests of the order of waiting tasks by the shares of organisations."""

import fractions

import hypothesis
import pytest
from hypothesis import strategies

from limpetstream import amounts
from limpetstream.organisations import shares
from limpetstream.organisations.tests import share_builders as builders


def level_of(use, weight, capacity):
    """Return the dominant share over the weight, exactly."""
    return max(
        fractions.Fraction(used, whole) / fractions.Fraction(weight)
        for used, whole in zip(use, capacity, strict=True)
    )


def fill_naively(tasks, weights, uses, largest_free):
    """Return tasks of one group: each turn goes to the lowest level."""
    uses, left, ordered = dict(uses), list(tasks), []
    while left:
        task = min(
            left,
            key=lambda each: level_of(
                uses.get(each.job.submission.organisation, amounts.ZERO),
                weights.get(each.job.submission.organisation, 1.0),
                builders.CAPACITY,
            ),
        )
        left.remove(task)
        ordered.append(task)
        need, name = builders.need_of(task), task.job.submission.organisation
        if amounts.fits(need, largest_free):
            uses[name] = amounts.add(uses.get(name, amounts.ZERO), need)
    return ordered


@hypothesis.given(
    builders.TASKS,
    strategies.dictionaries(
        strategies.sampled_from(["desk", "press", "archive"]), builders.WEIGHTS
    ),
    strategies.dictionaries(strategies.sampled_from(builders.NAMES), builders.AMOUNTS),
    builders.AMOUNTS,
)
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_the_order_is_that_of_a_naive_filling(rows, weights, uses, largest_free):
    """Guards against a turn for an organisation that is not the lowest.

    This covers classes, priorities, the order within an organisation, the
    largest of three shares, and tasks that fit nowhere.
    """
    tasks = [builders.make_task(*row) for row in rows]
    ordered = shares.order(
        tasks, builders.key_of, weights, uses, builders.CAPACITY, largest_free
    )
    in_order = sorted(tasks, key=builders.key_of)
    expected = []
    for group in sorted({builders.key_of(task)[:2] for task in tasks}):
        members = [task for task in in_order if builders.key_of(task)[:2] == group]
        if not members[0].step.long_running:
            members = fill_naively(members, weights, uses, largest_free)
        expected += members
    assert ordered == expected


def names(tasks):
    """Return the organisations of tasks."""
    return [task.job.submission.organisation for task in tasks]


def test_a_hot_organisation_waits_behind_its_own_work():
    """Guards against others that wait behind the backlog of one."""
    tasks = [builders.make_task("hot", due_ms=number) for number in range(1000)]
    tasks += [builders.make_task(f"o{number}", due_ms=2000) for number in range(9)]
    use = {"hot": (100, 100, 0)}
    ordered = shares.order(tasks, builders.key_of, {}, use, builders.CAPACITY)
    assert "hot" not in names(ordered[:9])


def test_turns_are_in_proportion_to_weights():
    """Guards against a weight that is ignored or divided the wrong way."""
    tasks = [builders.make_task(name) for name in ("desk", "press") for _ in range(40)]
    weights = {"desk": 3.0, "press": 1.0}
    ordered = shares.order(tasks, builders.key_of, weights, {}, builders.CAPACITY)
    assert names(ordered[:40]).count("desk") == 30


def test_a_very_small_weight_does_not_starve():
    """Guards against an organisation that never runs a task.

    Before its first task its level is 0, whatever its weight.
    """
    tasks = [builders.make_task("small", due_ms=9)]
    tasks += [builders.make_task("desk") for _ in range(100)]
    weights, use = {"small": 1e-9, "desk": 100.0}, {"desk": (1, 1, 0)}
    ordered = shares.order(tasks, builders.key_of, weights, use, builders.CAPACITY)
    assert names(ordered[:1]) == ["small"]


def test_an_organisation_without_a_positive_weight_comes_last():
    """Guards against a division by a weight of 0 in a pass."""
    tasks = [builders.make_task("none"), builders.make_task("none")]
    tasks += [builders.make_task("desk", due_ms=number) for number in range(3)]
    weights = {"none": 0.0}
    ordered = shares.order(tasks, builders.key_of, weights, {}, builders.CAPACITY)
    assert names(ordered) == ["desk"] * 3 + ["none"] * 2


def test_a_resource_that_no_executor_has_is_no_share():
    """Guards against a division by 0 without accelerators."""
    tasks = [builders.make_task("desk", (1, 1, 1)), builders.make_task("press")]
    ordered = shares.order(tasks, builders.key_of, {}, {}, (10, 10, 0))
    assert names(ordered) == ["desk", "press"]


@pytest.mark.parametrize("need", [(9, 1, 1), (1, 9, 1), (1, 1, 9)])
def test_a_task_that_lacks_one_resource_does_not_count(need):
    """Guards against turns that a task costs which fits nowhere."""
    tasks = [builders.make_task("desk", need), builders.make_task("press", due_ms=1)]
    tasks += [builders.make_task(name, due_ms=2) for name in ("desk", "press")]
    free = (8, 8, 8)
    ordered = shares.order(tasks, builders.key_of, {}, {}, builders.CAPACITY, free)
    assert names(ordered) == ["desk", "press", "desk", "press"]


@pytest.mark.parametrize("use", [(4, 0, 0), (0, 4, 0), (0, 0, 4)])
def test_the_largest_share_of_a_resource_counts(use):
    """Guards against a resource that is shared without a limit."""
    tasks = [builders.make_task("desk"), builders.make_task("press", due_ms=1)]
    ordered = shares.order(
        tasks, builders.key_of, {}, {"desk": use}, builders.CAPACITY, (8, 8, 8)
    )
    assert names(ordered) == ["press", "desk"]


def test_best_effort_tasks_count_without_free_processors():
    """Guards against best-effort work that never counts on a full service."""
    tasks = [builders.make_task(name) for name in ("desk", "press") for _ in range(2)]
    for task in tasks:
        task.step.fills = True
    free = (0, 100, 0)
    ordered = shares.order(tasks, builders.key_of, {}, {}, builders.CAPACITY, free)
    assert names(ordered) == ["desk", "press", "desk", "press"]


def test_only_what_a_pass_can_place_is_counted(monkeypatch):
    """Guards against a pass that takes longer the more tasks wait."""
    counted = []
    add = shares._Filling.add
    monkeypatch.setattr(
        shares._Filling, "add", lambda *args: counted.append(args) or add(*args)
    )
    tasks = [builders.make_task("desk", due_ms=number) for number in range(1000)]
    ordered = shares.order(tasks, builders.key_of, {}, {}, builders.CAPACITY)
    assert ordered == tasks
    assert len(counted) == shares.MAX_COUNTED_TASKS


@pytest.mark.parametrize("weight", [0.0, -1.0, 5e-324, float("nan")])
def test_an_unusable_weight_comes_last_and_disturbs_no_order(weight):
    """Guards against levels that are no number, which no sort can order."""
    names = ["desk", "press", "archive"] * 3
    tasks = [builders.make_task(name, due_ms=i) for i, name in enumerate(names)]
    weights = {"desk": weight}
    ordered = shares.order(tasks, builders.key_of, weights, {}, builders.CAPACITY)
    assert [task.job.submission.organisation for task in ordered] == [
        *["press", "archive"] * 3,
        *["desk"] * 3,
    ]
