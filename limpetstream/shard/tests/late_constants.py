"""Constants that make the bound of a wait of design.md 11.8 too long.

The values follow the rule of ``late_ends``.
"""

import math

from limpetstream.shard.tests import late_ends, removed_checks

SHARD = "limpetstream.shard"
WORKFLOW = "limpetstream.workflow"

CONSTANTS = [
    removed_checks.ChangedConstant(
        "late-load",
        "shard being loaded",
        f"{SHARD}.recovery",
        "RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-start-unanswered",
        "start has no answer",
        f"{SHARD}.starts",
        "START_TIMEOUT_S",
        late_ends.LATE_S / 3,
    ),
    removed_checks.ChangedConstant(
        "late-start-tries",
        "start has no answer",
        f"{SHARD}.starts",
        "START_TRIES",
        1_000_000,
    ),
    removed_checks.ChangedConstant(
        "late-doubt",
        "start in doubt",
        f"{SHARD}.victims",
        "LONG_RUNNING_MAX_WAIT_S",
        late_ends.LATE_LASTING_S,
    ),
    removed_checks.ChangedConstant(
        "late-stop",
        "stop without an answer",
        f"{SHARD}.stops",
        "STOP_RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-stop-no-end",
        "stop confirmed, no end listed",
        f"{SHARD}.status_reports",
        "STOP_MARGIN_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-silence",
        "run on an executor that does not answer",
        f"{SHARD}.sessions",
        "MAX_EXTENDED_SILENCE_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-pause",
        "pause after a failure or a refusal",
        f"{SHARD}.jobs",
        "RETRY_PAUSE_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-best-effort-pause",
        "pause of best-effort work between two searches",
        f"{SHARD}.scheduling",
        "BEST_EFFORT_RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-entries",
        "not listed any more",
        f"{SHARD}.shard_server",
        "LISTING_PAUSE_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-poll-again",
        "silent",
        f"{SHARD}.sessions",
        "POLL_RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-refused",
        "avoided after a failed order",
        f"{SHARD}.starts",
        "REFUSED_PAUSE_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-unwilling",
        "avoided after a failed order",
        f"{SHARD}.starts",
        "UNWILLING_PAUSE_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-preemption",
        "processors, memory",
        f"{SHARD}.preemption",
        "LONG_RUNNING_PREEMPT_AFTER_S",
        late_ends.LATE_LASTING_S,
    ),
    removed_checks.ChangedConstant(
        "late-second-preemption",
        "processors, memory",
        f"{SHARD}.preemption",
        "PREEMPT_RETRY_MARGIN_S",
        late_ends.LATE_LASTING_S,
    ),
    removed_checks.ChangedConstant(
        "late-short-preemption",
        "processors, memory",
        f"{SHARD}.preemption",
        "SHORT_PREEMPT_AFTER_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-search",
        "search for an executor, or for runs to preempt, not repeated",
        f"{SHARD}.placing",
        "SEARCH_RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-search-of-runs",
        "search for an executor, or for runs to preempt, not repeated",
        f"{SHARD}.preemption",
        "SEARCH_RETRY_S",
        late_ends.LATE_LASTING_S,
    ),
    removed_checks.ChangedConstant(
        "late-availability",
        "search for an executor, or for runs to preempt, not repeated",
        f"{SHARD}.searches",
        "AVAILABILITY_INTERVAL_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-gang",
        "gang incomplete",
        f"{SHARD}.placing",
        "GANG_RETRY_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-idle-service",
        "pace too low: pace",
        f"{WORKFLOW}.best_effort",
        "IDLE_SERVICE_WAIT_S",
        late_ends.LATE_S,
        also=("late-full-pace",),
    ),
    removed_checks.ChangedConstant(
        "late-idle-service-never",
        "pace too low: pace",
        f"{WORKFLOW}.best_effort",
        "IDLE_SERVICE_WAIT_S",
        math.inf,
    ),
    removed_checks.ChangedConstant(
        "late-full-pace",
        "pace too low: pace",
        f"{WORKFLOW}.best_effort",
        "FULL_PACE_WAIT_S",
        3 * 4.0,
    ),
    removed_checks.ChangedConstant(
        "late-probe",
        "pace too low: pace",
        f"{WORKFLOW}.interference",
        "PROBE_DURATION_S",
        late_ends.LATE_S,
    ),
    removed_checks.ChangedConstant(
        "late-pass",
        "budget of a pass reached",
        f"{SHARD}.scheduling",
        "IDLE_PASS_INTERVAL_S",
        late_ends.LATE_S,
    ),
]
