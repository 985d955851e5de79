"""Changes that make the bound of a wait of design.md 11.8 too long.

The users' rule allows 3 s without a run in calm, and 6 s after the last run of
a task that lasts. Each end that is a time comes three times as late here: 9 s,
or 18 s for what only concerns tasks that last. A pause of 9 s counts where the
bound itself is longer than the rule's, for then something is disturbed.

Tests of single scenes need not notice a longer bound, the search has to.
"""

from limpetstream.shard.tests import removed_checks

SHARD = "limpetstream.shard"
WORKFLOW = "limpetstream.workflow"
LATE_S = 9.0
LATE_LASTING_S = 18.0  # For ``late_constants``.
SLEEP = f"await shard.clock.sleep({LATE_S})"
# Rows whose bound cannot be changed alone, and why.
ROWS_WITHOUT_LATE_END = {
    "no owner that works": "the store refuses this member all the while",
    "progress unreadable": "its end is an append",
    "progress too large for a record, also compressed": "its end is an append",
    "attempts used up": "its end is an append",
    "look too old": "a longer poll lets the lease lapse first",
    "stop confirmed, the run stays listed": "as 'stop confirmed, no end listed'",
    "holds unknown runs": "as 'stop confirmed, no end listed'",
    "spread limit": "its end is that of a run",
    "accelerators": "its end is that of a run",
    "gang done, its members open for a new owner": "its end comes at once",
    "record of an executor unreadable": "as 'not in the journal yet'",
}

