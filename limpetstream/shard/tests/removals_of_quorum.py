"""Checks of the proof and of the two quorums."""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
PROOF = "the proof"
MAX_WITHOUT_APPEND = "majorities are no proof 20 s after the newest append"
EXECUTORS = "majority of executors"
INSTANCES = "majority of instances"
ENDED = "when earlier proofs have ended"
RECORDED = "executors are recorded before the first start"
UNREADABLE = "an unreadable record counts as a voter not reached"

REMOVALS = [
    removed_checks.Removal(
        "instances-majority",
        INSTANCES,
        f"{SHARD}.instance_quorum",
        "Quorum._agreed_at",
        "[len(agreed_at) // 2]",
        "[(len(agreed_at) - 1) // 2]",
        "shard/tests/test_instance_votes.py::test_half_of_the_instances_prove_nothing",
    ),
    removed_checks.Removal(
        "executors-majority",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "[len(polled_at) // 2]",
        "[(len(polled_at) - 1) // 2]",
        "shard/tests/test_executor_records.py::"
        "test_half_of_the_executors_prove_nothing",
    ),
    removed_checks.Removal(
        "journal-first-try",
        PROOF,
        f"{SHARD}.journal",
        "Journal._append",
        "self.confirmed_at = first_started_at",
        "self.confirmed_at = started_at",
        "shard/tests/test_proof.py::"
        "test_an_append_proves_the_ownership_at_its_first_try",
    ),
    removed_checks.Removal(
        "proof-max-without-append",
        MAX_WITHOUT_APPEND,
        f"{SHARD}.proof",
        "_majorities_at",
        "> MAX_WITHOUT_APPEND_S:",
        "> 1.5 * MAX_WITHOUT_APPEND_S:",
        "shard/tests/test_instance_votes.py::"
        "test_majorities_prove_nothing_long_after_the_newest_append",
    ),
    removed_checks.Removal(
        "poll-polled-at",
        EXECUTORS,
        f"{SHARD}.sessions",
        "_poll",
        "executor.polled_at = sent_at",
        "executor.polled_at = shard.clock.monotonic()",
        "shard/tests/test_polls.py::"
        "test_a_reply_proves_the_ownership_from_the_sending_of_its_poll",
    ),
    removed_checks.Removal(
        "proof-executors",
        EXECUTORS,
        f"{SHARD}.proof",
        "_majorities_at",
        "executor_records.majority_polled_at(shard), shard.instance_quorum.agreed_at()",
        "float('inf'), shard.instance_quorum.agreed_at()",
        "shard/tests/test_instance_votes.py::test_instances_alone_prove_nothing",
    ),
    removed_checks.Removal(
        "executors-kept",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "            record_state == state.KEPT\n            and executor",
        "            executor",
        "shard/tests/test_quorum.py::"
        "test_executors_without_a_durable_record_do_not_vote[writing]",
    ),
    removed_checks.Removal(
        "executors-incarnation",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "\n            and _remembers_tokens(shard, executor)",
        "",
        "shard/tests/test_quorum.py::"
        "test_a_restarted_executor_proves_nothing_until_an_append_is_confirmed",
    ),
    removed_checks.Removal(
        "executors-nonvoting",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "            continue\n",
        "            pass\n",
        "shard/tests/test_executor_records.py::"
        "test_executors_that_do_not_vote_give_no_majority",
    ),
    removed_checks.Removal(
        "records-vote-late",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "write",
        "votes = shard.earlier_proofs_ended_at is not None",
        "votes = True",
        "shard/tests/test_quorum.py::"
        "test_no_new_executor_votes_before_half_of_the_quorum_is_reached",
    ),
    removed_checks.Removal(
        "records-nonvoting",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "note_inherited",
        "if record.votes:",
        "if True:",
        "shard/tests/test_executor_records.py::"
        "test_executors_that_are_gone_and_did_not_vote_are_no_half",
    ),
    removed_checks.Removal(
        "records-durable",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "write",
        "    await shard.journal.wait_until_durable()\n    shard.record",
        "    shard.record",
        "shard/tests/test_executor_records.py::"
        "test_an_executor_counts_as_recorded_once_its_record_is_durable",
    ),
    removed_checks.Removal(
        "executors-and-start-incarnation",
        EXECUTORS,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "\n            and _remembers_tokens(shard, executor)",
        "",
        "shard/tests/test_quorum.py::"
        "test_a_restarted_executor_proves_nothing_until_an_append_is_confirmed",
        also=("confirm-incarnation", "entry-incarnation"),
    ),
    removed_checks.Removal(
        "claim-binds",
        INSTANCES,
        f"{SHARD}.ownership",
        "_do_instances_vote",
        "instances.epoch == newest.claimed_epoch()",
        "True",
        "shard/tests/test_instance_votes.py::"
        "test_instances_bind_no_owner_of_an_earlier_version",
    ),
    removed_checks.Removal(
        "claim-unreadable",
        INSTANCES,
        f"{SHARD}.ownership",
        "_do_instances_vote",
        "        return False  # The record of the newest claim cannot be read.",
        "        return True",
        "shard/tests/test_instance_votes.py::"
        "test_instances_bind_no_owner_whose_claim_cannot_be_read",
    ),
    removed_checks.Removal(
        "proof-instances",
        INSTANCES,
        f"{SHARD}.proof",
        "_majorities_at",
        "shard.instance_quorum.agreed_at()",
        "float('inf')",
        "shard/tests/test_instance_votes.py::"
        "test_executors_alone_prove_nothing_where_instances_vote",
    ),
    removed_checks.Removal(
        "instances-writing",
        INSTANCES,
        f"{SHARD}.instance_quorum",
        "Quorum.agreed_at",
        "[self.recorded] if self.writing is None else [self.recorded, self.writing]",
        "[self.recorded]",
        "shard/tests/test_instance_votes.py::"
        "test_both_sets_vote_while_the_record_is_being_written",
    ),
    removed_checks.Removal(
        "instances-later-epoch",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "_ask_member",
        " and reply.epoch <= shard.epoch",
        "",
        "shard/tests/test_instance_votes.py::"
        "test_an_instance_that_knows_a_later_epoch_does_not_vote",
    ),
    removed_checks.Removal(
        "instances-ended",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "_ask_member",
        "if not has_ended and",
        "if",
        "shard/tests/test_instance_votes.py::"
        "test_a_process_that_started_again_does_not_vote",
    ),
    removed_checks.Removal(
        "instances-without-name",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "_ask_member",
        "        return  # An instance of a version that does not vote.",
        "        pass",
        "shard/tests/test_instance_votes.py::"
        "test_instances_that_do_not_vote_are_not_told",
    ),
    removed_checks.Removal(
        "instances-sent-at",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "_ask_member",
        "agreed_at_by_member[member] = sent_at",
        "agreed_at_by_member[member] = shard.clock.monotonic()",
        "shard/tests/test_instance_votes.py::"
        "test_a_vote_counts_from_the_sending_of_the_question",
    ),
    removed_checks.Removal(
        "instances-note-epoch",
        INSTANCES,
        f"{SHARD}.shard_server",
        "ShardServer._note_epoch",
        "self._epoch_by_shard[number] = highest",
        "pass",
        "shard/tests/test_instance_votes.py::"
        "test_an_instance_remembers_the_highest_epoch",
    ),
    removed_checks.Removal(
        "instances-recorded-late",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "record",
        "        if shard.earlier_proofs_ended_at is None:\n            continue\n",
        "",
        "shard/tests/test_instance_votes.py::"
        "test_instances_are_recorded_once_earlier_proofs_have_ended",
    ),
    removed_checks.Removal(
        "instances-bind",
        INSTANCES,
        f"{SHARD}.instance_votes",
        "note_inherited",
        "if quorum.binds_earlier_owners:",
        "if True:",
        "shard/tests/test_instance_votes.py::"
        "test_instances_end_no_proof_of_an_owner_that_does_not_ask_them",
    ),
    removed_checks.Removal(
        "expired-not-ended",
        ENDED,
        f"{SHARD}.sessions",
        "_last_order_at",
        "        return math.inf\n",
        "        return -math.inf\n",
        "shard/tests/test_quorum.py::"
        "test_leases_count_as_valid_until_half_of_the_executors_were_reached",
    ),
    removed_checks.Removal(
        "records-half",
        ENDED,
        f"{SHARD}.executor_records",
        "is_half_reached",
        "* 2 >= len(voters)",
        "* 2 >= len(voters) - 1",
        "shard/tests/test_executor_records.py::"
        "test_less_than_half_of_the_executors_end_no_proof",
    ),
    removed_checks.Removal(
        "instances-half",
        ENDED,
        f"{SHARD}.instance_quorum",
        "Quorum.is_half_told",
        "* 2 >= len(self.inherited)",
        "* 2 >= len(self.inherited) - 1",
        "shard/tests/test_instance_votes.py::"
        "test_less_than_half_of_the_instances_end_no_proof",
    ),
    removed_checks.Removal(
        "ended-time-binds",
        ENDED,
        f"{SHARD}.sessions",
        "_check_earlier_proofs",
        "quorum.binds_earlier_owners\n        and ",
        "",
        "shard/tests/test_instance_votes.py::"
        "test_time_ends_no_proof_of_an_owner_that_does_not_ask_instances",
    ),
    removed_checks.Removal(
        "ended-time",
        ENDED,
        f"{SHARD}.sessions",
        "_check_earlier_proofs",
        "> proof.MAX_WITHOUT_APPEND_S",
        "> proof.MAX_WITHOUT_APPEND_S / 2",
        "shard/tests/test_instance_votes.py::"
        "test_less_than_half_of_the_instances_end_no_proof",
    ),
    removed_checks.Removal(
        "place-recorded",
        RECORDED,
        "limpetstream.workflow.eligibility",
        "is_available",
        "        and executor.recorded\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_no_task_is_placed_where_it_may_run_unknown[recorded]",
    ),
    removed_checks.Removal(
        "idle-reached",
        RECORDED,
        f"{SHARD}.sessions",
        "_is_idle",
        "return has_told_all or _have_leases_expired(shard, executor)",
        "return True",
        "shard/tests/test_polls.py::"
        "test_an_executor_that_an_earlier_owner_used_is_not_idle_before_its_reply",
    ),
    removed_checks.Removal(
        "records-unreadable-reached",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "_is_reached_or_gone",
        "return executor_id not in shard.unreadable_executors",
        "return True",
        "shard/tests/test_executor_records.py::"
        "test_unreadable_records_count_as_voters_that_were_not_reached",
    ),
    removed_checks.Removal(
        "records-unreadable-voter",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "note_unreadable",
        "    shard.inherited_voters.add(executor_id)\n",
        "",
        "shard/tests/test_executor_records.py::"
        "test_unreadable_records_count_as_voters_that_were_not_reached",
    ),
    removed_checks.Removal(
        "records-unreadable-inherited",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "note_unreadable",
        "    shard.inherited_executors.add(executor_id)\n",
        "",
        "shard/tests/test_settled_too_early.py::"
        "test_executors_whose_records_cannot_be_read_count_as_not_reached",
    ),
    removed_checks.Removal(
        "executors-unreadable",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        '[float("-inf")] * len(unreadable - shard.record_state_by_id.keys())',
        "[]",
        "shard/tests/test_unreadable_voters.py::"
        "test_no_task_runs_twice_after_an_owner_that_cannot_read_half_of_the_records",
    ),
    removed_checks.Removal(
        "executors-unreadable-replaced",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "majority_polled_at",
        "shard.nonvoting_executors - unreadable",
        "shard.nonvoting_executors",
        "shard/tests/test_unreadable_voters.py::"
        "test_an_unreadable_record_counts_until_it_is_replaced",
    ),
    removed_checks.Removal(
        "executors-unreadable-deleted",
        UNREADABLE,
        f"{SHARD}.executor_records",
        "_forget_dropped",
        "await shard.journal.wait_until_durable()",
        "pass",
        "shard/tests/test_unreadable_voters.py::"
        "test_an_unreadable_record_counts_until_it_is_deleted",
    ),
    removed_checks.Removal(
        "instances-unreadable",
        INSTANCES,
        f"{SHARD}.instance_quorum",
        "Quorum.agreed_at",
        "if self.unreadable:",
        "if False:",
        "shard/tests/test_unreadable_voters.py::"
        "test_instances_whose_record_cannot_be_read_have_to_agree",
    ),
]
