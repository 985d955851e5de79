"""Result of one measurement: its figures, bounds, table and file."""

import dataclasses
import json
import pathlib

OUTPUT_DIRECTORY = pathlib.Path("build/bench")


@dataclasses.dataclass(slots=True)
class Result:
    """Figures and bounds of one measurement.

    Args:
        name: Name of the measurement.
        seed: Seed of its random numbers.
        figures: Measured values by name.
        bounds: Whether each bound holds, by its description.
    """

    name: str
    seed: int
    figures: dict[str, object]
    bounds: dict[str, bool]

    @property
    def holds(self) -> bool:
        """Whether every bound holds."""
        return all(self.bounds.values())

    def write(self) -> None:
        """Write the figures to ``build/bench/<name>.json``."""
        OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
        content = {
            "name": self.name,
            "seed": self.seed,
            "figures": self.figures,
            "bounds": self.bounds,
            "holds": self.holds,
        }
        path = OUTPUT_DIRECTORY / f"{self.name}.json"
        path.write_text(json.dumps(content, indent=1, default=str) + "\n")

    def render(self) -> str:
        """Return the figures and bounds as a text table."""
        rows = [f"{self.name} (seed {self.seed})"]
        rows += [f"  {key:<44} {value}" for key, value in self.figures.items()]
        rows += [
            f"  {'holds' if ok else 'DOES NOT HOLD':<14} {text}"
            for text, ok in self.bounds.items()
        ]
        return "\n".join(rows)
