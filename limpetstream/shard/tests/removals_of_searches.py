"""Removals of the ends of waits of design.md 11.8: searches, gangs, passes."""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
WORKFLOW = "limpetstream.workflow"
TRACKING = "limpetstream.executors.tracking"
TESTS = "shard/tests"
SEARCH = "search for an executor, or for runs to preempt, not repeated"
PACE = "pace too low: pace"

REMOVALS = [
    removed_checks.Removal(
        "wait-search-time",
        SEARCH,
        f"{SHARD}.searches",
        "candidates",
        "is_old = now - failure.failed_at >= retry_s",
        "is_old = False",
        f"{TESTS}/test_pass_cost.py::test_a_failed_search_is_repeated_after_a_while",
    ),
    removed_checks.Removal(
        "wait-search-freed",
        SEARCH,
        TRACKING,
        "Executor.release",
        "self.has_freed = True",
        "pass",
        f"{TESTS}/test_pass_cost.py::test_freed_capacity_is_found_in_the_next_pass",
    ),
    removed_checks.Removal(
        "wait-search-available",
        SEARCH,
        f"{SHARD}.searches",
        "note_changes",
        "if executor_id not in searches.available",
        "if False",
        f"{TESTS}/test_pass_cost.py::"
        "test_an_executor_that_becomes_available_is_found_at_once",
    ),
    removed_checks.Removal(
        "wait-search-entry",
        SEARCH,
        f"{SHARD}.executor_list",
        "_add_or_update",
        "executor.has_freed = True",
        "pass",
        "",
        also=("wait-search-time",),
    ),
    removed_checks.Removal(
        "wait-search",
        SEARCH,
        f"{SHARD}.searches",
        "candidates",
        "if failure is None or failure.position < searches.first_position:\n"
        "        return executors\n",
        "if failure is None:\n        return executors\n    return []\n",
        f"{TESTS}/test_pass_cost.py::test_freed_capacity_is_found_in_the_next_pass",
    ),
    removed_checks.Removal(
        "wait-pace",
        PACE,
        f"{WORKFLOW}.best_effort",
        "choose",
        "RELAXED_MIN_PACE - MIN_PACE_DECREASE_PER_S * further_s",
        "RELAXED_MIN_PACE",
        f"{TESTS}/test_waits_end.py::"
        "test_best_effort_work_starts_at_a_low_pace_after_a_long_wait",
    ),
    removed_checks.Removal(
        "wait-idle-service",
        PACE,
        f"{WORKFLOW}.best_effort",
        "accepts_any_executor",
        "waited_s >= IDLE_SERVICE_WAIT_S",
        "False",
        f"{TESTS}/test_waits_end.py::"
        "test_best_effort_work_starts_soon_in_an_idle_service",
    ),
    removed_checks.Removal(
        "wait-full-pace",
        PACE,
        f"{WORKFLOW}.best_effort",
        "choose",
        "if waited_s >= FULL_PACE_WAIT_S:",
        "if False:",
        "",
        also=("late-idle-service-never",),
    ),
    removed_checks.Removal(
        "wait-probe",
        PACE,
        f"{WORKFLOW}.interference",
        "InterferenceModel.may_probe",
        "return probed_at is None or now - probed_at > PROBE_DURATION_S",
        "return probed_at is None",
        "",
        also=("late-idle-service-never",),
    ),
    removed_checks.Removal(
        "wait-gang-member",
        "gang incomplete",
        f"{SHARD}.placing",
        "place_gang",
        "if len(members) < first.step.count:",
        "if len(members) <= first.step.count:",
        f"{TESTS}/test_waits_end.py::test_a_gang_is_placed_once_its_last_member_waits",
    ),
    removed_checks.Removal(
        "wait-gang-search",
        "gang incomplete",
        f"{SHARD}.placing",
        "place_gang",
        "shard.searches, key, executors, GANG_RETRY_S, context.now",
        "shard.searches, key, executors, 1e9, context.now",
        "",
    ),
    removed_checks.Removal(
        "wait-gang-done",
        "gang done, its members open for a new owner",
        f"{WORKFLOW}.state",
        "mark_done_with_gang",
        "if task.step.gang:",
        "if False:",
        "",
    ),
    removed_checks.Removal(
        "wait-pass",
        "budget of a pass reached",
        f"{SHARD}.scheduling",
        "run_pass",
        "if this_pass.has_skipped or not this_pass.is_finished:",
        "if False:",
        "",
    ),
    removed_checks.Removal(
        "wait-pass-time",
        "budget of a pass reached",
        f"{SHARD}.scheduling",
        "_wait_for_change",
        "while not shard.changed.is_set() and waited_s < IDLE_PASS_INTERVAL_S:",
        "while not shard.changed.is_set():",
        "",
    ),
    removed_checks.Removal(
        "wait-attempts",
        "attempts used up",
        f"{SHARD}.jobs",
        "_apply_to_open_task",
        "            finish(shard, task.job, messages.FAILED)\n",
        "",
        f"{TESTS}/test_scheduling.py::test_failed_runs_count_in_any_order",
    ),
    removed_checks.Removal(
        "wait-record-unreadable",
        "record of an executor unreadable",
        f"{SHARD}.recovery",
        "load_journal",
        "            errors.RecordError,\n",
        "",
        f"{TESTS}/test_odd_records.py::"
        "test_owners_serve_a_shard_whose_journal_holds_an_odd_record[not UTF-8]",
    ),
    removed_checks.Removal(
        "wait-audit",
        "forgotten by the owner",
        f"{SHARD}.audits",
        "Audit._handle",
        "        jobs.enqueue(self.shard, task)",
        "        pass",
        f"{TESTS}/test_audits.py::"
        "test_a_task_without_a_run_and_a_place_is_queued_again",
    ),
    removed_checks.Removal(
        "wait-audit-off",
        "forgotten by the owner",
        f"{SHARD}.housekeeping",
        "run",
        "        audit.check_some()\n",
        "",
        "",
    ),
]
