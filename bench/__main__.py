"""Runs measurements: ``python -m bench --name routing --seed 7``."""

import importlib
import pathlib
import sys

import fire

from bench import result

SUPPORT_MODULES = {"__init__", "__main__", "result"}
DEFAULT_SEED = 20261204


def measurement_names() -> list[str]:
    """Return the names of all measurements, found by their files."""
    folder = pathlib.Path(__file__).parent
    return sorted(
        path.stem
        for path in folder.glob("*.py")
        if path.stem not in SUPPORT_MODULES and not path.stem.startswith("_")
    )


def main(name: str = "all", seed: int = DEFAULT_SEED) -> None:
    """Run one measurement or all of them; exit 1 if a bound does not hold."""
    chosen = measurement_names() if name == "all" else [name]
    if name != "all" and name not in measurement_names():
        sys.exit(
            f"no measurement {name!r}; there are: {', '.join(measurement_names())}"
        )
    holds = True
    for each in chosen:
        outcome: result.Result = importlib.import_module(f"bench.{each}").run(seed)
        outcome.write()
        print(outcome.render(), flush=True)
        holds = holds and outcome.holds
    sys.exit(0 if holds else 1)


if __name__ == "__main__":
    fire.Fire(main)
