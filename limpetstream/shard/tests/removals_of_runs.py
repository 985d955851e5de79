"""Checks of calls to executors and of runs that are given up."""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
START = "start a run, each try"
LEASE_START = "extend a lease, by a start"
LEASE_POLL = "extend a lease, by a poll"
SILENT = "polls to a silent executor extend nothing after 1 s"
ACKNOWLEDGE = "acknowledge ends, by a poll"
STOP = "stop a run"
PACE = "pace a run"
PLACE = "place, preempt, move, leave a draining executor"
TIME = "give up runs whose lease expired"
REPLACED = "give up runs of an executor that was replaced"
LISTED_NO_MORE = "give up runs of an executor that restarted or lists them no more"
SETTLE = "settle runs of earlier owners by time"
RESTART = "a restarted executor"

QUEUE_TESTS = "shard/queueing/tests/test_start_queues.py::"
UNREAD = "an executor lists more ends than one reply holds"
UNREAD_TESTS = "shard/settling/tests/test_listed_ends.py::"

REMOVALS = [
    removed_checks.Removal(
        "start-suits-no-more",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "return eligibility.reason_against(",
        'return "" and eligibility.reason_against(',
        f"{QUEUE_TESTS}test_a_withdrawn_start_keeps_its_wait_and_no_room",
    ),
    removed_checks.Removal(
        "start-queue-bound",
        PLACE,
        "limpetstream.workflow.eligibility",
        "has_long_start_queue",
        "return waiting >= MAX_UNSENT_STARTS",
        "return False",
        f"{QUEUE_TESTS}test_an_urgent_task_waits_for_few_starts_of_less_urgent_ones",
    ),
    removed_checks.Removal(
        "held-up-preemption",
        PLACE,
        f"{SHARD}.scheduling",
        "_place_or_preempt",
        "if context.held_up_count:",
        "if False:",
        f"{QUEUE_TESTS}"
        "test_nothing_is_preempted_for_a_task_that_has_room_behind_other_starts[1]",
    ),
    removed_checks.Removal(
        "withdrawn-gang",
        START,
        f"{SHARD}.starts",
        "_withdraw",
        "if run.task.step.gang:",
        "if False:",
        f"{QUEUE_TESTS}test_all_members_of_a_gang_are_withdrawn_together[False]",
    ),
    removed_checks.Removal(
        "start-while-unrecorded",
        PLACE,
        f"{SHARD}.scheduling",
        "_give_turn",
        "if not is_recorded and shard.journal.failing_since is not None:",
        "if False:",
        f"{QUEUE_TESTS}test_no_start_is_decided_that_the_journal_cannot_record",
    ),
    removed_checks.Removal(
        "place-unread-ends",
        UNREAD,
        f"{SHARD}.scheduling",
        "may_start",
        "if listed_ends.may_have_ended(shard, task):",
        "if False:",
        f"{UNREAD_TESTS}test_no_task_runs_again_after_more_ends_than_one_list_has",
    ),
    removed_checks.Removal(
        "fence-unread-ends",
        UNREAD,
        f"{SHARD}.restarts",
        "note_fenced",
        "if not listed_ends.has_all(reply):",
        "if False:",
        f"{UNREAD_TESTS}test_no_run_is_lost_whose_end_a_returned_executor_lists_later",
    ),
    removed_checks.Removal(
        "emptied-unread-ends",
        UNREAD,
        f"{SHARD}.executor_records",
        "is_emptied",
        "and executor.has_listed_all",
        "and True",
        f"{UNREAD_TESTS}"
        "test_a_leaving_executor_stays_recorded_until_all_its_ends_are_read",
    ),
    removed_checks.Removal(
        "idle-unread-ends",
        UNREAD,
        f"{SHARD}.sessions",
        "_is_idle",
        "executor.reached and executor.has_listed_all",
        "executor.reached",
        f"{UNREAD_TESTS}test_a_silent_executor_with_unread_ends_stays_recorded",
    ),
    removed_checks.Removal(
        "lapsed-unread-ends",
        UNREAD,
        f"{SHARD}.sessions",
        "_give_up",
        "or executor.listing.executor_id in shard.unread_executor_by_id",
        "or False",
        f"{UNREAD_TESTS}"
        "test_tasks_run_again_once_a_silent_executor_with_unread_ends_has_lapsed",
    ),
    removed_checks.Removal(
        "read-after-append",
        UNREAD,
        f"{SHARD}.settling.listed_ends",
        "_forget_once_confirmed",
        "await proof.confirm(shard)",
        "pass",
        f"{UNREAD_TESTS}test_a_list_counts_as_read_after_a_confirmed_append",
    ),
    removed_checks.Removal(
        "start-and-place-proof",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::test_no_start_is_sent_without_a_proof",
        also=("place-proof",),
    ),
    removed_checks.Removal(
        "start-proof",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::test_no_start_is_sent_without_a_proof",
    ),
    removed_checks.Removal(
        "start-repeat-proof",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "if not proof.is_proven(shard):",
        "if not is_sent and not proof.is_proven(shard):",
        "shard/tests/test_proof.py::"
        "test_no_start_is_repeated_once_the_proof_has_expired",
    ),
    removed_checks.Removal(
        "start-silent",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "if executor.silent_since is not None:",
        "if False:",
        "shard/tests/test_proof.py::test_no_start_is_sent_to_a_silent_executor",
    ),
    removed_checks.Removal(
        "start-look-before",
        START,
        f"{SHARD}.starts",
        "_try_to_start",
        "        obstacle = _obstacle(shard, executor, run, is_sent=is_sent)\n"
        "        obstacle = obstacle or await _look",
        "        obstacle = await _look",
        "shard/tests/test_proof.py::test_no_start_is_sent_without_a_proof",
    ),
    removed_checks.Removal(
        "start-look-after",
        START,
        f"{SHARD}.starts",
        "_try_to_start",
        "        obstacle = obstacle or _obstacle(shard, executor, run, "
        "is_sent=is_sent)\n",
        "",
        "shard/tests/test_starts.py::"
        "test_no_start_is_sent_once_the_proof_has_expired_in_the_look",
    ),
    removed_checks.Removal(
        "start-phase-after-look",
        START,
        f"{SHARD}.starts",
        "_try_to_start",
        "        obstacle = obstacle or await _look(shard, executor)\n"
        "        if run.phase != workflow_state.STARTING:\n"
        "            return\n",
        "        obstacle = obstacle or await _look(shard, executor)\n",
        "shard/tests/test_starts.py::"
        "test_no_start_is_sent_for_a_run_that_was_stopped_in_the_look",
    ),
    removed_checks.Removal(
        "start-phase",
        START,
        f"{SHARD}.starts",
        "_try_to_start",
        "            return  # Stopped, or reported by a poll, while it waited.\n",
        "            pass\n",
        "shard/tests/test_starts.py::"
        "test_no_call_is_sent_for_a_run_that_was_stopped_while_it_waited",
    ),
    removed_checks.Removal(
        "start-doubt",
        START,
        f"{SHARD}.starts",
        "_try_to_start",
        "if not is_first_try and reply.outcome != executor_messages.STARTED:",
        "if False:",
        "shard/tests/test_starts.py::test_a_refused_repeat_of_a_start_is_in_doubt",
    ),
    removed_checks.Removal(
        "place-reached",
        START,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        executor.reached\n        and executor.confirmed",
        "        executor.confirmed",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[reached]",
    ),
    removed_checks.Removal(
        "place-silent",
        START,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and executor.silent_since is None\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[silent]",
    ),
    removed_checks.Removal(
        "place-unknown-runs",
        START,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and not executor.unknown_runs\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[unknown]",
    ),
    removed_checks.Removal(
        "place-polled",
        START,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and executor.polled_at >= context.min_polled_at\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[polled]",
    ),
    removed_checks.Removal(
        "start-and-place-silent",
        START,
        f"{SHARD}.starts",
        "_obstacle",
        "if executor.silent_since is not None:",
        "if False:",
        "shard/tests/test_proof.py::test_no_start_is_sent_to_a_silent_executor",
        also=("place-silent",),
    ),
    removed_checks.Removal(
        "start-deadline",
        LEASE_START,
        f"{SHARD}.starts",
        "_send",
        "lease.extend(decided_at)",
        "executor.lease.extend(sent_at)",
        "shard/tests/test_held_up_starts.py::"
        "test_the_deadline_of_a_start_counts_from_its_proof",
    ),
    removed_checks.Removal(
        "poll-proof",
        LEASE_POLL,
        f"{SHARD}.sessions",
        "_request_report",
        "if may_extend and proof.is_proven(shard):",
        "if may_extend:",
        "shard/tests/test_proof.py::test_polls_without_a_proof_extend_no_lease",
    ),
    removed_checks.Removal(
        "poll-deadline",
        LEASE_POLL,
        f"{SHARD}.sessions",
        "_request_report",
        "executor.lease.extend(sent_at)",
        "lease.extend(shard.clock.monotonic())",
        "shard/tests/test_polls.py::"
        "test_the_deadline_of_a_poll_counts_from_before_the_proof_was_checked",
    ),
    removed_checks.Removal(
        "poll-removed",
        LEASE_POLL,
        f"{SHARD}.sessions",
        "_poll",
        "        return  # It was removed in the meantime, and its runs were given up.",
        "        pass",
        "shard/tests/test_sessions.py::"
        "test_a_reply_after_the_removal_of_its_executor_changes_nothing",
    ),
    removed_checks.Removal(
        "poll-silent",
        SILENT,
        f"{SHARD}.sessions",
        "_request_report",
        " and not _is_silent_long(shard, executor, sent_at)",
        "",
        "shard/tests/test_sessions.py::"
        "test_polls_of_a_silent_executor_stop_extending_its_lease",
    ),
    removed_checks.Removal(
        "poll-silent-bound",
        SILENT,
        f"{SHARD}.sessions",
        "_is_silent_long",
        "> MAX_EXTENDED_SILENCE_S",
        "> 1.5 * MAX_EXTENDED_SILENCE_S",
        "shard/tests/test_polls.py::"
        "test_polls_extend_no_lease_once_an_executor_was_silent_for_1_s",
    ),
    removed_checks.Removal(
        "poll-unlisted",
        SILENT,
        f"{SHARD}.sessions",
        "_is_silent_long",
        "if silent_since is not None and _is_unlisted(shard, executor):",
        "if False:",
        "shard/tests/test_polls.py::"
        "test_polls_extend_no_lease_on_a_silent_executor_that_has_left_the_list",
    ),
    removed_checks.Removal(
        "poll-unlisted-silent",
        SILENT,
        f"{SHARD}.sessions",
        "_is_silent_long",
        "if silent_since is not None and ",
        "if ",
        "shard/tests/test_polls.py::"
        "test_polls_extend_leases_on_an_unlisted_executor_that_answers",
    ),
    removed_checks.Removal(
        "poll-unlisted-outage",
        SILENT,
        f"{SHARD}.sessions",
        "_is_unlisted",
        " and shard.journal.failing_since is None",
        "",
        "shard/tests/test_polls.py::"
        "test_polls_extend_leases_on_unlisted_executors_while_the_store_is_down",
    ),
    removed_checks.Removal(
        "poll-unlisted-loaded",
        SILENT,
        f"{SHARD}.sessions",
        "_is_unlisted",
        "shard.recovered and ",
        "",
        "shard/tests/test_polls.py::test_polls_extend_leases_before_the_list_is_loaded",
    ),
    removed_checks.Removal(
        "acknowledge-recent",
        ACKNOWLEDGE,
        f"{SHARD}.sessions",
        "_end_to_acknowledge",
        "if now - executor.answered_at > MIN_RESTART_S:",
        "if False:",
        "shard/tests/test_polls.py::"
        "test_ends_are_acknowledged_only_soon_after_a_reply[0.3-0]",
    ),
    removed_checks.Removal(
        "acknowledge-until-answered",
        ACKNOWLEDGE,
        f"{SHARD}.sessions",
        "_end_to_acknowledge",
        "if executor.acked_end <= executor.dropped_end:",
        "if False:",
        "shard/tests/test_polls.py::"
        "test_ends_are_acknowledged_until_a_poll_is_answered",
    ),
    removed_checks.Removal(
        "acknowledge-durable",
        ACKNOWLEDGE,
        f"{SHARD}.sessions",
        "_acknowledge",
        "await shard.journal.wait_until_durable()",
        "pass",
        "shard/tests/test_polls.py::"
        "test_ends_are_acknowledged_only_once_they_are_durable",
    ),
    removed_checks.Removal(
        "fail-unknown-end",
        ACKNOWLEDGE,
        f"{SHARD}.status_reports",
        "_lose_once_confirmed",
        "if is_end_unknown and",
        "if False and",
        "shard/tests/test_ends.py::"
        "test_a_run_that_vanishes_fails_its_job_only_if_it_may_be_done[short]",
    ),
    removed_checks.Removal(
        "load-before-poll",
        ACKNOWLEDGE,
        f"{SHARD}.shard_server",
        "ShardServer._load_and_serve",
        "    await _load_follower(shard, submissions)\n",
        "    pass\n",
        "shard/tests/test_faults.py::test_new_owner_knows_the_ends_before_it_polls",
    ),
    removed_checks.Removal(
        "stop-proof",
        STOP,
        f"{SHARD}.stops",
        "_send_until_confirmed",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::test_no_stop_is_sent_without_a_proof",
    ),
    removed_checks.Removal(
        "pace-proof",
        PACE,
        f"{SHARD}.pacing",
        "_send_newest_pace",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::test_no_pace_is_sent_without_a_proof",
    ),
    removed_checks.Removal(
        "poll-pace-proof",
        PACE,
        f"{SHARD}.sessions",
        "_poll",
        "        if proof.is_proven(shard):\n            pacing",
        "        if True:\n            pacing",
        "shard/tests/test_proof.py::test_no_pace_is_decided_without_a_proof",
    ),
    removed_checks.Removal(
        "place-proof",
        PLACE,
        f"{SHARD}.scheduling",
        "run_pass",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::"
        "test_nothing_is_placed_or_preempted_without_a_proof",
    ),
    removed_checks.Removal(
        "leave-proof",
        PLACE,
        f"{SHARD}.housekeeping",
        "run",
        "if proof.is_proven(shard):",
        "if True:",
        "shard/tests/test_proof.py::"
        "test_draining_executors_are_left_alone_without_a_proof",
    ),
    removed_checks.Removal(
        "expired-append",
        TIME,
        f"{SHARD}.sessions",
        "_give_up_once_confirmed",
        "await proof.confirm(shard)",
        "pass",
        "shard/tests/test_sessions.py::"
        "test_expired_runs_are_kept_while_no_append_is_confirmed",
    ),
    removed_checks.Removal(
        "expired-reply",
        TIME,
        f"{SHARD}.sessions",
        "_give_up_once_confirmed",
        "executor.silent_since != silent_since or is_extended",
        "is_extended",
        "shard/tests/test_sessions.py::test_a_reply_that_comes_first_keeps_the_runs",
    ),
    removed_checks.Removal(
        "expired-extended",
        TIME,
        f"{SHARD}.sessions",
        "_give_up_once_confirmed",
        " or is_extended",
        "",
        "shard/tests/test_sessions.py::"
        "test_a_lease_that_is_extended_meanwhile_keeps_the_runs",
    ),
    removed_checks.Removal(
        "confirm-new-append",
        TIME,
        f"{SHARD}.proof",
        "confirm",
        "    _queue_empty_append(shard)\n",
        "",
        "shard/tests/test_sessions.py::"
        "test_an_append_from_before_the_expiry_gives_up_nothing",
    ),
    removed_checks.Removal(
        "lost-seen",
        TIME,
        f"{SHARD}.status_reports",
        "_lose_once_confirmed",
        " or run.seen_at != seen_at",
        "",
        "shard/tests/test_restarts.py::"
        "test_a_run_that_is_listed_before_the_append_is_kept",
        also=("restart-fenced",),
    ),
    removed_checks.Removal(
        "vanished-seen",
        TIME,
        f"{SHARD}.status_reports",
        "_mark_vanished_runs_lost",
        "if run.seen_at is not None and sent_at > run.seen_at:",
        "if run.seen_at is not None:",
        "shard/tests/test_polls.py::"
        "test_no_reply_of_before_a_start_shows_that_its_run_is_lost",
    ),
    removed_checks.Removal(
        "stopped-can-start",
        TIME,
        f"{SHARD}.status_reports",
        "_can_start_no_more",
        "clock_ms > run.start_deadline_ms",
        "True",
        "shard/tests/test_restarts.py::test_a_run_that_may_still_start_is_not_missing",
    ),
    removed_checks.Removal(
        "replaced-append",
        REPLACED,
        f"{SHARD}.sessions",
        "_remove_replaced",
        "await proof.confirm(shard)",
        "pass",
        "shard/tests/test_takeovers.py::"
        "test_runs_of_an_executor_that_ended_are_not_started_after_their_end[replaced]",
    ),
    removed_checks.Removal(
        "lost-append",
        LISTED_NO_MORE,
        f"{SHARD}.status_reports",
        "_lose_once_confirmed",
        "await proof.confirm(shard)",
        "pass",
        "shard/tests/test_restarts.py::"
        "test_a_run_that_is_listed_before_the_append_is_kept",
    ),
    removed_checks.Removal(
        "settle-append",
        SETTLE,
        f"{SHARD}.sessions",
        "_settle_once_confirmed",
        "await proof.confirm(shard)",
        "pass",
        "shard/tests/test_sessions.py::"
        "test_earlier_runs_are_settled_by_time_after_a_confirmed_append",
    ),
    removed_checks.Removal(
        "restart-lease",
        RESTART,
        f"{SHARD}.restarts",
        "_begin_fencing",
        "        + MAX_CALL_DELAY_S\n"
        "        + executor_records.longest_lease_s(shard)\n",
        "",
        "shard/tests/test_sessions.py::"
        "test_a_restarted_executor_may_have_granted_the_longest_lease",
    ),
    removed_checks.Removal(
        "restart-dropped-ends",
        RESTART,
        f"{SHARD}.restarts",
        "note_restart",
        "    executor.dropped_end = 0\n",
        "",
        "shard/tests/test_restarts.py::test_ends_of_the_new_process_are_read",
    ),
    removed_checks.Removal(
        "restart-ends",
        RESTART,
        f"{SHARD}.restarts",
        "note_restart",
        "    executor.acked_end = executor.applied_end = 0\n",
        "",
        "shard/tests/test_restarts.py::test_ends_of_the_new_process_are_read",
    ),
    removed_checks.Removal(
        "restart-starting",
        RESTART,
        f"{SHARD}.status_reports",
        "_lose_runs_of_former_process",
        "        if run.phase == workflow_state.STARTING:\n            continue\n",
        "",
        "shard/tests/test_calls_at_restarts.py::"
        "test_a_run_that_is_being_given_up_is_not_started_again",
    ),
    removed_checks.Removal(
        "restart-fenced",
        RESTART,
        f"{SHARD}.restarts",
        "note_fenced",
        "token < shard.epoch + executor.required_token_raise",
        "False",
        "shard/tests/test_restarts.py::"
        "test_a_run_is_not_given_up_before_former_calls_are_rejected",
    ),
    removed_checks.Removal(
        "restart-present",
        RESTART,
        f"{SHARD}.status_reports",
        "_lose_runs_of_former_process",
        "        if (run.task.name, run.number) not in present:\n            _lose",
        "        if True:\n            _lose",
        "shard/tests/test_restarts.py::"
        "test_a_run_that_the_new_process_lists_is_not_given_up",
    ),
    removed_checks.Removal(
        "start-lease-proof",
        LEASE_START,
        f"{SHARD}.starts",
        "_obstacle",
        "if not proof.is_proven(shard):",
        "if False:",
        "shard/tests/test_proof.py::test_a_start_without_a_proof_extends_no_lease",
    ),
]
