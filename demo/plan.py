"""Defines the jobs, callers and load of the demonstration per deployment."""

import dataclasses
import hashlib
import pathlib
import re
from typing import Any

from standins import layouts, processes

OPERATOR_KEY = "demo-operator-key"
CALLER_KEY = re.compile(r"demo-caller-key-([a-z0-9]+(?:-[a-z0-9]+)*)")

LOAD_DURATION_S = 26.0
REQUESTS_PER_S = 60.0
NON_IDEMPOTENT_SHARE = 0.3
SETTLE_TIMEOUT_S = 14.0  # An attempt whose holder or worker is lost ends within 10.2 s.


@dataclasses.dataclass(slots=True)
class Job:
    """One job of the demonstration.

    Args:
        name: Name for messages.
        work_class: Class of the work.
        submit_at_s: Time of submission, in seconds after the start of load.
        kind: ``batch`` or ``watcher``.
        tasks: Number of its tasks.
        cores: Cores of each task.
        memory_gb: Memory of each task in GB.
        run_s: Run time of each task in seconds.
        checkpoint_s: Seconds between checkpoints.
        priority: ``urgent``, ``normal`` or ``low``.
        id: Id that the system assigned; empty until it is accepted.
    """

    name: str
    work_class: str
    submit_at_s: float
    kind: str = "batch"
    tasks: int = 8
    cores: float = 8.0
    memory_gb: float = 16.0
    run_s: float = 8.0
    checkpoint_s: float = 2.0
    priority: str = "normal"
    id: str = ""

    def to_wire(self) -> dict[str, Any]:
        """Return the body of ``POST /v1/jobs``."""
        task = {
            "count": self.tasks,
            "cores": self.cores,
            "memory_gb": self.memory_gb,
            "accelerators": 0,
            "run_s": self.run_s,
        }
        return {
            "kind": self.kind,
            "work_class": self.work_class,
            "priority": self.priority,
            "checkpoint_s": self.checkpoint_s,
            "tasks": [task],
        }


@dataclasses.dataclass(slots=True)
class Plan:
    """Plan of one demonstration.

    Args:
        deployment: Key of ``layouts.layout_by_name``.
        settings_file: Path of the settings tree, relative to the repository's
            root.
        desk_body: JSON in the body of each desk request.
        data_centre_out: Data centre that is taken out and brought back.
        jobs: Jobs that are submitted.
        key_by_caller: API key of each caller.
    """

    deployment: str
    settings_file: str
    desk_body: str
    data_centre_out: str
    jobs: list[Job]
    key_by_caller: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def layout(self) -> layouts.Layout:
        """Workers and executors of the deployment."""
        return layouts.layout_by_name[self.deployment]


def caller_keys_in(text: str) -> dict[str, str]:
    """Return the callers' keys in the comments of a settings file, by caller.

    A key counts only if the file also holds its hash, so that an explanation
    of the naming is not taken for a key.

    >>> import hashlib
    >>> key = "demo-caller-key-till"
    >>> caller_keys_in(f"// {key}, {hashlib.sha256(key.encode()).hexdigest()}")
    {'till': 'demo-caller-key-till'}
    >>> caller_keys_in("// keys are demo-caller-key-name")
    {}
    """
    key_by_name = {
        match.group(1): match.group(0) for match in CALLER_KEY.finditer(text)
    }
    return {
        name: key
        for name, key in sorted(key_by_name.items())
        if hashlib.sha256(key.encode()).hexdigest() in text
    }


def make(deployment: str) -> Plan:
    """Return the plan of a deployment, with the keys of its settings file.

    Raises:
        KeyError: No deployment has this name.
        OSError: Its settings file cannot be read.
        ValueError: The file contains no key of a caller.
    """
    plan = {"brightwater": _brightwater, "alto-valle": _alto_valle}[deployment]()
    path = pathlib.Path(processes.ROOT, plan.settings_file)
    plan.key_by_caller = caller_keys_in(path.read_text())
    if not plan.key_by_caller:
        raise ValueError(f"{plan.settings_file} contains no key demo-caller-key-NAME")
    return plan


def _brightwater() -> Plan:
    jobs = [
        Job(f"weekly planning {number}", "weekly-plan", submit_at_s=at_s)
        for number, at_s in enumerate((1.0, 2.0, 3.0, 12.0, 14.0), start=1)
    ]
    return Plan(
        "brightwater",
        "examples/brightwater.jsonc",
        '{"quote": "canopy", "panels": 8, "fabric": "acrylic-blue"}',
        "gl-huron",
        jobs,
    )


def _alto_valle() -> Plan:
    jobs = [
        Job(
            f"full-lot traceability {number}",
            "traceability",
            submit_at_s=at_s,
            tasks=10,
        )
        for number, at_s in enumerate((1.5, 2.5, 3.0, 12.0, 14.0), start=1)
    ]
    watcher_job = Job(
        "cold-room watchers",
        "cold-room",
        submit_at_s=0.5,
        kind="watcher",
        tasks=3,
        cores=1.0,
        memory_gb=2.0,
        priority="urgent",
    )
    return Plan(
        "alto-valle",
        "examples/alto-valle.jsonc",
        '{"ticket": "batch", "lot": "L-204", "gross_kg": 8140}',
        "galpon-sur",
        [watcher_job, *jobs],
    )
