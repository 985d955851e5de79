"""Runs real processes under faults: kill, pause, outage and pairs of them."""

import asyncio

from bench import result
from demo import faults

REQUESTS_PER_S = 60.0
DEPLOYMENT = "brightwater"
MIN_ANSWERED = 0.99

# Duration of the load in seconds, and the faults by the second at which they
# begin.
SCENARIOS: dict[str, tuple[float, dict[float, faults.Fault]]] = {
    "kill": (14.0, {4.0: faults.kill(0)}),
    "pause 10 s": (20.0, {4.0: faults.pause(1, 10.0)}),
    "data centre out and back": (16.0, {4.0: faults.data_centre_out_and_back(6.0)}),
    "log outage 60 s": (70.0, {4.0: faults.log_outage(60.0)}),
    "lost answers": (16.0, {3.0: faults.lost_answers(0.2, 10.0)}),
    "kill, kill": (16.0, {4.0: faults.kill(0), 4.1: faults.kill(0)}),
    "kill, pause": (22.0, {4.0: faults.kill(0), 5.0: faults.pause(1, 10.0)}),
    "kill, data centre out": (
        18.0,
        {4.0: faults.data_centre_out_and_back(6.0), 5.0: faults.kill(0)},
    ),
    "log outage, kill": (24.0, {4.0: faults.log_outage(12.0), 7.0: faults.kill(0)}),
    "log outage, pause": (
        30.0,
        {4.0: faults.log_outage(16.0), 6.0: faults.pause(1, 10.0)},
    ),
    "log outage, lost answers": (
        24.0,
        {3.0: faults.lost_answers(0.2, 14.0), 5.0: faults.log_outage(8.0)},
    ),
}


def run(seed: int) -> result.Result:
    """Run all scenarios one after the other."""
    figures: dict[str, object] = {}
    breaches = 0
    outage_share = 1.0
    for number, (name, (seconds, fault_by_second)) in enumerate(SCENARIOS.items()):
        outcome = asyncio.run(
            faults.run(
                f"{number:02d}",
                fault_by_second,
                deployment=DEPLOYMENT,
                seconds=seconds,
                per_s=REQUESTS_PER_S,
                seed=seed,
            )
        )
        breaches += outcome.breaches
        if name == "log outage 60 s":
            outage_share = outcome.outage_share
        figures[name] = summary(outcome)
        print(f"{name}: {figures[name]}", flush=True)
    bounds = {
        "0 lost, done twice, over capacity, late or falsely refused": breaches == 0,
        f"idempotent requests answered in a log outage at {MIN_ANSWERED:.0%} or more": (
            outage_share >= MIN_ANSWERED
        ),
    }
    return result.Result("process_faults", seed, figures, bounds)


def summary(outcome: faults.Outcome) -> dict[str, object]:
    """Return the outcomes and the non-zero breaches of one scenario."""
    results = outcome.results
    figures: dict[str, object] = dict(results.outcomes)
    figures["breaches"] = outcome.breaches
    for group in ("lost", "done_twice", "over_capacity", "late_work"):
        counts = {
            name: count for name, count in getattr(results, group).items() if count
        }
        if counts:
            figures[group] = counts
    if results.refused_but_run:
        figures["refused_but_run"] = results.refused_but_run
    figures["outage_share"] = round(outcome.outage_share, 4)
    figures["tasks_finished"] = results.finished_tasks
    return figures
