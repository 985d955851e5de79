"""Removals of the ends of waits of design.md 11.8: owners, starts and stops.

Each row with an end has a removal in which this end never comes. Other rows
are in ``removals_of_places`` and ``removals_of_searches``, bounds that are too
long in ``late_ends`` and ``late_constants``.
"""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
TESTS = "shard/tests"
# Rows without an end of their own in the program, and why.
ROWS_WITHOUT_END = {
    "submission unreadable, or missing for an open job": "nothing ends it",
    "every executor refuses the start": "nothing ends it",
    "label": "the end is an executor that comes with the label",
    "data centre closed": "the end is the operator's",
    "pace too low: half of its processors are in use": "the end is a lower load",
    "gang larger than the free capacity": "the end is that of other runs",
    "tasks of a higher priority go first": "the end is their placement",
}

REMOVALS = [
    removed_checks.Removal(
        "wait-owner-gone",
        "no owner",
        f"{SHARD}.ownership",
        "Ownership._wait_until_vacant",
        "if owner not in await group_members(",
        'if "" in await group_members(',
        f"{TESTS}/test_faults.py::test_new_owner_knows_the_ends_before_it_polls",
    ),
    removed_checks.Removal(
        "wait-owner-stalled",
        "no owner that works",
        f"{SHARD}.ownership",
        "Ownership._leave_if_stalled",
        "if stalled_s > STALLED_S:",
        "if False:",
        f"{TESTS}/test_waits_of_clusters.py::"
        "test_a_shard_that_its_member_cannot_write_gets_another_owner[owner]",
    ),
    removed_checks.Removal(
        "wait-owner-announced",
        "the announced owner is a member and serves the shard no more",
        f"{SHARD}.ownership",
        "Ownership._wait_until_vacant",
        "if denials >= 2 or now - answered_at > STALLED_S:",
        "if False:",
        f"{TESTS}/test_vacancies.py::"
        "test_a_shard_is_claimed_though_a_stalled_owner_has_joined_again",
    ),
    removed_checks.Removal(
        "wait-owner-failed",
        "the owner's task group has failed",
        f"{SHARD}.ownership",
        "Ownership._apply_assignment",
        "if task is None or task.done():",
        "if task is None:",
        f"{TESTS}/test_waits_of_clusters.py::test_a_shard_that_failed_is_claimed_again",
    ),
    removed_checks.Removal(
        "wait-load-journal",
        "shard being loaded",
        f"{SHARD}.recovery",
        "_read_newest",
        "await shard.clock.sleep(RETRY_S)",
        "await shard.clock.sleep(1e9)",
        "",
    ),
    removed_checks.Removal(
        "wait-load-follower",
        "shard being loaded",
        f"{SHARD}.shard_server",
        "_load_follower",
        "await shard.clock.sleep(recovery.RETRY_S)",
        "await shard.clock.sleep(1e9)",
        f"{TESTS}/test_waits_of_clusters.py::"
        "test_a_shard_is_loaded_once_the_store_answers",
    ),
    removed_checks.Removal(
        "wait-configuration",
        "no configuration",
        f"{SHARD}.shard_server",
        "ShardServer._load_and_serve",
        "await self._clock.sleep(recovery.RETRY_S)",
        "await self._clock.sleep(1e9)",
        f"{TESTS}/test_faults.py::test_owner_without_a_configuration_fails_no_job",
    ),
    removed_checks.Removal(
        "wait-submissions",
        "submission not read yet",
        f"{SHARD}.shard_server",
        "ShardServer._load_and_serve",
        "    shard.spawn(submissions.run())\n",
        "",
        f"{TESTS}/test_waits_of_clusters.py::"
        "test_an_accepted_job_is_read_without_a_question",
    ),
    removed_checks.Removal(
        "wait-progress-unreadable",
        "progress unreadable",
        f"{SHARD}.recovery",
        "apply_submissions",
        "_fail(shard, submission)",
        "continue",
        f"{TESTS}/test_odd_records.py::"
        "test_a_job_whose_progress_is_lost_is_not_started_again[cut off]",
    ),
    removed_checks.Removal(
        "wait-progress-large",
        "progress too large for a record, also compressed",
        f"{SHARD}.jobs",
        "_encode_progress",
        "if len(stored) <= records.MAX_RECORD_BYTES:",
        "if True:",
        f"{TESTS}/test_large_progress.py::"
        "test_progress_that_fits_into_no_record_holds_up_no_other_job",
    ),
    removed_checks.Removal(
        "wait-step",
        "step not released",
        f"{SHARD}.jobs",
        "_finish_task",
        "    enqueue_released(shard, occurrence)\n",
        "",
        f"{TESTS}/test_faults.py::test_jobs_of_two_steps_complete_once",
    ),
    removed_checks.Removal(
        "wait-occurrence",
        "occurrence not due",
        f"{SHARD}.housekeeping",
        "run",
        "        release_due_occurrences(shard)\n",
        "",
        f"{TESTS}/test_waits_end.py::test_a_due_occurrence_is_queued",
    ),
    removed_checks.Removal(
        "wait-unproven",
        "ownership unproven",
        f"{SHARD}.proof",
        "is_proven",
        "proven = age_s(shard) < VALIDITY_S",
        "proven = age_s(shard) < VALIDITY_S and shard.unproven_since is None",
        f"{TESTS}/test_waits_end.py::"
        "test_an_owner_without_a_proof_starts_work_once_it_has_one",
    ),
    removed_checks.Removal(
        "wait-located",
        "not located",
        f"{SHARD}.sessions",
        "check_earlier_runs",
        "if shard.earlier_runs_settled or not shard.recovered:",
        "if shard.inherited_executors or not shard.recovered:",
        f"{TESTS}/test_departures.py::"
        "test_lasting_tasks_run_again_after_executors_left_and_the_owner_died",
    ),
    removed_checks.Removal(
        "wait-located-by-time",
        "not located",
        f"{SHARD}.sessions",
        "check_earlier_runs",
        "elif not shard.settling and not _may_be_leased(shard, now):",
        "elif False:",
        f"{TESTS}/test_sessions.py::"
        "test_earlier_runs_are_settled_by_time_after_a_confirmed_append",
    ),
    removed_checks.Removal(
        "wait-start-journal",
        "first start of a job waits for the journal",
        f"{SHARD}.starts",
        "_record_job",
        "await shard.journal.wait_until_durable()",
        "await shard.clock.sleep(1e9)",
        f"{TESTS}/test_waits_end.py::test_a_start_that_waited_for_the_journal_is_sent",
    ),
    removed_checks.Removal(
        "wait-start-withdrawn",
        "start can no longer be sent",
        f"{SHARD}.starts",
        "_try_to_start",
        "        _withdraw(shard, executor, run, obstacle)\n",
        "",
        f"{TESTS}/test_proof.py::test_no_start_is_sent_to_a_silent_executor",
    ),
    removed_checks.Removal(
        "wait-start-others",
        "start waits behind others of its executor",
        f"{SHARD}.starts",
        "_obstacle",
        "if not is_sent and run.start_requested_at < executor.doubted_at:",
        "if False:",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_tasks_behind_a_start_in_doubt_go_elsewhere",
    ),
    removed_checks.Removal(
        "wait-start-unanswered",
        "start has no answer",
        f"{SHARD}.starts",
        "_try_to_start",
        '    stops.stop_run(shard, executor, run, "start in doubt")\n',
        "",
        f"{TESTS}/test_starts.py::"
        "test_a_start_that_another_executor_refuses_does_not_stay_open",
    ),
    removed_checks.Removal(
        "wait-start-in-doubt",
        "start in doubt",
        f"{SHARD}.starts",
        "_try_to_start",
        "    executor.doubted_at = shard.clock.monotonic()\n",
        "",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_a_task_goes_elsewhere_after_a_start_in_doubt",
    ),
    removed_checks.Removal(
        "wait-doubt-alone",
        "start in doubt",
        "limpetstream.workflow.placement",
        "choose",
        "return fallback or (in_doubt if accepts_doubt else None)",
        "return fallback",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_an_executor_in_doubt_is_tried_again_when_it_is_the_only_one",
    ),
    removed_checks.Removal(
        "wait-stop-repeated",
        "stop without an answer",
        f"{SHARD}.stops",
        "_send_until_confirmed",
        "            await shard.clock.sleep(STOP_RETRY_S)\n"
        "            continue\n"
        "        confirmed_at",
        "            return\n        confirmed_at",
        f"{TESTS}/test_waits_end.py::test_a_stop_is_sent_until_it_is_answered",
    ),
    removed_checks.Removal(
        "wait-stop-unanswered",
        "stop without an answer",
        f"{SHARD}.status_reports",
        "_mark_vanished_runs_lost",
        "(run.stop_confirmed_at, run.missing_since)",
        "(run.stop_confirmed_at,)",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_a_run_whose_stop_has_no_answer_ends_once_it_is_not_listed",
    ),
    removed_checks.Removal(
        "wait-stop-of-doubt",
        "stop without an answer, of a start in doubt",
        f"{SHARD}.status_reports",
        "_can_start_no_more",
        "return run.start_deadline_ms is not None and clock_ms > run.start_deadline_ms",
        "return False",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_a_start_in_doubt_whose_stop_has_no_answer_ends",
    ),
    removed_checks.Removal(
        "wait-stop-no-end",
        "stop confirmed, no end listed",
        f"{SHARD}.status_reports",
        "_mark_vanished_runs_lost",
        "since is not None and sent_at > since + stop_s for since in ended_from",
        "False for since in ended_from",
        f"{TESTS}/test_waits_end.py::test_a_stopped_run_without_a_listed_end_ends",
    ),
    removed_checks.Removal(
        "wait-stop-no-effect",
        "stop confirmed, the run stays listed",
        f"{SHARD}.status_reports",
        "_apply_row",
        "stops.stop_again(shard, executor, run)",
        "pass",
        f"{TESTS}/test_ends_of_waits.py::"
        "test_a_confirmed_stop_without_effect_is_sent_again",
    ),
    removed_checks.Removal(
        "wait-older-run",
        "an older run is listed",
        f"{SHARD}.jobs",
        "_apply_to_open_task",
        "        task.run = None\n        enqueue(shard, task)",
        "        task.run = None",
        f"{TESTS}/test_ends.py::test_a_task_waits_for_the_stop_of_an_older_run",
    ),
    removed_checks.Removal(
        "wait-older-run-unaudited",
        "an older run is listed",
        f"{SHARD}.jobs",
        "_apply_to_open_task",
        "        task.run = None\n        enqueue(shard, task)",
        "        task.run = None",
        "",
        also=("wait-audit-off",),
    ),
]