REMOVALS = [
    removed_checks.Removal(
        "late-membership",
        "no owner",
        f"{SHARD}.ownership",
        "Ownership._join",
        "ttl_s=self._membership_ttl_s,",
        f"ttl_s={LATE_S},",
        "",
    ),
    removed_checks.Removal(
        "late-claim",
        "no owner",
        f"{SHARD}.ownership",
        "Ownership._own_shard",
        "        await self._wait_until_vacant(shard)\n",
        "        await self._wait_until_vacant(shard)\n"
        f"        await self._clock.sleep({LATE_S})\n",
        "",
    ),
    removed_checks.Removal(
        "late-denials",
        "the announced owner is a member and serves the shard no more",
        f"{SHARD}.ownership",
        "Ownership._wait_until_vacant",
        "denials >= 2 or",
        "denials >= 23 or",
        "",
    ),
    removed_checks.Removal(
        "late-claim-after-failure",
        "the owner's task group has failed",
        f"{SHARD}.ownership",
        "Ownership._own_shard",
        "logs.emit(events.SHARD_FAILED, shard=shard, epoch=epoch, error=reason)\n",
        "logs.emit(events.SHARD_FAILED, shard=shard, epoch=epoch, error=reason)\n"
        f"        await self._clock.sleep({LATE_S})\n",
        "",
    ),
    removed_checks.Removal(
        "late-submissions",
        "submission not read yet",
        f"{SHARD}.shard_server",
        "_submissions_follower",
        "wait_s=SUBMISSIONS_WAIT_S,",
        f"wait_s=SUBMISSIONS_WAIT_S, pause_s={LATE_S},",
        "",
    ),
    removed_checks.Removal(
        "late-step",
        "step not released",
        f"{SHARD}.jobs",
        "queue_more",
        "enqueue(shard, task, ready_at=released_at)",
        f"enqueue(shard, task, {LATE_S}, ready_at=released_at)",
        "",
    ),
    removed_checks.Removal(
        "late-occurrence",
        "occurrence not due",
        f"{SHARD}.housekeeping",
        "release_due_occurrences",
        "> now_ms:",
        f"> now_ms - {LATE_S * 1000}:",
        "",
    ),
    removed_checks.Removal(
        "late-proof",
        "ownership unproven",
        f"{SHARD}.proof",
        "is_proven",
        "proven = age_s(shard) < VALIDITY_S",
        "proven = age_s(shard) < VALIDITY_S and (shard.unproven_since is None or "
        f"shard.clock.monotonic() - shard.unproven_since > {LATE_S})",
        "",
    ),
    removed_checks.Removal(
        "late-located",
        "not located",
        f"{SHARD}.sessions",
        "_earlier_leases_expire_at",
        "return expires_at",
        f"return expires_at + {LATE_S}",
        "",
    ),
    removed_checks.Removal(
        "late-located-append",
        "not located",
        f"{SHARD}.sessions",
        "check_earlier_runs",
        "if executor_records.are_answers_confirmed(shard):",
        "if executor_records.are_answers_confirmed(shard) and "
        f"now - shard.claimed_at > {LATE_S}:",
        "",
    ),
    removed_checks.Removal(
        "late-start-journal",
        "first start of a job waits for the journal",
        f"{SHARD}.starts",
        "_record_job",
        "        await shard.journal.wait_until_durable()\n",
        f"        await shard.journal.wait_until_durable()\n        {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-start-withdrawn",
        "start can no longer be sent",
        f"{SHARD}.starts",
        "_try_to_start",
        "        _withdraw(shard, executor, run, obstacle)\n",
        f"        {SLEEP}\n        _withdraw(shard, executor, run, obstacle)\n",
        "",
    ),
    removed_checks.Removal(
        "late-start-others",
        "start waits behind others of its executor",
        f"{SHARD}.starts",
        "_start_in_turn",
        "    await _try_to_start(shard, executor, run)\n",
        f"    await _try_to_start(shard, executor, run)\n    {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-stop-unanswered",
        "stop without an answer",
        f"{SHARD}.status_reports",
        "_mark_vanished_runs_lost",
        "run.missing_since = shard.clock.monotonic()",
        f"run.missing_since = shard.clock.monotonic() + {LATE_S}",
        "",
    ),
    removed_checks.Removal(
        "late-stop-of-doubt",
        "stop without an answer, of a start in doubt",
        f"{SHARD}.status_reports",
        "_can_start_no_more",
        "clock_ms > run.start_deadline_ms",
        f"clock_ms > run.start_deadline_ms + {LATE_S * 1000}",
        "",
    ),
    removed_checks.Removal(
        "late-older-run",
        "an older run is listed",
        f"{SHARD}.jobs",
        "_apply_to_open_task",
        "        task.run = None\n        enqueue(shard, task)",
        f"        task.run = None\n        enqueue(shard, task, {LATE_S})",
        "",
    ),
    removed_checks.Removal(
        "late-given-up",
        "run on an executor that does not answer",
        f"{SHARD}.sessions",
        "_have_leases_expired",
        "return shard.clock.monotonic() > _leases_expire_at(shard, executor)",
        "return shard.clock.monotonic() > "
        f"_leases_expire_at(shard, executor) + {LATE_S}",
        "",
    ),
    removed_checks.Removal(
        "late-given-up-append",
        "the executor was back in the meantime",
        f"{SHARD}.sessions",
        "_give_up_once_confirmed",
        "        await proof.confirm(shard)\n",
        f"        await proof.confirm(shard)\n        {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-replaced",
        "run on an executor that was replaced",
        f"{SHARD}.sessions",
        "_remove_replaced",
        "    await proof.confirm(shard)\n",
        f"    await proof.confirm(shard)\n    {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-run-lost",
        "run on an executor that has restarted under its id",
        f"{SHARD}.status_reports",
        "_lose_once_confirmed",
        "        await proof.confirm(shard)\n",
        f"        await proof.confirm(shard)\n        {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-reached",
        "not reached yet",
        f"{WORKFLOW}.eligibility",
        "is_available",
        "executor.reached\n",
        "executor.reached\n        "
        f"and context.now - executor.first_answered_at > {LATE_S}\n",
        "",
    ),
    removed_checks.Removal(
        "late-confirmed",
        "no append since its first answer",
        f"{SHARD}.proof",
        "_confirm_incarnation",
        "    await confirm(shard)\n",
        f"    await confirm(shard)\n    {SLEEP}\n",
        "",
    ),
    removed_checks.Removal(
        "late-recorded",
        "not in the journal yet",
        f"{SHARD}.executor_records",
        "write",
        "    _note_recorded(shard, executor, written)\n",
        f"    {SLEEP}\n    _note_recorded(shard, executor, written)\n",
        "",
    ),
    removed_checks.Removal(
        "late-recorded-delete",
        "not in the journal yet",
        f"{SHARD}.executor_records",
        "delete",
        "        await write(shard, current)",
        f"        {SLEEP}\n        await write(shard, current)",
        "",
    ),
    removed_checks.Removal(
        "late-silent",
        "silent",
        f"{SHARD}.sessions",
        "_note_reply",
        "    executor.silent_since = None\n",
        "    executor.silent_since = None\n"
        f"    executor.avoid_until = shard.clock.monotonic() + {LATE_S}\n",
        "",
    ),
    removed_checks.Removal(
        "late-audit",
        "forgotten by the owner",
        f"{SHARD}.audits",
        "Audit._handle",
        "jobs.enqueue(self.shard, task)",
        f"jobs.enqueue(self.shard, task, {LATE_S})",
        "",
    ),
]
