"""Placement decisions against a naive scan, at three sizes."""

import gc
import time

from bench import _loaded_system, _reference_placement, result
from limpetstream.batch import placement

SIZES = (23, 230, 2300)
COMPARED = 600
TIMED = 3000
MAX_ROUNDS = 300
MAX_RATIO = 3.0
MIN_RATE = 1700.0
MIN_SCORE = 0.95


def run(seed: int) -> result.Result:
    """Measure both variants at all sizes in one run."""
    figures: dict[str, object] = {}
    verdicts, worst_score, us_by_size = 0, 1.0, {}
    for size in SIZES:
        system = _loaded_system.make(seed, size)
        figures[f"running tasks at {size} workers"] = len(system.placed_tasks)
        differ, worst, index_us, scan_us = _compare(system)
        verdicts += differ
        worst_score = min(worst_score, worst)
        per_decision_us = _rounds_us(system)
        us_by_size[size] = per_decision_us
        figures[f"index, one choice at {size} (us)"] = round(index_us, 1)
        figures[f"scan, one choice at {size} (us)"] = round(scan_us, 1)
        figures[f"index over scan at {size}"] = round(index_us / scan_us, 4)
        figures[f"whole decision at {size} (us)"] = round(per_decision_us, 1)
    rate = 1e6 / us_by_size[2300]
    ratio = us_by_size[2300] / us_by_size[230]
    figures["decisions a second at 2300 workers"] = round(rate)
    figures["decision at 2300 over decision at 230"] = round(ratio, 2)
    figures["verdicts that differ"] = verdicts
    figures["worst score over the scan's best"] = round(worst_score, 4)
    bounds = {
        "same feasibility verdicts as the scan": verdicts == 0,
        "score within 5% of the scan's": worst_score >= MIN_SCORE,
        "1,700 decisions a second on one core": rate >= MIN_RATE,
        "a decision at 2,300 costs at most 3 times that at 230": ratio <= MAX_RATIO,
    }
    return result.Result("placement", seed, figures, bounds)


def _compare(system: _loaded_system.System) -> tuple[int, float, float, float]:
    """Return differing verdicts, worst score ratio and microseconds each."""
    differ, worst, index_s, scan_s, count = 0, 1.0, 0.0, 0.0, 0
    while count < COMPARED:
        for task_id in system.submit(system.random.randrange(1, 12)):
            system.fleet.refresh()
            wish = system.fleet.placement_request(system.state.task_by_id[task_id])
            began = time.perf_counter()
            room = placement.choose(system.fleet.workers, wish)
            index_s += time.perf_counter() - began
            began = time.perf_counter()
            best = _reference_placement.best_score(
                system.fleet.workers.capacity_by_worker, wish
            )
            scan_s += time.perf_counter() - began
            count += 1
            if (room is None) != (best is None):
                differ += 1
            elif room is not None and best is not None:
                worst = min(worst, placement.score(room, wish) / best)
                task = system.state.task_by_id[task_id]
                team = system.state.job_by_id[task.job].submit.team
                if system.state.quota.denial_reason(team, task.size) is None:
                    system.place(task_id, room.id)
                    system.finish_some(1)
    return differ, worst, index_s / count * 1e6, scan_s / count * 1e6


def _rounds_us(system: _loaded_system.System) -> float:
    """Return microseconds per decision of whole rounds.

    A decision here has all its parts: order of teams, quota, delay by rank,
    choice of the worker and the update of the index.
    """
    decided, spent_s, now = 0, 0.0, 0.0
    gc.collect()
    for _ in range(MAX_ROUNDS):
        if decided >= TIMED:
            break
        for _ in range(60):
            system.submit(system.random.randrange(1, 12))
        system.fleet.refresh()
        # The first look reckons delays by rank; the second one is past them.
        began = time.perf_counter()
        picks = system.planner.choose(now, set(), set())
        now += 100.0
        picks += system.planner.choose(now, set(), set())
        spent_s += time.perf_counter() - began
        system.fleet.dirty.update(dict.fromkeys(system.fleet.instance_by_id))
        decided += len(picks)
        for pick in {pick.task: pick for pick in picks}.values():
            system.place(pick.task, pick.worker)
        system.finish_some(len(picks))
    return spent_s / decided * 1e6
