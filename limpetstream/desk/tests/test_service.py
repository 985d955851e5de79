"""The whole path of a request, between instances on virtual time."""

import asyncio

import pytest

from limpetstream import errors
from limpetstream.desk import context, generated_answers, messages, router
from limpetstream.desk.tests import builders
from standins import virtual_time

NODES = {"a": "dc0", "b": "dc0"}
BACKENDS = {"e1": "dc0", "e2": "dc0", "e3": "dc0", "e4": "dc0"}


def world(nodes=None, backends=None, **fields):
    """Return a world; must be called on the loop."""
    return builders.World(nodes or NODES, backends or BACKENDS, **fields)


def run(main):
    """Run a coroutine on virtual time."""
    return virtual_time.run(main())


async def ready(owner="b", **fields):
    """Return a started world in which one node holds every group."""
    made = world(**fields)
    for group in made.groups():
        made.grant(group, made.by_id[owner])
    await made.start()
    return made


def test_answer_is_whole_recorded_and_kept():
    """Guards against answers that are not in the account."""

    async def main():
        made = await ready()
        for mark in (True, False):
            asked = builders.request(made, f"r{mark}", idempotent=mark)
            answer = await made.by_id["a"].desk.handle(asked)
            assert (answer.outcome, answer.body) == ("answered", b"answer to body")
            entries = made.by_id["a"].accounts.entry_by_key[asked.key]
            assert entries == ["received", ("answered", 1)]
            again = builders.request(made, f"r{mark}", idempotent=mark)
            assert (await made.by_id["a"].desk.handle(again)).body == answer.body
            assert made.runs(asked.request_id) == 1

    run(main)


def test_another_mark_does_not_run_it_again():
    """Guards against a repeat that is marked idempotent (I7)."""

    async def main():
        made = await ready()
        await made.by_id["a"].desk.handle(builders.request(made, idempotent=False))
        await asyncio.sleep(0.2)
        made.by_id["b"].desk.answer_cache.by_key.clear()
        again = await made.by_id["b"].desk.handle(builders.request(made))
        assert (again.outcome, again.body) == ("answered", b"answer to body")
        assert made.runs("r1") == 1

    run(main)


@pytest.mark.parametrize("written", [True, False])
def test_not_run_is_told_only_if_nothing_was_written(written):
    """Guards against a false "not run" (I6)."""
    progress = messages.Progress(1, written)
    told = generated_answers.from_error(errors.NotRun("overload"), progress)
    fault = generated_answers.from_internal_error(progress)
    expected = "unknown" if written else "not-run"
    assert (told.outcome, fault.outcome) == (expected, expected)


def test_a_lost_non_idempotent_request_is_not_moved():
    """Guards against a second run at another holder (I7)."""

    async def main():
        made = world({"a": "dc0", "b": "dc0", "c": "dc0"}, run_s=0.4)
        groups = made.groups()
        made.grant(groups[0], made.by_id["b"])
        made.grant(groups[1], made.by_id["c"])
        await made.start()
        desk = made.by_id["a"].desk
        targets = [router.Target("b", groups[0]), router.Target("c", groups[1])]
        desk.router = builders.ScriptedRouter(desk.router, targets)
        asked = builders.request(made, idempotent=False)
        working = asyncio.ensure_future(desk.handle(asked))
        await asyncio.sleep(0.2)
        made.by_id["b"].kill()
        assert (await working).outcome == "unknown"
        await asyncio.sleep(2.0)
        assert made.runs("r1") == 1
        assert len(targets) == 1

    run(main)


def test_leaving_executors_are_not_offered():
    """Guards against choosing executors that the last check will refuse."""

    async def main():
        made = await ready()
        made.directory.by_id["e1"].state = "leaving"
        made.directory.changes += 1
        await asyncio.sleep(0.2)
        executors = made.by_id["b"].holder.slot_table.by_executor
        assert "e1" not in executors
        made.tree.data_centre("dc0").state = "out"
        made.tree.version += 1
        await asyncio.sleep(0.2)
        assert not made.by_id["b"].holder.slot_table.by_executor

    run(main)


