"""Runs the demonstration of one deployment and checks its results.

It starts stand-ins of the platform and the backend servers, and entry
instances, as processes; ``demo.scenario`` lists the events.

``python -m demo --deployment brightwater|alto-valle``
"""

import asyncio
import sys
import time

import fire

from demo import cluster, operations, results, scenario
from standins import layouts, processes

# With the 5 s that ending the processes may take, a run stays under a minute.
TIME_LIMIT_S = 54.0

LOGS_HINT = f"logs are in {cluster.DIRECTORY}"


def main(deployment: str = "brightwater", seed: int = 1) -> None:
    """Run the demonstration and print a table of its results.

    Exits with 0 only if nothing was lost, done twice, over capacity or late,
    no refused request has run, and the entry instance whose stop was planned
    cut off no request and exited with 0.

    Args:
        deployment: ``brightwater`` or ``alto-valle``.
        seed: Seed of the load and the stand-ins.
    """
    # The layout "none" has no workers.
    if deployment not in set(layouts.layout_by_name) - {"none"}:
        sys.exit(f"unknown deployment: {deployment}")
    started_at = time.monotonic()

    def print_progress(message: str) -> None:
        print(f"{time.monotonic() - started_at:5.1f} s  {message}", flush=True)

    async def run_with_time_limit() -> results.Results:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await scenario.run(
                deployment, seed=seed, print_progress=print_progress
            )

    try:
        outcome = asyncio.run(run_with_time_limit())
    except TimeoutError:
        sys.exit(
            f"demonstration failed: not done after {TIME_LIMIT_S:.0f} s; {LOGS_HINT}"
        )
    except (
        processes.ProcessFailed,
        operations.CallFailed,
        OSError,
        ValueError,
    ) as error:
        sys.exit(f"demonstration failed: {error}; {LOGS_HINT}")
    seconds = time.monotonic() - started_at
    title = f"{deployment}, seed {seed}, {seconds:.1f} s"
    print(f"\n{results.render(outcome, title=title)}")
    sys.exit(0 if outcome.passed else 1)


if __name__ == "__main__":
    fire.Fire(main)
