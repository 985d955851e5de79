"""Test data: waiting tasks of organisations, and their use."""

from hypothesis import strategies

from limpetstream.organisations import shares
from limpetstream.workflow import messages, state

# Powers of two keep the levels exact, so that equal ones compare as equal.
CAPACITY = (128, 64, 32)
NAMES = ["", "desk", "press", "archive", "removed"]
WEIGHTS = strategies.sampled_from([0.25, 1.0, 2.0, 8.0])
AMOUNTS = strategies.tuples(*(strategies.integers(0, 16) for _ in range(3)))
# Name of the organisation, need, priority, due time, and whether it is
# long-running.
TASKS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        AMOUNTS,
        strategies.integers(0, 1),
        strategies.integers(0, 5),
        strategies.booleans(),
    ),
    max_size=40,
)


def make_task(
    organisation: str = "",
    need: tuple[int, int, int] = (1, 1, 0),
    priority: int = 0,
    due_ms: float = 0.0,
    long_running: bool = False,
) -> state.Task:
    """Return the only task of a new job; its name holds its key."""
    step = messages.Step(1, *need, long_running=long_running)
    job = state.Job(
        messages.Submission("", "", "", "", [step], organisation=organisation)
    )
    task = state.get_occurrence(job, 0).tasks_by_step[0][0]
    task.name = f"{int(not long_running)} {priority} {due_ms}"
    return task


def key_of(task: state.Task) -> shares.Key:
    """Return the key of a task that ``make_task`` returned."""
    task_class, priority, due_ms = task.name.split()
    return int(task_class), int(priority), float(due_ms)


def need_of(task: state.Task) -> tuple[int, int, int]:
    """Return what a task needs."""
    step = task.step
    return step.cpu_millicores, step.memory_mb, step.accelerators