def test_a_forwarded_request_is_not_forwarded_on():
    """Guards against a request that wanders while a group changes hands."""

    async def main():
        made = world({"a": "dc0", "b": "dc0", "c": "dc0"})
        for group in made.groups():
            made.grant(group, made.by_id["b"])
        await made.start()
        b, serve = made.by_id["b"], made.by_id["b"].routes[messages.FORWARD_PATH]

        async def after_hand_over(*arguments):
            for group in made.groups():
                b.right_by_group.pop(group, None)
                made.grant(group, made.by_id["c"], epoch=2)
            return await serve(*arguments)

        b.routes[messages.FORWARD_PATH] = after_hand_over
        made.calls.clear()
        await made.by_id["a"].desk.handle(builders.request(made))
        forwards = [call for call in made.calls if call[2] == messages.FORWARD_PATH]
        assert {call[0] for call in forwards} == {"a"}

    run(main)


def test_forwarded_at_most_once():
    """Guards against chains of forwards when rights are seen differently."""

    async def main():
        made = await ready()
        # ``b`` has lost the groups, and ``a`` does not know that yet.
        for group in made.groups():
            made.by_id["b"].right_by_group.pop(group)
        await asyncio.sleep(1.0)
        made.calls.clear()
        answer = await made.by_id["a"].desk.handle(builders.request(made))
        assert answer.outcome == "not-run"
        forwards = [c for c in made.calls if c[2] == messages.FORWARD_PATH]
        assert forwards == [("a", "b", messages.FORWARD_PATH)]
        assert made.runs("r1") == 0

    run(main)


def test_same_non_idempotent_id_at_two_instances():
    """Guards against a request that runs at both."""

    async def main():
        made = await ready()
        asked = [builders.request(made, idempotent=False) for _ in range(2)]
        nodes = [made.by_id["a"].desk, made.by_id["b"].desk]
        answers = await asyncio.gather(
            *(desk.handle(each) for desk, each in zip(nodes, asked, strict=True))
        )
        assert [each.body for each in answers] == [b"answer to body"] * 2
        assert made.runs("r1") == 1

    run(main)


def test_same_id_with_another_body_is_refused_everywhere():
    """Guards against one caller's answer to another question."""

    async def main():
        made = await ready()
        first = builders.request(made, idempotent=False)
        await made.by_id["a"].desk.handle(first)
        await asyncio.sleep(0.2)
        for node in made.by_id.values():
            for mark in (False, True):
                other = builders.request(made, idempotent=mark, body=b"other")
                with pytest.raises(errors.Rejected) as caught:
                    await node.desk.handle(other)
                assert caught.value.status == 409
        assert made.runs("r1") == 1

    run(main)


def test_request_ids_are_scoped_by_caller():
    """Guards against giving one caller's answer to another."""

    async def main():
        made = await ready()
        desk = made.by_id["a"].desk
        one = builders.request(made, body=b"one")
        two = builders.request(made, body=b"two", caller="d")
        answers = await asyncio.gather(desk.handle(one), desk.handle(two))
        assert [a.body for a in answers] == [b"answer to one", b"answer to two"]

    run(main)


def test_answer_after_the_caller_left():
    """Guards against work whose outcome is lost with its caller."""

    async def main():
        made = await ready(run_s=0.5)
        desk = made.by_id["a"].desk
        asked = builders.request(made, idempotent=False)
        caller = asyncio.ensure_future(desk.handle(asked))
        await asyncio.sleep(0.2)
        caller.cancel()
        await asyncio.sleep(1.0)
        assert desk.answer_cache.by_key[asked.key].answer.body == b"answer to body"
        state = made.by_id["b"].intents.by_key[asked.key].state
        assert state == "answered"

    run(main)


