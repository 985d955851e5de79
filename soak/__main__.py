"""Command line of the soak test.

Run it with ``python -m soak --first 1 --seeds 50 --seconds 30``.
"""

import asyncio
import dataclasses
import sys

import fire
import loguru
import msgspec

from soak import _run


def main(
    first: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    cuts: bool = True,
    leaves: bool = True,
    breaks: bool = True,
    restarts: bool = True,
    late_calls: bool = True,
    instances: int = _run.INSTANCES,
    executors: int = _run.EXECUTORS,
    organisations: bool = False,
) -> None:
    """Run seeds one after the other; exit 1 if a guarantee was violated.

    Args:
        first: First seed.
        seeds: Number of seeds.
        seconds: How long each run submits jobs and injects faults.
        cuts: Whether connections are also cut in one direction.
        leaves: Whether many executors also leave or restart at once.
        breaks: Whether connections to the store also break after an append.
        restarts: Whether executors also restart before the owner ends.
        late_calls: Whether some calls to these executors are carried out
            seconds late.
        instances: Number of instances.
        executors: Number of executors at the start.
        organisations: Whether organisations with keys and limits share the
            cluster.
    """
    loguru.logger.remove()
    failed_runs = 0
    for seed in range(first, first + seeds):
        outcome = asyncio.run(
            _run.run(
                seed,
                seconds=seconds,
                cuts=cuts,
                leaves=leaves,
                breaks=breaks,
                restarts=restarts,
                late_calls=late_calls,
                instances=instances,
                executors=executors,
                organisations=organisations,
            )
        )
        failed_runs += bool(outcome.findings)
        print(msgspec.json.encode(dataclasses.asdict(outcome)).decode(), flush=True)
    sys.exit(1 if failed_runs else 0)


if __name__ == "__main__":
    fire.Fire(main)
