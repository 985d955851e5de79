"""Checks of new incarnations, clocks and the bounds of leases."""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
INCARNATION = "new incarnation needs an append"
CLOCK = "clock read within 0.25 s before a start"
WAIT = "why 2 s are enough"
IN_A_ROW = "owners that follow one another"
AFTER_CLAIM = "a lease that no record names yet"
OLDER = "executors that are older than the claim"
ENDED = "an owner whose process has ended"
STOPPED = "owners that have stopped"

SETTLED = "a first answer settles earlier runs after an append"
MOVED = "an executor that has started again at another address"

REMOVALS = [
    removed_checks.Removal(
        "settled-confirmed",
        SETTLED,
        f"{SHARD}.sessions",
        "check_earlier_runs",
        "if executor_records.are_answers_confirmed(shard):",
        "if True:",
        "../search/tests/test_search.py::"
        "test_a_restarted_executor_settles_nothing_before_an_append",
    ),
    removed_checks.Removal(
        "moved-while-confirmed",
        MOVED,
        f"{SHARD}.sessions",
        "_remove_replaced",
        "executor.listing.address != address or not shard.recovered",
        "False",
        "",
    ),
    removed_checks.Removal(
        "moved-record",
        MOVED,
        f"{SHARD}.executor_records",
        "note_moved",
        "    executor.recorded = False\n    shard.spawn(write(shard, executor))\n",
        "    pass\n",
        "",
    ),
    removed_checks.Removal(
        "moved",
        MOVED,
        f"{SHARD}.sessions",
        "_remove_replaced",
        "executor.listing.address != address or not shard.recovered",
        "False",
        "shard/tests/test_moved_executors.py::"
        "test_no_task_runs_twice_where_another_executor_has_a_former_address",
        also=("moved-record", "restart-recorded", "restart-record-written"),
    ),
    removed_checks.Removal(
        "newest-lessor",
        IN_A_ROW,
        f"{SHARD}.executor_records",
        "newest_lessor",
        "return min(max(epoch, recorded_from - 1), previous)",
        "return 0",
        "shard/tests/test_owners_in_a_row.py::"
        "test_a_lease_that_the_second_owner_extended_is_waited_for",
    ),
    removed_checks.Removal(
        "lessor-earlier-version",
        IN_A_ROW,
        f"{SHARD}.executor_records",
        "newest_lessor",
        "max(epoch, recorded_from - 1)",
        "epoch",
        "shard/tests/test_recorded_leases.py::"
        "test_the_newest_owner_that_may_have_extended_a_lease[0-2-1]",
    ),
    removed_checks.Removal(
        "poll-recorded",
        IN_A_ROW,
        f"{SHARD}.lease_records",
        "may_extend",
        "if executor.recorded:",
        "if True:",
        "shard/tests/test_recorded_leases.py::"
        "test_no_poll_extends_a_lease_before_the_record_names_this_owner",
    ),
    removed_checks.Removal(
        "records-epoch-durable",
        IN_A_ROW,
        f"{SHARD}.executor_records",
        "_note_recorded",
        "written and written[-1].basis == basis",
        "written",
        "shard/tests/test_recorded_leases.py::"
        "test_an_executor_that_replies_while_its_record_is_written_gets_another",
    ),
    removed_checks.Removal(
        "claim-leases-unrecorded",
        AFTER_CLAIM,
        f"{SHARD}.ownership",
        "_try_claims",
        "_do_instances_vote(page.entries),",
        "_do_instances_vote(page.entries), _leases_recorded_from(newest, epoch),",
        "shard/tests/test_leases_after_claims.py::"
        "test_a_lease_that_was_extended_before_its_record_is_waited_for[8.0]",
    ),
    removed_checks.Removal(
        "claim-again-complete",
        AFTER_CLAIM,
        f"{SHARD}.lease_records",
        "_encode_complete_claim",
        "shard.lease_records_complete = _are_complete(shard)",
        "shard.lease_records_complete = True",
        "shard/tests/test_leases_after_claims.py::"
        "test_the_claim_is_not_written_again_before_all_leases_are_recorded",
    ),
    removed_checks.Removal(
        "claim-again-sent",
        AFTER_CLAIM,
        f"{SHARD}.lease_records",
        "may_extend",
        " and not shard.lease_records_complete",
        "",
        "shard/tests/test_leases_after_claims.py::"
        "test_no_unrecorded_lease_is_extended_once_the_claim_is_sent_again",
    ),
    removed_checks.Removal(
        "claim-lease-kept",
        AFTER_CLAIM,
        f"{SHARD}.lease_records",
        "may_extend",
        "is_inherited and is_kept and",
        "is_inherited and",
        "shard/tests/test_leases_after_claims.py::"
        "test_an_executor_without_a_record_gets_no_lease_before[dropping]",
    ),
    removed_checks.Removal(
        "older-than-claim",
        OLDER,
        f"{SHARD}.executor_records",
        "_is_older_than_claim",
        "is_same = bool(recorded_ms) and executor.born_ms == recorded_ms",
        "is_same = True",
        "shard/tests/test_leases_after_claims.py::"
        "test_an_executor_that_restarts_after_its_reply_does_not_vote",
    ),
    removed_checks.Removal(
        "older-than-claim-known",
        OLDER,
        f"{SHARD}.executor_records",
        "_is_older_than_claim",
        "bool(recorded_ms) and ",
        "",
        "shard/tests/test_leases_after_claims.py::"
        "test_executors_of_unknown_start_do_not_vote_before_an_append",
    ),
    removed_checks.Removal(
        "read-as-claimed",
        OLDER,
        f"{SHARD}.executor_records",
        "_is_older_than_claim",
        "return is_same and shard.read_as_claimed",
        "return is_same",
        "shard/tests/test_leases_after_claims.py::"
        "test_nobody_votes_before_an_append_if_the_records_have_changed",
    ),
    removed_checks.Removal(
        "read-as-claimed-instances",
        OLDER,
        f"{SHARD}.ownership",
        "offset_by_voter",
        "if entry.key == names.INSTANCES_KEY",
        "if False",
        "shard/tests/test_leases_after_claims.py::"
        "test_records_that_have_changed_since_the_claim_are_noticed[instances]",
    ),
    removed_checks.Removal(
        "previous-ended",
        ENDED,
        f"{SHARD}.instance_votes",
        "_ask_member",
        "if (has_ended or reply.released) and member == shard.previous_member:",
        "if member == shard.previous_member:",
        "shard/tests/test_ended_owners.py::"
        "test_an_owner_that_answers_has_not_ended[m6]",
    ),
    removed_checks.Removal(
        "previous-ended-member",
        ENDED,
        f"{SHARD}.instance_votes",
        "_ask_member",
        "if (has_ended or reply.released) and member == shard.previous_member:",
        "if has_ended or reply.released:",
        "shard/tests/test_ended_owners.py::"
        "test_the_end_of_another_process_is_not_that_of_the_owner",
    ),
    removed_checks.Removal(
        "previous-ended-earlier",
        ENDED,
        f"{SHARD}.sessions",
        "_last_order_by",
        "shard.previous_ended_at, _last_order_at(shard, shard.previous_epoch - 1)",
        "shard.previous_ended_at, float('-inf')",
        "shard/tests/test_ended_owners.py::"
        "test_leases_of_the_owners_before_are_waited_for[18.0-20.0]",
    ),
    removed_checks.Removal(
        "stopped-previous",
        STOPPED,
        f"{SHARD}.proof",
        "_has_chain_of_owners_ended",
        "not math.isfinite(shard.previous_ended_at) or ",
        "",
        "shard/tests/test_ended_owners.py::"
        "test_cancels_wait_for_no_owner_that_has_released_the_shard",
    ),
    removed_checks.Removal(
        "stopped-before-previous",
        STOPPED,
        f"{SHARD}.proof",
        "_has_chain_of_owners_ended",
        "shard.proof_ends.stopped_below >= shard.previous_epoch",
        "True",
        "shard/tests/test_ended_owners.py::"
        "test_owners_before_one_that_has_ended_may_still_act[5]",
    ),
    removed_checks.Removal(
        "stopped-before-expired",
        STOPPED,
        f"{SHARD}.proof",
        "_has_chain_of_owners_ended",
        "> VALIDITY_S",
        "> 0.0",
        "shard/tests/test_ended_owners.py::"
        "test_owners_before_have_stopped_once_their_last_proofs_have_expired",
    ),
    removed_checks.Removal(
        "stopped-unknown",
        STOPPED,
        f"{SHARD}.proof",
        "_has_chain_of_owners_ended",
        " or not shard.previous_epoch",
        "",
        "shard/tests/test_ended_owners.py::test_an_unknown_owner_before_may_still_act",
    ),
    removed_checks.Removal(
        "stopped-claim-released",
        STOPPED,
        f"{SHARD}.ownership",
        "_stopped_below",
        "previous.released and ",
        "",
        "shard/tests/test_unserved_claims.py::"
        "test_a_claim_tells_which_owners_have_stopped[False-6-6]",
    ),
    removed_checks.Removal(
        "stopped-claim-before",
        STOPPED,
        f"{SHARD}.ownership",
        "_stopped_below",
        " and is_chain_known",
        "",
        "shard/tests/test_unserved_claims.py::"
        "test_a_claim_tells_which_owners_have_stopped[True-5-5]",
    ),
    removed_checks.Removal(
        "unserved-own",
        STOPPED,
        f"{SHARD}.ownership",
        "_release_unserved",
        " and record in tries.records",
        "",
        "shard/tests/test_unserved_claims.py::"
        "test_a_cancelled_claim_releases_no_claim_of_another_member",
    ),
    removed_checks.Removal(
        "unserved-late",
        STOPPED,
        f"{SHARD}.ownership",
        "_release_unserved",
        "if newest_claim(page.entries) != tries.records[-1]:",
        "if False:",
        "shard/tests/test_unserved_claims.py::"
        "test_a_claim_that_is_cancelled_is_released[0]",
    ),
    removed_checks.Removal(
        "unserved-released",
        STOPPED,
        f"{SHARD}.ownership",
        "claim",
        "if tries.records:",
        "if False:",
        "shard/tests/test_unserved_claims.py::"
        "test_owners_that_are_stopped_within_their_claims_keep_no_cancel_waiting[1]",
    ),
    removed_checks.Removal(
        "last-append-again",
        STOPPED,
        f"{SHARD}.journal",
        "Journal.append_last",
        "await self._append_once(entry, error.expected + 1, timeout_s)",
        "pass",
        "shard/tests/test_ended_owners.py::"
        "test_a_late_append_does_not_take_the_place_of_the_last_one",
    ),
    removed_checks.Removal(
        "ended-proof",
        STOPPED,
        f"{SHARD}.proof",
        "is_proven",
        "if shard.ended:",
        "if False:",
        "shard/tests/test_ended_owners.py::"
        "test_a_request_that_outlives_the_ownership_tells_nothing",
    ),
    removed_checks.Removal(
        "released-claimed",
        IN_A_ROW,
        f"{SHARD}.job_api",
        "JobApi._answer_peer",
        "request.shard not in self._claimed_shards",
        "request.shard not in self._server.shard_by_number",
        "shard/tests/test_ended_owners.py::"
        "test_an_instance_tells_that_it_releases_a_shard_only_after_its_last_order",
    ),
    removed_checks.Removal(
        "start-and-place-incarnation",
        INCARNATION,
        f"{SHARD}.starts",
        "_obstacle",
        "if not executor.confirmed:",
        "if False:",
        "shard/tests/test_settled_too_early.py::"
        "test_no_task_runs_twice_after_all_executors_knew_the_successor[5.0]",
        also=("place-incarnation", "entry-incarnation", "restart-fencing"),
    ),
    removed_checks.Removal(
        "start-incarnation",
        INCARNATION,
        f"{SHARD}.starts",
        "_obstacle",
        "if not executor.confirmed:",
        "if False:",
        "shard/tests/test_starts.py::"
        "test_no_start_is_sent_to_an_incarnation_that_is_not_confirmed",
    ),
    removed_checks.Removal(
        "place-incarnation",
        INCARNATION,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and executor.confirmed\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[confirmed]",
    ),
    removed_checks.Removal(
        "entry-incarnation",
        INCARNATION,
        "limpetstream.workflow.eligibility",
        "has_current_entry",
        "executor.born_ms == executor.listing.born_ms",
        "True",
        "shard/tests/test_restarts.py::"
        "test_an_executor_whose_entry_precedes_its_polls_gets_tasks_once_they_agree",
    ),
    removed_checks.Removal(
        "confirm-incarnation",
        INCARNATION,
        f"{SHARD}.proof",
        "_confirm_incarnation",
        "await confirm(shard)",
        "pass",
        "shard/tests/test_polls.py::"
        "test_an_incarnation_is_confirmed_by_an_append_that_began_after_its_answer",
        also=("entry-incarnation", "restart-fencing"),
    ),
    removed_checks.Removal(
        "start-fenced",
        INCARNATION,
        f"{SHARD}.starts",
        "_obstacle",
        "if not executor.fenced:",
        "if False:",
        "shard/tests/test_calls_at_restarts.py::"
        "test_no_start_is_sent_before_former_calls_are_rejected",
    ),
    removed_checks.Removal(
        "place-fenced",
        INCARNATION,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and executor.fenced\n",
        "",
        "shard/tests/test_restarts.py::"
        "test_an_executor_whose_entry_precedes_its_polls_gets_tasks_once_they_agree",
    ),
    removed_checks.Removal(
        "restart-incarnation",
        INCARNATION,
        f"{SHARD}.restarts",
        "note_restart",
        "    proof.confirm_incarnation(shard, executor)\n",
        "",
        "shard/tests/test_quorum.py::"
        "test_a_restarted_executor_proves_nothing_until_an_append_is_confirmed",
    ),
    removed_checks.Removal(
        "restart-fencing",
        INCARNATION,
        f"{SHARD}.restarts",
        "_begin_fencing",
        "    executor.fenced = executor.recorded = False\n",
        "",
        "shard/tests/test_former_processes.py::"
        "test_no_start_is_sent_before_the_record_tells_of_the_longest_lease",
    ),
    removed_checks.Removal(
        "restart-recorded",
        INCARNATION,
        f"{SHARD}.restarts",
        "_begin_fencing",
        "executor.fenced = executor.recorded = False",
        "executor.fenced = False",
        "shard/tests/test_former_processes.py::"
        "test_no_start_is_sent_before_the_record_tells_of_the_longest_lease",
    ),
    removed_checks.Removal(
        "restart-record-written",
        INCARNATION,
        f"{SHARD}.restarts",
        "_raise_token",
        "    shard.spawn(executor_records.write(shard, executor))\n",
        "",
        "shard/tests/test_restarts.py::test_a_restart_between_two_polls_is_recorded",
    ),
    removed_checks.Removal(
        "restart-longest-recorded",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_inherited",
        "record.longest_lease or ",
        "",
        "shard/tests/test_former_processes.py::"
        "test_no_task_runs_twice_where_a_poll_met_the_next_process[kill_owner]",
    ),
    removed_checks.Removal(
        "restart-token",
        INCARNATION,
        f"{SHARD}.restarts",
        "_raise_token",
        "    executor.token_raise = max(executor.token_raise, token_raise)\n",
        "    executor.required_token_raise = 0\n",
        "shard/tests/test_former_processes.py::"
        "test_a_restarted_executor_rejects_calls_to_its_former_process",
    ),
    removed_checks.Removal(
        "restart-returned",
        INCARNATION,
        f"{SHARD}.executor_list",
        "add_executor",
        "    restarts.note_return(shard, executor)\n",
        "",
        "shard/tests/test_forgotten_restarts.py::"
        "test_an_executor_that_returns_to_the_list_accepts_calls",
    ),
    removed_checks.Removal(
        "restart-lower-token",
        INCARNATION,
        f"{SHARD}.fences",
        "CheckingClient._checked",
        "if token < self._newest_token(executor_id):",
        "if False:",
        "shard/tests/test_fences.py::"
        "test_a_rejected_call_to_a_former_process_is_no_sign_of_a_later_owner",
    ),
    removed_checks.Removal(
        "restart-token-stored",
        INCARNATION,
        f"{SHARD}.ownership",
        "next_epoch",
        "_highest_token(entries)",
        "0",
        "shard/tests/test_forgotten_restarts.py::"
        "test_a_claim_after_a_damaged_one_is_above_each_token[1]",
    ),
    removed_checks.Removal(
        "restart-token-durable",
        INCARNATION,
        f"{SHARD}.restarts",
        "_raise_token",
        "    await shard.journal.wait_until_durable()\n",
        "",
        "shard/tests/test_former_processes.py::"
        "test_the_raised_token_is_not_used_before_it_is_durable",
    ),
    removed_checks.Removal(
        "restart-claimed-epoch",
        INCARNATION,
        f"{SHARD}.ownership",
        "_make_claim",
        "previous.claimed_epoch()",
        "previous.epoch",
        "shard/tests/test_recorded_leases.py::"
        "test_the_owner_before_is_known_by_the_epoch_of_its_claim",
    ),
    removed_checks.Removal(
        "restart-unreadable",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_unreadable",
        "    shard.longest_leased_executors.add(executor_id)\n",
        "",
        "shard/tests/test_forgotten_restarts.py::"
        "test_no_task_runs_twice_where_the_record_was_damaged",
    ),
    removed_checks.Removal(
        "restart-earlier-version",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_inherited",
        " or record.process_born_ms is None",
        "",
        "shard/tests/test_forgotten_restarts.py::"
        "test_no_task_runs_twice_where_an_earlier_version_wrote_the_record",
    ),
    removed_checks.Removal(
        "restart-other-process",
        INCARNATION,
        f"{SHARD}.executor_records",
        "may_hold_longest_lease",
        "born_ms != shard.process_born_ms_by_executor.get(executor_id)",
        "False",
        "shard/tests/test_recorded_leases.py::"
        "test_a_first_answer_of_another_process_tells_of_the_longest_lease[2-True]",
    ),
    removed_checks.Removal(
        "long-running-recorded",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_inherited",
        "may_run = record.long_running or not record.longest_lease",
        "may_run = False",
        "shard/settling/tests/test_long_running_safety.py::"
        "test_no_task_runs_twice_that_was_placed_on_a_restarted_executor",
    ),
    removed_checks.Removal(
        "long-running-admitted",
        INCARNATION,
        f"{SHARD}.executor_records",
        "admit_long_running",
        "    if executor.record_bars_long_running:\n",
        "    if False:\n",
        "",
    ),
    removed_checks.Removal(
        "long-running-barred",
        INCARNATION,
        f"{SHARD}.starts",
        "_obstacle",
        "run.task.step.long_running and executor.record_bars_long_running",
        "False",
        "shard/settling/tests/test_long_running_safety.py::"
        "test_no_task_runs_twice_that_was_placed_after_the_record_was_written",
        also=("long-running-admitted",),
    ),
    removed_checks.Removal(
        "long-running-unsettled",
        INCARNATION,
        f"{SHARD}.settling.long_running",
        "may_be_on",
        "if executor.long_running_starts.call_by_number:",
        "if False:",
        "shard/settling/tests/test_long_running_safety.py::"
        "test_no_task_runs_twice_where_a_late_start_meets_the_next_process",
    ),
    removed_checks.Removal(
        "long-running-earlier-starts",
        INCARNATION,
        f"{SHARD}.settling.long_running",
        "note_added",
        "if is_removed or may_be_on_inherited(shard, executor_id):",
        "if False:",
        "shard/settling/tests/test_long_running_safety.py::"
        "test_no_task_runs_twice_where_a_start_of_the_owner_before_is_late",
    ),
    removed_checks.Removal(
        "long-running-earlier-version",
        INCARNATION,
        f"{SHARD}.settling.long_running",
        "may_be_on_inherited",
        "recorded_from is None or epoch < recorded_from",
        "False",
        "shard/settling/tests/test_long_running_safety.py::"
        "test_an_owner_of_an_earlier_version_may_have_ignored_the_record[4-5-True]",
    ),
    removed_checks.Removal(
        "restart-kept",
        INCARNATION,
        f"{SHARD}.executor_records",
        "_put",
        "            record.longest_lease = "
        "may_hold_longest_lease(shard, executor_id)\n",
        "",
        "shard/tests/test_recorded_leases.py::"
        "test_the_record_of_a_silent_executor_keeps_what_it_tells_of_its_process"
        "[True]",
    ),
    removed_checks.Removal(
        "restart-fencer",
        INCARNATION,
        f"{SHARD}.sessions",
        "_earlier_leases_expire_at",
        "min(fencer, lessor)",
        "lessor",
        "shard/tests/test_recorded_leases.py::"
        "test_the_longest_lease_counts_from_the_owner_that_the_record_names",
    ),
    removed_checks.Removal(
        "late-start-delay",
        INCARNATION,
        f"{SHARD}.sessions",
        "_earlier_leases_expire_at",
        "longest_at + restarts.MAX_CALL_DELAY_S",
        "longest_at",
        "shard/settling/tests/test_late_starts.py::"
        "test_no_task_runs_twice_where_a_noticed_process_was_not_fenced",
    ),
    removed_checks.Removal(
        "late-start-recorded",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_inherited",
        "if record.unfenced:",
        "if False:",
        "shard/settling/tests/test_late_starts.py::"
        "test_no_task_runs_twice_where_a_noticed_process_was_not_fenced",
    ),
    removed_checks.Removal(
        "late-start-untold",
        INCARNATION,
        f"{SHARD}.executor_records",
        "note_inherited",
        "if record.unfenced:",
        "if record.longest_lease and record.unfenced:",
        "shard/settling/tests/test_late_starts.py::"
        "test_no_task_runs_twice_where_a_record_does_not_tell_of_its_process",
    ),
    removed_checks.Removal(
        "late-start-listed",
        INCARNATION,
        f"{SHARD}.settling.late_starts",
        "may_be_under_way",
        "bool(recorded_ms and listed_ms) and listed_ms != recorded_ms",
        "False",
        "shard/settling/tests/test_late_starts.py::"
        "test_no_task_runs_twice_where_the_owner_ended_before_it_noticed_a_restart",
    ),
    removed_checks.Removal(
        "late-start-left",
        INCARNATION,
        f"{SHARD}.sessions",
        "_may_start_late",
        " or _is_unlisted(shard, executor)",
        "",
        "shard/settling/tests/test_late_starts.py::"
        "test_an_executor_that_has_left_delays_nothing",
    ),
    removed_checks.Removal(
        "restart-idle",
        INCARNATION,
        f"{SHARD}.sessions",
        "_is_idle",
        "if shard.clock.monotonic() < executor.longest_lease_expires_at:",
        "if False:",
        "shard/tests/test_forgotten_restarts.py::"
        "test_no_task_runs_twice_where_a_restarted_executor_became_idle",
    ),
    removed_checks.Removal(
        "restart-late-calls",
        INCARNATION,
        f"{SHARD}.restarts",
        "_begin_fencing",
        "        + MAX_CALL_DELAY_S\n",
        "",
        "shard/tests/test_forgotten_restarts.py::"
        "test_no_task_runs_twice_where_an_unfenced_executor_gets_late_calls",
    ),
    removed_checks.Removal(
        "restart-former-clock",
        INCARNATION,
        f"{SHARD}.starts",
        "_send",
        "        lease.observe(reply.clock_ms",
        "        executor.lease.observe(reply.clock_ms",
        "shard/tests/test_calls_at_restarts.py::"
        "test_a_late_answer_of_the_former_process_tells_no_clock",
    ),
    removed_checks.Removal(
        "restart-stop-token",
        INCARNATION,
        f"{SHARD}.stops",
        "_send_until_confirmed",
        "restarts.token_of(shard, executor)",
        "shard.epoch",
        "shard/tests/test_former_processes.py::"
        "test_a_restarted_executor_takes_all_calls_of_its_owner",
    ),
    removed_checks.Removal(
        "reached-incarnation",
        INCARNATION,
        f"{SHARD}.sessions",
        "_note_reply",
        "        proof.confirm_incarnation(shard, executor)\n"
        "        restarts.note_first_answer",
        "        restarts.note_first_answer",
        "shard/tests/test_quorum.py::"
        "test_an_executor_reached_first_proves_nothing_before_an_append",
    ),
    removed_checks.Removal(
        "confirm-incarnation-newest",
        INCARNATION,
        f"{SHARD}.proof",
        "_confirm_incarnation",
        "if executor.first_answered_at == answered_at:",
        "if True:",
        "shard/tests/test_polls.py::"
        "test_an_incarnation_is_confirmed_by_an_append_that_began_after_its_answer",
    ),
    removed_checks.Removal(
        "start-clock-read",
        CLOCK,
        f"{SHARD}.starts",
        "_look",
        "if sent_at - executor.lease.read_after <= sessions.MIN_RESTART_S:",
        "if True:",
        "shard/tests/test_starts.py::test_a_start_is_sent_only_after_a_recent_look",
    ),
    removed_checks.Removal(
        "start-clock-bound",
        CLOCK,
        f"{SHARD}.starts",
        "_look",
        "<= sessions.MIN_RESTART_S:",
        "<= 1.5 * sessions.MIN_RESTART_S:",
        "shard/tests/test_starts.py::test_a_start_is_sent_only_after_a_recent_look",
    ),
    removed_checks.Removal(
        "start-look-born",
        CLOCK,
        f"{SHARD}.starts",
        "_look",
        "reply.born_ms == executor.born_ms and ",
        "",
        "shard/tests/test_starts.py::"
        "test_no_start_is_sent_to_an_executor_that_has_restarted[born]",
    ),
    removed_checks.Removal(
        "start-look-clock",
        CLOCK,
        f"{SHARD}.starts",
        "_look",
        " and reply.clock_ms >= known_clock_ms",
        "",
        "shard/tests/test_starts.py::"
        "test_no_start_is_sent_to_an_executor_that_has_restarted[clock]",
    ),
    removed_checks.Removal(
        "wait-validity",
        WAIT,
        f"{SHARD}.sessions",
        "_last_order_at",
        "+ proof.VALIDITY_S",
        "+ proof.VALIDITY_S / 2",
        "shard/tests/test_quorum.py::"
        "test_a_successor_waits_for_a_lease_on_the_slowest_clock",
    ),
    removed_checks.Removal(
        "lease-length",
        WAIT,
        "limpetstream.executors.leases",
        "Lease.extend",
        "(elapsed_s + self.duration_s)",
        "(elapsed_s + 1.5 * self.duration_s)",
        "executors/tests/test_leases.py::"
        "test_a_lease_is_4_s_on_the_slowest_clock_and_a_margin",
    ),
    removed_checks.Removal(
        "place-earlier-runs",
        WAIT,
        f"{SHARD}.scheduling",
        "may_start",
        "return shard.earlier_runs_settled or (",
        "return True or (",
        "shard/tests/test_partitions.py::"
        "test_isolated_owner_starts_no_work_that_its_successor_keeps",
    ),
    removed_checks.Removal(
        "expired-inherited-lease",
        WAIT,
        f"{SHARD}.sessions",
        "_leases_expire_at",
        "max(executor.lease.expires_at, executor.earlier_leases_expire_at)",
        "executor.lease.expires_at",
        "shard/tests/test_sessions.py::"
        "test_leases_of_earlier_owners_count_after_the_first_reply",
    ),
    removed_checks.Removal(
        "proof-validity",
        WAIT,
        f"{SHARD}.proof",
        "is_proven",
        "proven = age_s(shard) < VALIDITY_S",
        "proven = age_s(shard) < 1.5 * VALIDITY_S",
        "shard/tests/test_proof.py::test_no_start_is_sent_without_a_proof",
    ),
    removed_checks.Removal(
        "wait-rate",
        WAIT,
        "limpetstream.executors.leases",
        "longest_on_local_clock_s",
        " / MIN_CLOCK_RATE",
        "",
        "shard/tests/test_quorum.py::"
        "test_a_successor_waits_for_a_lease_on_the_slowest_clock",
    ),
    removed_checks.Removal(
        "wait-margin",
        WAIT,
        "limpetstream.executors.leases",
        "longest_on_local_clock_s",
        " + EXPIRY_MARGIN_S",
        "",
        "shard/tests/test_quorum.py::"
        "test_a_successor_waits_for_a_lease_on_the_slowest_clock",
    ),
    removed_checks.Removal(
        "wait-lease",
        WAIT,
        f"{SHARD}.sessions",
        "_earlier_leases_expire_at",
        "(leases.LEASE_S)",
        "(leases.LEASE_S / 2)",
        "shard/tests/test_quorum.py::"
        "test_a_successor_waits_for_a_lease_on_the_slowest_clock",
    ),
    removed_checks.Removal(
        "lease-rate",
        WAIT,
        "limpetstream.executors.leases",
        "Lease.extend",
        " * MIN_CLOCK_RATE",
        "",
        "executors/tests/test_leases.py::"
        "test_a_lease_is_4_s_on_the_slowest_clock_and_a_margin",
    ),
    removed_checks.Removal(
        "lease-expiry-rate",
        WAIT,
        "limpetstream.executors.leases",
        "Lease._latest_expiry",
        " / MIN_CLOCK_RATE",
        "",
        "executors/tests/test_leases.py::"
        "test_a_lease_is_4_s_on_the_slowest_clock_and_a_margin",
    ),
    removed_checks.Removal(
        "lease-expiry-margin",
        WAIT,
        "limpetstream.executors.leases",
        "Lease._latest_expiry",
        " + EXPIRY_MARGIN_S",
        "",
        "executors/tests/test_leases.py::"
        "test_a_lease_is_4_s_on_the_slowest_clock_and_a_margin",
    ),
]