def test_late_answer_is_unknown_then_known():
    """Guards against a late answer that is dropped or told as not run."""

    async def main():
        made = await ready(run_s=1.5)
        desk = made.by_id["a"].desk
        asked = builders.request(
            made, idempotent=False, deadline=made.loop_time() + 0.4
        )
        answer = await desk.handle(asked)
        assert (answer.outcome, answer.status) == ("unknown", 504)
        await asyncio.sleep(2.0)
        assert desk.answer_cache.by_key[asked.key].answer.outcome == "answered"
        assert made.by_id["a"].accounts.entry_by_key[asked.key][-1][0] == "answered"

    run(main)


def test_lost_forward_of_a_non_idempotent_request_is_found_again():
    """Guards against "not run" or a second run after a lost forward."""

    async def main():
        made = await ready(run_s=0.3)
        asked = builders.request(made, idempotent=False)
        working = asyncio.ensure_future(made.by_id["a"].desk.handle(asked))
        await asyncio.sleep(0.1)
        made.by_id["b"].paused_until = made.loop_time() + 6.0
        assert (await working).outcome == "unknown"
        await asyncio.sleep(10.0)
        states = made.by_id["a"].accounts.entry_by_key[asked.key]
        assert [each[0] for each in states[1:]] == ["unknown", "answered"]
        assert made.runs("r1") == 1

    run(main)


def test_idempotent_request_leaves_a_dead_holder():
    """Guards against a failed forward that ends an idempotent request."""

    async def main():
        made = world()
        builders.grant_all_groups(made)
        await made.start()
        made.by_id["b"].kill()
        answers = [
            await made.by_id["a"].desk.handle(builders.request(made, f"r{number}"))
            for number in range(20)
        ]
        assert {each.outcome for each in answers} == {"answered"}

    run(main)


def test_a_fault_while_following_ends_one_round_only():
    """Guards against an instance that goes on with an old list for good."""

    async def main():
        made = await ready()
        instances = made.directory.by_id
        made.directory.by_id = {"bad": None}
        made.directory.changes += 1
        await asyncio.sleep(0.3)
        made.directory.by_id = instances
        del instances["e1"]
        made.directory.changes += 1
        await asyncio.sleep(0.3)
        assert "e1" not in made.by_id["b"].holder.slot_table.by_executor
        answer = await made.by_id["a"].desk.handle(builders.request(made))
        assert answer.outcome == "answered"

    run(main)


def test_a_pause_does_not_stop_an_instance_for_good():
    """Guards against run times that a pause made up and nothing corrects."""

    async def main():
        made = await ready(owner="a")
        node = made.by_id["a"]
        working = asyncio.ensure_future(node.desk.handle(builders.request(made)))
        await asyncio.sleep(0.01)
        node.paused_until = made.loop_time() + 10.0
        await working
        await asyncio.sleep(10.0)
        gate = node.holder.admission
        assert gate.queue("desk").mean_run_s < 1.0
        gate.queue("desk").mean_run_s = 60.0
        outcomes = []
        for number in range(40):
            await asyncio.sleep(0.5)
            asked = builders.request(made, f"r{number}")
            outcomes.append((await node.desk.handle(asked)).outcome)
        assert outcomes[-1] == "answered"

    run(main)


def test_log_outage():
    """Guards against non-idempotent sends without an intent in the log."""

    async def main():
        made = await ready()
        made.log.up = False
        await asyncio.sleep(context.VIEW_MAX_AGE_S + 0.2)
        desk = made.by_id["a"].desk
        refused = await desk.handle(builders.request(made, "n1", idempotent=False))
        assert (refused.outcome, refused.reason) == ("not-run", "log-unavailable")
        assert (await desk.handle(builders.request(made))).outcome == "answered"
        assert made.runs("n1") == 0

    run(main)


def test_lost_append_answer_is_not_run_and_may_be_tried_again():
    """Guards against sending on an append that was told as failed."""

    async def main():
        made = await ready()
        made.log.lose_answers = 1
        desk = made.by_id["a"].desk
        asked = builders.request(made, idempotent=False)
        refused = await desk.handle(asked)
        assert refused.outcome in ("not-run", "unknown")
        await asyncio.sleep(0.5)
        assert made.runs("r1") == 0
        assert made.by_id["b"].intents.by_key[asked.key].state == "not-run"
        again = await desk.handle(builders.request(made, idempotent=False))
        assert again.outcome == "answered"
        assert made.runs("r1") == 1

    run(main)


