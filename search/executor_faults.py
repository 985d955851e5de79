"""Faults and changes of executors: they come, leave, move and refuse work.

A fault is told the member and the executor of the event that it follows, as
in ``overlapping_faults``.
"""

import dataclasses
import random
from collections.abc import Callable

from limpetstream.executors import messages
from search import fault_world

World = fault_world.World


def come(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Let one to three executors come in addition."""
    for _ in range(generator.randint(1, 3)):
        world.later(generator.uniform(0.0, 2.0), world.join)


def drain(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Let executors announce that they leave, and leave; others come.

    Some are cut off just as they leave.
    """
    for executor_id in _pick_ready(world, generator, executor, 3):
        remaining_s = generator.uniform(1.5, 9.0)
        _announce(world, executor_id, remaining_s)
        if generator.random() < 0.35:
            cut_s = generator.uniform(0.1, 2.0)
            _later_cut(world, executor_id, remaining_s - cut_s, cut_s)
        world.later(remaining_s, _leaving(world, generator, executor_id))
        world.later(generator.uniform(0.0, remaining_s + 3.0), world.join)


def _announce(world: World, executor_id: str, remaining_s: float) -> None:
    executor = world.cluster.executor_by_id[executor_id]
    executor.listing = dataclasses.replace(
        executor.listing,
        state=messages.DRAINING,
        remaining_ms=int(remaining_s * 1000),
    )
    world.hold(remaining_s, (fault_world.LEAVING, executor_id))
    world.list_again(executor)


def _later_cut(world: World, executor_id: str, at: float, cut_s: float) -> None:
    world.later(
        max(0.0, at), lambda: world.hold(cut_s + 0.1, ("executor", executor_id))
    )


def _leaving(
    world: World, generator: random.Random, executor_id: str
) -> Callable[[], None]:
    unlisted_after_s = generator.choice([0.0, generator.uniform(0.0, 3.0)])
    is_replaced = generator.random() < 0.4

    def act() -> None:
        if executor_id in world.cluster.executor_by_id:
            world.remove(
                executor_id,
                unlisted_after_s=unlisted_after_s,
                is_replaced=is_replaced,
                is_followed=False,
            )

    return act


def leave_for_good(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Remove an executor without a word; one or two others come."""
    for executor_id in _pick_ready(world, generator, executor, 1):
        world.remove(
            executor_id,
            unlisted_after_s=generator.uniform(0.0, 3.0),
            is_replaced=generator.random() < 0.4,
            is_followed=False,
        )
    for _ in range(generator.choice([1, 2])):
        world.later(generator.uniform(0.0, 5.0), world.join)


def move(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Restart an executor at another address; its id stays.

    At the former address another executor answers, or none.
    """
    for executor_id in _pick_ready(world, generator, executor, 1):
        world.move(
            executor_id,
            down_s=generator.uniform(0.3, 0.7),
            is_taken=generator.random() < 0.5,
        )


def relabel(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Change the rack and the data centre that an executor announces."""
    for executor_id in _pick_ready(world, generator, executor, 2):
        found = world.cluster.executor_by_id[executor_id]
        kind, _rack = found.listing.labels
        found.listing = dataclasses.replace(
            found.listing,
            labels=(kind, f"rack-{generator.randint(0, 2)}"),
            data_centre=generator.choice(["a", "b"]),
        )
        world.list_again(found)


def lapse(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Let the entries of executors that go on be missing for a while."""
    for executor_id in _pick_ready(world, generator, executor, 3):
        world.cluster.unlist_executor(executor_id)
        seconds = generator.uniform(0.3, 6.0)
        world.hold(seconds, ("unlisted", executor_id))
        found = world.cluster.executor_by_id[executor_id]
        world.later(seconds, lambda found=found: world.list_again(found))


def refuse(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Let executors refuse all starts for a while."""
    chosen = _pick_ready(world, generator, executor, 3)
    keys = [("refuses", executor_id) for executor_id in chosen]
    world.hold(generator.uniform(0.5, 6.0), *keys)


def lose_orders(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Lose starts, or stops, or both; polls are answered all the while."""
    kinds = generator.choice([["start"], ["stop"], ["start", "stop"]])
    chosen = _pick_ready(world, generator, executor, 3)
    keys = [(f"lost {kind}", each) for kind in kinds for each in chosen]
    world.hold(generator.uniform(1.0, 9.0), *keys)


def fail_runs(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the runs of some executors fail; sometimes also new ones."""
    chosen = _pick_ready(world, generator, executor, 4)
    for executor_id in chosen:
        world.cluster.executor_by_id[executor_id].fail_runs()
    if generator.random() < 0.5:
        keys = [("fails", executor_id) for executor_id in chosen]
        world.hold(generator.uniform(0.2, 1.0), *keys)
    world.note_change()


def close_data_centre(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the operator close a data centre, and open it again."""
    world.close_data_centre(generator.choice(["a", "b"]))
    world.later(generator.uniform(1.0, 12.0), world.open_data_centres)


def _pick_ready(
    world: World, generator: random.Random, executor: str, most: int
) -> list[str]:
    """Return executors that do not leave; often with that of the event.

    At least four others stay, one of them with accelerators.
    """
    ready = [
        executor_id
        for executor_id, found in world.cluster.executor_by_id.items()
        if found.listing.state == messages.READY
    ]
    spared = [each for each in ready if _is_large(world, each)][:1]
    candidates = [each for each in ready if each not in spared]
    count = min(generator.randint(1, most), len(ready) - 4, len(candidates))
    chosen = generator.sample(candidates, max(0, count))
    if chosen and executor in candidates and executor not in chosen:
        if generator.random() < 0.6:
            chosen[0] = executor
    return chosen


def _is_large(world: World, executor_id: str) -> bool:
    listing = world.cluster.executor_by_id[executor_id].listing
    return fault_world.LARGE in listing.labels


FAULTS = {
    function.__name__: (function, weight)
    for function, weight in (
        (come, 2),
        (drain, 6),
        (leave_for_good, 2),
        (move, 3),
        (relabel, 2),
        (lapse, 2),
        (refuse, 2),
        (lose_orders, 4),
        (fail_runs, 3),
        (close_data_centre, 2),
    )
}
