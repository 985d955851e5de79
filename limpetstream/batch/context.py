"""What the holders of workers need from the rest of the process."""

import dataclasses
from collections.abc import Callable
from typing import Any

from limpetstream import clock
from limpetstream.batch import colocation, jobs, usage_estimates


@dataclasses.dataclass(slots=True)
class Context:
    """Parts of one entry instance that batch work uses.

    Args:
        clock: Time of this process.
        view: View of the control stream.
        state: Folded batch state.
        committer: Appends records and reads them back.
        membership_agent: Rights that this instance holds.
        workers: Client of the platform's workers.
        tree: Settings tree.
        directory: Directory of instances.
        metrics: Counters and gauges.
        on_samples: Told about all usage samples. They are the largest part of
            the bytes for control, so one reader serves batch and desk.
        learned: What was learned from usage samples.
        policy: Decides the steps of colocation on one worker.
    """

    clock: clock.Clock
    view: Any
    state: jobs.Jobs
    committer: Any
    membership_agent: Any
    workers: Any
    tree: Any
    directory: Any
    metrics: Any
    usage_model: usage_estimates.UsageModel = dataclasses.field(
        default_factory=usage_estimates.UsageModel
    )
    policy: Callable[..., list[colocation.Action]] = colocation.decide
    on_samples: Callable[[list[Any]], None] = lambda samples: None
