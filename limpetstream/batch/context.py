"""Dependencies of batch scheduling on the rest of the process."""

import dataclasses
from collections.abc import Callable
from typing import Any

from limpetstream import clock
from limpetstream.batch import colocation, jobs, usage_estimates


@dataclasses.dataclass(slots=True)
class Context:
    """Parts of one entry instance that batch scheduling uses.

    Args:
        clock: Clocks of this process.
        view: View of the control stream.
        state: Batch state applied from the log.
        committer: Appends records and reads them back.
        membership_agent: Knows the rights that this instance may use now.
        workers: Client of the platform's workers.
        tree: Settings tree.
        directory: Directory of instances.
        metrics: Counters and gauges.
        usage_model: Sizes and slowdowns learned from usage samples.
        policy: Chooses throttles and evictions on one worker, like
            ``colocation.decide``.
        on_samples: Called with all usage samples. They make up the largest
            part of the control traffic, so batch and desk share one reader.
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
