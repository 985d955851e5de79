"""Runs benches by name: ``python -m bench --name routing --seed 7``."""

import importlib
import pathlib
import sys

import fire

from bench import result

SUPPORT_MODULES = {"__init__", "__main__", "result"}
DEFAULT_SEED = 20261204


def measurement_names() -> list[str]:
    """Return the names of all measurements: the public modules in bench."""
    folder = pathlib.Path(__file__).parent
    return sorted(
        path.stem
        for path in folder.glob("*.py")
        if path.stem not in SUPPORT_MODULES and not path.stem.startswith("_")
    )


def main(name: str = "all", seed: int = DEFAULT_SEED) -> None:
    """Run one measurement or all of them.

    Exits with 1 if a bound does not hold.

    Args:
        name: Name of a measurement, or ``all``.
        seed: Seed of its random numbers.
    """
    chosen_names = measurement_names() if name == "all" else [name]
    if name != "all" and name not in measurement_names():
        sys.exit(
            f"no measurement {name!r}; the names are {', '.join(measurement_names())}"
        )
    all_hold = True
    for each in chosen_names:
        measured: result.Result = importlib.import_module(f"bench.{each}").run(seed)
        measured.write()
        print(measured.render(), flush=True)
        all_hold = all_hold and measured.holds
    sys.exit(0 if all_hold else 1)


if __name__ == "__main__":
    fire.Fire(main)