def test_account_must_be_available_and_confirmed():
    """Guards against answers to requests that no account will show."""

    async def main():
        made = await ready()
        node = made.by_id["a"]
        node.accounts.usable = False
        refused = await node.desk.handle(builders.request(made, "r0"))
        assert refused.reason == "account-unavailable"
        node.accounts.usable, node.accounts.hang = True, True
        asked = builders.request(made)
        assert (await node.desk.handle(asked)).status == 504
        assert made.runs("r0") == 0
        kept = node.desk.answer_cache.by_key[asked.key]
        assert (await node.desk.handle(builders.request(made))).status == 504
        await asyncio.sleep(0.1)
        assert kept.answer.outcome == "answered"

    run(main)


@pytest.mark.parametrize("change", ["leaving", "gone", "out", "list", "view"])
def test_last_check_stops_a_send(change):
    """Guards against work for executors that may not get any more."""

    async def main():
        made = await ready()
        holder = made.by_id["b"].holder
        executor = holder.slot_table.by_executor["e1"]
        asked = builders.request(made, idempotent=False)
        epoch = holder.slot_table.epoch_by_group[executor.group]
        holder.context.check_send_allowed(executor, asked, epoch)
        if change == "leaving":
            made.directory.by_id["e1"].state = "leaving"
        elif change == "gone":
            del made.directory.by_id["e1"]
        elif change == "out":
            made.tree.data_centre("dc0").state = "out"
        elif change == "list":
            made.directory.fixed = made.loop_time() - context.LIST_MAX_AGE_S
        else:
            made.by_id["b"].view.fresh_at = made.loop_time() - 1.0
        with pytest.raises((errors.NotRun, errors.ViewStale)):
            holder.context.check_send_allowed(executor, asked, epoch)
        if change != "view":
            made.directory.changes += 1
            made.tree.version += 1
            answers = [
                await made.by_id["a"].desk.handle(builders.request(made, f"r{n}"))
                for n in range(8)
            ]
            assert made.runs("r1") == 0 or "e1" not in {s[1] for s in made.sends}
            if change in ("out", "list"):
                assert {each.outcome for each in answers} == {"not-run"}

    run(main)


def test_right_must_last_until_after_the_send():
    """Guards against a send after the right has passed to another holder."""

    async def main():
        made = await ready()
        holder = made.by_id["b"].holder
        executor = holder.slot_table.by_executor["e1"]
        right = made.by_id["b"].right_by_group[executor.group]
        asked = builders.request(made)
        right.expires_at = made.loop_time() + 0.2
        with pytest.raises(errors.RightEnded):
            holder.context.check_send_allowed(executor, asked, 1)
        right.expires_at = made.loop_time() + 1.0
        holder.context.check_send_allowed(executor, asked, 1)
        with pytest.raises(errors.RightEnded):
            holder.context.check_send_allowed(executor, asked, 2)

    run(main)


def test_drain_cuts_nothing_off():
    """Guards against a planned stop that loses requests in flight."""

    async def main():
        made = await ready(run_s=0.5)
        desk = made.by_id["b"].desk
        working = [
            asyncio.ensure_future(desk.handle(builders.request(made, f"r{n}")))
            for n in range(20)
        ]
        forwarded = asyncio.ensure_future(
            made.by_id["a"].desk.handle(builders.request(made, "f"))
        )
        await asyncio.sleep(0.1)
        drained = asyncio.ensure_future(desk.drain())
        await asyncio.sleep(0.01)
        refused = await desk.handle(builders.request(made, "late"))
        assert (refused.outcome, refused.reason) == ("not-run", "leaving")
        await drained
        assert all(each.done() for each in working)
        answers = await asyncio.gather(*working, forwarded)
        assert {each.outcome for each in answers} == {"answered"}

    run(main)
