"""Demonstration: ``python -m demo --deployment brightwater|alto-valle``."""

import asyncio
import sys
import time

import fire

from demo import cluster, operations, results, scenario
from standins import layouts, processes

LONGEST_S = 54.0  # With 5 s to end the processes it stays under a minute.

LOGS = f"logs are in {cluster.DIRECTORY}"


def main(deployment: str = "brightwater", seed: int = 1) -> None:
    """Run the demonstration and print its table.

    Exits 0 only if nothing was lost, done twice or over capacity.
    """
    if deployment not in set(layouts.layout_by_name) - {"none"}:
        sys.exit(f"no such deployment: {deployment}")
    began_at = time.monotonic()

    def say(line: str) -> None:
        print(f"{time.monotonic() - began_at:5.1f} s  {line}", flush=True)

    async def limited() -> results.Results:
        async with asyncio.timeout(LONGEST_S):
            return await scenario.run(deployment, seed=seed, say=say)

    try:
        result = asyncio.run(limited())
    except TimeoutError:
        sys.exit(f"demonstration failed: not done after {LONGEST_S:.0f} s; {LOGS}")
    except (
        processes.ProcessFailed,
        operations.CallFailed,
        OSError,
        ValueError,
    ) as error:
        sys.exit(f"demonstration failed: {error}; {LOGS}")
    seconds = time.monotonic() - began_at
    title = f"{deployment}, seed {seed}, {seconds:.1f} s"
    print(f"\n{results.render(result, title=title)}")
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    fire.Fire(main)
