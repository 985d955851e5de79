"""Measures which removed checks and ends the search of schedules finds.

Plays with each change of the catalogue until a schedule is red that is clean
without the change. All changes are played with a few schedules before those
that are not found are played with more. The environment variables limit the
run: ``SCHEDULES``, ``PROCESSES``, ``REMOVALS`` (names, separated by commas, or
``all``; by default the ends of design.md 11.8) and ``DRAWS``: ``kinds`` for
every kind of task, ``rare`` for these with rare faults and wide jobs,
``faults`` for plain jobs with changes of owner.
"""

import concurrent.futures
import dataclasses
import functools
import os

from bench import overlapping_schedules, result
from limpetstream.shard.tests import removals
from search import plays

SCHEDULES = 1000
PROCESSES = 3
STAGES = (30, 100, 300)  # Schedules after which the next change has its turn.
# Kinds of the first fault, in turn by seed; empty for a drawn one.
FIRST_FAULTS = (
    "",
    "",
    "restart_after_claim",
    "isolated_after_split",
    "restart_half",
    "long_split",
)


@dataclasses.dataclass(slots=True)
class Search:
    """How far the search for one change has come.

    Args:
        name: Name of the change.
        played: Schedules played so far.
        red_seed: Seed that only the change makes red; None if there is none.
        breach: What was seen first with that seed.
    """

    name: str
    played: int = 0
    red_seed: int | None = None
    breach: str = ""

    def render(self) -> str:
        """Return the result as text."""
        if self.red_seed is None:
            return f"clean, {self.played} played"
        return f"seed {self.red_seed} red, {self.played} played: {self.breach}"


def run(seed: int) -> result.Result:
    """Play with each change.

    Args:
        seed: Seed of the first schedule; the others count up from it.
    """
    count = int(os.environ.get("SCHEDULES", SCHEDULES))
    process_count = int(os.environ.get("PROCESSES", PROCESSES))
    names = chosen_names(os.environ.get("REMOVALS", ""))
    draws = os.environ.get("DRAWS", "kinds")
    search_by_name = {name: Search(name) for name in names}
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        for stage in [*(each for each in STAGES if each < count), count]:
            searches = [
                each for each in search_by_name.values() if each.red_seed is None
            ]
            tasks = [pool.submit(find, each, seed, stage, draws) for each in searches]
            for task in concurrent.futures.as_completed(tasks):
                search = task.result()
                search_by_name[search.name] = search
                if search.red_seed is not None or stage == count:
                    print(f"{search.name}: {search.render()}", flush=True)
    found = sum(each.red_seed is not None for each in search_by_name.values())
    figures: dict[str, object] = {
        name: search.render() for name, search in search_by_name.items()
    }
    figures["found"] = f"{found} of {len(names)}"
    return result.Result(
        "search_power", seed, figures, {"every removal is found": found == len(names)}
    )


def chosen_names(chosen: str) -> list[str]:
    """Return the names of the changes to play with."""
    if not chosen:
        return removals.NAMES_OF_WAITS
    return list(removals.CHANGE_BY_NAME) if chosen == "all" else chosen.split(",")


def find(search: Search, first_seed: int, count: int, draws: str) -> Search:
    """Play with a change until a seed is red by it, or all have been played.

    Args:
        search: How far the search has come.
        first_seed: Seed of the first schedule.
        count: Number of schedules in all.
        draws: Which draws are played: ``kinds``, ``rare`` or ``faults``.
    """
    for played in range(search.played, count):
        seed = first_seed + played
        with removals.removed(search.name):
            outcome = _play(seed, draws)
        if outcome.breaches and not _is_red_without(seed, draws):
            return Search(search.name, played + 1, seed, outcome.breaches[0])
    return Search(search.name, count)


@functools.cache
def _is_red_without(seed: int, draws: str) -> bool:
    """Return whether a seed is red with everything in place."""
    return bool(_play(seed, draws).breaches)


def _play(seed: int, draws: str) -> plays.Outcome:
    if draws == "kinds":
        return overlapping_schedules.play_kinds(seed)
    if draws == "rare":
        return overlapping_schedules.play_rare(seed)
    first = FIRST_FAULTS[seed % len(FIRST_FAULTS)]
    return overlapping_schedules.play(seed, first)
