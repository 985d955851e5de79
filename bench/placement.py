"""Measures placement decisions against a scan of all workers.

It does so at three sizes of the system.
"""

import gc
import time

from bench import _loaded_system, _reference_placement, result
from limpetstream.batch import placement

SIZES = (23, 230, 2300)
COMPARED_DECISIONS = 600
TIMED_DECISIONS = 3000
MAX_PASSES = 300
MAX_COST_RATIO = 3.0
MIN_DECISIONS_PER_S = 1700.0
MIN_SCORE_RATIO = 0.95


def run(seed: int) -> result.Result:
    """Measure the index and the scan at each size."""
    figures: dict[str, object] = {}
    differing_verdicts, worst_score_ratio, decision_us_by_size = 0, 1.0, {}
    for size in SIZES:
        system = _loaded_system.make(seed, size)
        figures[f"running tasks at {size} workers"] = len(system.placed_tasks)
        differing, worst_ratio, index_us, scan_us = _compare(system)
        differing_verdicts += differing
        worst_score_ratio = min(worst_score_ratio, worst_ratio)
        decision_us = _pass_us_per_decision(system)
        decision_us_by_size[size] = decision_us
        figures[f"index, one choice at {size} (us)"] = round(index_us, 1)
        figures[f"scan, one choice at {size} (us)"] = round(scan_us, 1)
        figures[f"index over scan at {size}"] = round(index_us / scan_us, 4)
        figures[f"whole decision at {size} (us)"] = round(decision_us, 1)
    decisions_per_s = 1e6 / decision_us_by_size[2300]
    cost_ratio = decision_us_by_size[2300] / decision_us_by_size[230]
    figures["decisions a second at 2300 workers"] = round(decisions_per_s)
    figures["decision at 2300 over decision at 230"] = round(cost_ratio, 2)
    figures["verdicts that differ"] = differing_verdicts
    figures["worst score over the scan's best"] = round(worst_score_ratio, 4)
    bounds = {
        "same feasibility verdicts as the scan": differing_verdicts == 0,
        "score within 5% of the scan's": worst_score_ratio >= MIN_SCORE_RATIO,
        "1,700 decisions a second on one core": decisions_per_s >= MIN_DECISIONS_PER_S,
        "a decision at 2,300 costs at most 3 times that at 230": cost_ratio
        <= MAX_COST_RATIO,
    }
    return result.Result("placement", seed, figures, bounds)


def _compare(system: _loaded_system.System) -> tuple[int, float, float, float]:
    """Compare decisions of the index with those of the scan.

    Returns:
        Number of decisions whose feasibility differs, the worst ratio of the
        scores, and the microseconds per decision of index and scan.
    """
    differing, worst_ratio, index_s, scan_s, decision_count = 0, 1.0, 0.0, 0.0, 0
    while decision_count < COMPARED_DECISIONS:
        for task_id in system.submit(system.random.randrange(1, 12)):
            system.fleet.refresh()
            request = system.fleet.placement_request(system.state.task_by_id[task_id])
            started = time.perf_counter()
            capacity = placement.choose(system.fleet.workers, request)
            index_s += time.perf_counter() - started
            started = time.perf_counter()
            best_score = _reference_placement.best_score(
                system.fleet.workers.capacity_by_worker, request
            )
            scan_s += time.perf_counter() - started
            decision_count += 1
            if (capacity is None) != (best_score is None):
                differing += 1
            elif capacity is not None and best_score is not None:
                worst_ratio = min(
                    worst_ratio, placement.score(capacity, request) / best_score
                )
                task = system.state.task_by_id[task_id]
                team = system.state.job_by_id[task.job].submit.team
                if system.state.quota.denial_reason(team, task.size) is None:
                    system.place(task_id, capacity.id)
                    system.finish_some(1)
    return (
        differing,
        worst_ratio,
        index_s / decision_count * 1e6,
        scan_s / decision_count * 1e6,
    )


def _pass_us_per_decision(system: _loaded_system.System) -> float:
    """Return the microseconds per decision of complete scheduling passes.

    Such a decision includes the order of teams, quotas, the delay by rank, the
    choice of a worker and the update of the index.
    """
    decided, elapsed_s, now = 0, 0.0, 0.0
    gc.collect()
    for _ in range(MAX_PASSES):
        if decided >= TIMED_DECISIONS:
            break
        for _ in range(60):
            system.submit(system.random.randrange(1, 12))
        system.fleet.refresh()
        # The first call sets the delays by rank; the second comes after them.
        started = time.perf_counter()
        picks = system.planner.choose(now, set(), set())
        now += 100.0
        picks += system.planner.choose(now, set(), set())
        elapsed_s += time.perf_counter() - started
        system.fleet.dirty.update(dict.fromkeys(system.fleet.instance_by_id))
        decided += len(picks)
        for pick in {pick.task: pick for pick in picks}.values():
            system.place(pick.task, pick.worker)
        system.finish_some(len(picks))
    return elapsed_s / decided * 1e6
