"""Desk requests from end to end, between instances on virtual time."""

import asyncio

import pytest

from limpetstream import errors
from limpetstream.desk import context, generated_answers, messages, router
from limpetstream.desk.tests import builders
from standins import virtual_time

NODES = {"a": "dc0", "b": "dc0"}
BACKENDS = {"e1": "dc0", "e2": "dc0", "e3": "dc0", "e4": "dc0"}


def make_world(nodes=None, backends=None, **fields):
    """Return a world; must be called on the event loop."""
    return builders.World(nodes or NODES, backends or BACKENDS, **fields)


def run(main):
    """Run a coroutine on virtual time."""
    return virtual_time.run(main())


async def start_world(owner="b", **fields):
    """Return a started world in which one node holds every group."""
    world = make_world(**fields)
    for group in world.groups():
        world.grant(group, world.by_id[owner])
    await world.start()
    return world


def test_answer_is_whole_recorded_and_kept():
    """Guards against answers without an account entry."""

    async def main():
        world = await start_world()
        for mark in (True, False):
            request = builders.request(world, f"r{mark}", idempotent=mark)
            answer = await world.by_id["a"].desk.handle(request)
            assert (answer.outcome, answer.body) == ("answered", b"answer to body")
            entries = world.by_id["a"].accounts.entry_by_key[request.key]
            assert entries == ["received", ("answered", 1)]
            again = builders.request(world, f"r{mark}", idempotent=mark)
            assert (await world.by_id["a"].desk.handle(again)).body == answer.body
            assert world.runs(request.request_id) == 1

    run(main)


def test_another_mark_does_not_run_it_again():
    """Guards against a second run if a repeat is marked idempotent (I7)."""

    async def main():
        world = await start_world()
        await world.by_id["a"].desk.handle(builders.request(world, idempotent=False))
        await asyncio.sleep(0.2)
        world.by_id["b"].desk.answer_cache.by_key.clear()
        again = await world.by_id["b"].desk.handle(builders.request(world))
        assert (again.outcome, again.body) == ("answered", b"answer to body")
        assert world.runs("r1") == 1

    run(main)


@pytest.mark.parametrize("written", [True, False])
def test_not_run_is_told_only_if_nothing_was_written(written):
    """Guards against a wrong "not run" (I6)."""
    progress = messages.Progress(1, written)
    from_not_run = generated_answers.from_error(errors.NotRun("overload"), progress)
    from_fault = generated_answers.from_internal_error(progress)
    expected = "unknown" if written else "not-run"
    assert (from_not_run.outcome, from_fault.outcome) == (expected, expected)


def test_a_lost_non_idempotent_request_is_not_moved():
    """Guards against a second run at another holder (I7)."""

    async def main():
        world = make_world({"a": "dc0", "b": "dc0", "c": "dc0"}, run_s=0.4)
        groups = world.groups()
        world.grant(groups[0], world.by_id["b"])
        world.grant(groups[1], world.by_id["c"])
        await world.start()
        desk = world.by_id["a"].desk
        targets = [router.Target("b", groups[0]), router.Target("c", groups[1])]
        desk.router = builders.ScriptedRouter(desk.router, targets)
        request = builders.request(world, idempotent=False)
        working = asyncio.ensure_future(desk.handle(request))
        await asyncio.sleep(0.2)
        world.by_id["b"].kill()
        assert (await working).outcome == "unknown"
        await asyncio.sleep(2.0)
        assert world.runs("r1") == 1
        assert len(targets) == 1

    run(main)


def test_leaving_executors_are_not_offered():
    """Guards against choosing executors that the last check would refuse."""

    async def main():
        world = await start_world()
        world.directory.by_id["e1"].state = "leaving"
        world.directory.changes += 1
        await asyncio.sleep(0.2)
        executors = world.by_id["b"].holder.slot_table.by_executor
        assert "e1" not in executors
        world.tree.data_centre("dc0").state = "out"
        world.tree.version += 1
        await asyncio.sleep(0.2)
        assert not world.by_id["b"].holder.slot_table.by_executor

    run(main)


def test_a_forwarded_request_is_not_forwarded_on():
    """Guards against chains of forwards while a group changes its holder."""

    async def main():
        world = make_world({"a": "dc0", "b": "dc0", "c": "dc0"})
        for group in world.groups():
            world.grant(group, world.by_id["b"])
        await world.start()
        b, serve = world.by_id["b"], world.by_id["b"].routes[messages.FORWARD_PATH]

        async def after_hand_over(*arguments):
            for group in world.groups():
                b.right_by_group.pop(group, None)
                world.grant(group, world.by_id["c"], epoch=2)
            return await serve(*arguments)

        b.routes[messages.FORWARD_PATH] = after_hand_over
        world.calls.clear()
        await world.by_id["a"].desk.handle(builders.request(world))
        forwards = [call for call in world.calls if call[2] == messages.FORWARD_PATH]
        assert {call[0] for call in forwards} == {"a"}

    run(main)


def test_forwarded_at_most_once():
    """Guards against chains of forwards between outdated views of rights."""

    async def main():
        world = await start_world()
        # ``b`` has lost its rights, which ``a`` does not know yet.
        for group in world.groups():
            world.by_id["b"].right_by_group.pop(group)
        await asyncio.sleep(1.0)
        world.calls.clear()
        answer = await world.by_id["a"].desk.handle(builders.request(world))
        assert answer.outcome == "not-run"
        forwards = [c for c in world.calls if c[2] == messages.FORWARD_PATH]
        assert forwards == [("a", "b", messages.FORWARD_PATH)]
        assert world.runs("r1") == 0

    run(main)


def test_same_non_idempotent_id_at_two_instances():
    """Guards against a request that runs for both instances."""

    async def main():
        world = await start_world()
        requests = [builders.request(world, idempotent=False) for _ in range(2)]
        desks = [world.by_id["a"].desk, world.by_id["b"].desk]
        answers = await asyncio.gather(
            *(desk.handle(each) for desk, each in zip(desks, requests, strict=True))
        )
        assert [each.body for each in answers] == [b"answer to body"] * 2
        assert world.runs("r1") == 1

    run(main)


def test_same_id_with_another_body_is_refused_everywhere():
    """Guards against an answer that belongs to another body."""

    async def main():
        world = await start_world()
        first = builders.request(world, idempotent=False)
        await world.by_id["a"].desk.handle(first)
        await asyncio.sleep(0.2)
        for node in world.by_id.values():
            for mark in (False, True):
                other = builders.request(world, idempotent=mark, body=b"other")
                with pytest.raises(errors.Rejected) as caught:
                    await node.desk.handle(other)
                assert caught.value.status == 409
        assert world.runs("r1") == 1

    run(main)


def test_request_ids_are_scoped_by_caller():
    """Guards against sending one caller's answer to another."""

    async def main():
        world = await start_world()
        desk = world.by_id["a"].desk
        one = builders.request(world, body=b"one")
        two = builders.request(world, body=b"two", caller="d")
        answers = await asyncio.gather(desk.handle(one), desk.handle(two))
        assert [a.body for a in answers] == [b"answer to one", b"answer to two"]

    run(main)


def test_answer_after_the_caller_left():
    """Guards against losing an outcome when the caller disconnects."""

    async def main():
        world = await start_world(run_s=0.5)
        desk = world.by_id["a"].desk
        request = builders.request(world, idempotent=False)
        caller = asyncio.ensure_future(desk.handle(request))
        await asyncio.sleep(0.2)
        caller.cancel()
        await asyncio.sleep(1.0)
        assert desk.answer_cache.by_key[request.key].answer.body == b"answer to body"
        state = world.by_id["b"].intents.by_key[request.key].state
        assert state == "answered"

    run(main)


def test_late_answer_is_unknown_then_known():
    """Guards against a late answer that is dropped or reported as not run."""

    async def main():
        world = await start_world(run_s=1.5)
        desk = world.by_id["a"].desk
        request = builders.request(
            world, idempotent=False, deadline=world.loop_time() + 0.4
        )
        answer = await desk.handle(request)
        assert (answer.outcome, answer.status) == ("unknown", 504)
        await asyncio.sleep(2.0)
        assert desk.answer_cache.by_key[request.key].answer.outcome == "answered"
        assert world.by_id["a"].accounts.entry_by_key[request.key][-1][0] == "answered"

    run(main)


def test_lost_forward_of_a_non_idempotent_request_is_found_again():
    """Guards against "not run" or a second run after a lost forward."""

    async def main():
        world = await start_world(run_s=0.3)
        request = builders.request(world, idempotent=False)
        working = asyncio.ensure_future(world.by_id["a"].desk.handle(request))
        await asyncio.sleep(0.1)
        world.by_id["b"].paused_until = world.loop_time() + 6.0
        assert (await working).outcome == "unknown"
        await asyncio.sleep(10.0)
        states = world.by_id["a"].accounts.entry_by_key[request.key]
        assert [each[0] for each in states[1:]] == ["unknown", "answered"]
        assert world.runs("r1") == 1

    run(main)


def test_idempotent_request_leaves_a_dead_holder():
    """Guards against a failed forward that ends an idempotent request."""

    async def main():
        world = make_world()
        builders.grant_all_groups(world)
        await world.start()
        world.by_id["b"].kill()
        answers = [
            await world.by_id["a"].desk.handle(builders.request(world, f"r{number}"))
            for number in range(20)
        ]
        assert {each.outcome for each in answers} == {"answered"}

    run(main)


def test_a_fault_while_following_ends_one_round_only():
    """Guards against an error that ends the refresh loop."""

    async def main():
        world = await start_world()
        instances = world.directory.by_id
        world.directory.by_id = {"bad": None}
        world.directory.changes += 1
        await asyncio.sleep(0.3)
        world.directory.by_id = instances
        del instances["e1"]
        world.directory.changes += 1
        await asyncio.sleep(0.3)
        assert "e1" not in world.by_id["b"].holder.slot_table.by_executor
        answer = await world.by_id["a"].desk.handle(builders.request(world))
        assert answer.outcome == "answered"

    run(main)


def test_a_pause_does_not_stop_an_instance_for_good():
    """Guards against a mean run time that a pause inflates permanently."""

    async def main():
        world = await start_world(owner="a")
        node = world.by_id["a"]
        working = asyncio.ensure_future(node.desk.handle(builders.request(world)))
        await asyncio.sleep(0.01)
        node.paused_until = world.loop_time() + 10.0
        await working
        await asyncio.sleep(10.0)
        admission_control = node.holder.admission
        assert admission_control.queue("desk").mean_run_s < 1.0
        admission_control.queue("desk").mean_run_s = 60.0
        outcomes = []
        for number in range(40):
            await asyncio.sleep(0.5)
            request = builders.request(world, f"r{number}")
            outcomes.append((await node.desk.handle(request)).outcome)
        assert outcomes[-1] == "answered"

    run(main)


def test_log_outage():
    """Guards against non-idempotent sends without an intent in the log."""

    async def main():
        world = await start_world()
        world.log.up = False
        await asyncio.sleep(context.MAX_VIEW_AGE_S + 0.2)
        desk = world.by_id["a"].desk
        refused = await desk.handle(builders.request(world, "n1", idempotent=False))
        assert (refused.outcome, refused.reason) == ("not-run", "log-unavailable")
        assert (await desk.handle(builders.request(world))).outcome == "answered"
        assert world.runs("n1") == 0

    run(main)


def test_lost_append_answer_is_not_run_and_may_be_tried_again():
    """Guards against a send after an append that was reported as failed."""

    async def main():
        world = await start_world()
        world.log.lose_answers = 1
        desk = world.by_id["a"].desk
        request = builders.request(world, idempotent=False)
        refused = await desk.handle(request)
        assert refused.outcome in ("not-run", "unknown")
        await asyncio.sleep(0.5)
        assert world.runs("r1") == 0
        assert world.by_id["b"].intents.by_key[request.key].state == "not-run"
        again = await desk.handle(builders.request(world, idempotent=False))
        assert again.outcome == "answered"
        assert world.runs("r1") == 1

    run(main)


def test_account_must_be_available_and_confirmed():
    """Guards against answers to requests without an account entry."""

    async def main():
        world = await start_world()
        node = world.by_id["a"]
        node.accounts.usable = False
        refused = await node.desk.handle(builders.request(world, "r0"))
        assert refused.reason == "account-unavailable"
        node.accounts.usable, node.accounts.hang = True, True
        request = builders.request(world)
        assert (await node.desk.handle(request)).status == 504
        assert world.runs("r0") == 0
        kept = node.desk.answer_cache.by_key[request.key]
        assert (await node.desk.handle(builders.request(world))).status == 504
        await asyncio.sleep(0.1)
        assert kept.answer.outcome == "answered"

    run(main)


@pytest.mark.parametrize("change", ["leaving", "gone", "out", "list", "view"])
def test_last_check_stops_a_send(change):
    """Guards against sends to executors that may not get new work."""

    async def main():
        world = await start_world()
        holder = world.by_id["b"].holder
        executor = holder.slot_table.by_executor["e1"]
        request = builders.request(world, idempotent=False)
        epoch = holder.slot_table.epoch_by_group[executor.group]
        holder.context.check_send_allowed(executor, request, epoch)
        if change == "leaving":
            world.directory.by_id["e1"].state = "leaving"
        elif change == "gone":
            del world.directory.by_id["e1"]
        elif change == "out":
            world.tree.data_centre("dc0").state = "out"
        elif change == "list":
            world.directory.read_at = world.loop_time() - context.MAX_LIST_AGE_S
        else:
            world.by_id["b"].view.fresh_at = world.loop_time() - 1.0
        with pytest.raises((errors.NotRun, errors.ViewStale)):
            holder.context.check_send_allowed(executor, request, epoch)
        if change != "view":
            world.directory.changes += 1
            world.tree.version += 1
            answers = [
                await world.by_id["a"].desk.handle(builders.request(world, f"r{n}"))
                for n in range(8)
            ]
            assert world.runs("r1") == 0 or "e1" not in {s[1] for s in world.sends}
            if change in ("out", "list"):
                assert {each.outcome for each in answers} == {"not-run"}

    run(main)


def test_right_must_last_until_after_the_send():
    """Guards against a send after the right has passed to another holder."""

    async def main():
        world = await start_world()
        holder = world.by_id["b"].holder
        executor = holder.slot_table.by_executor["e1"]
        right = world.by_id["b"].right_by_group[executor.group]
        request = builders.request(world)
        right.expires_at = world.loop_time() + 0.2
        with pytest.raises(errors.RightEnded):
            holder.context.check_send_allowed(executor, request, 1)
        right.expires_at = world.loop_time() + 1.0
        holder.context.check_send_allowed(executor, request, 1)
        with pytest.raises(errors.RightEnded):
            holder.context.check_send_allowed(executor, request, 2)

    run(main)


def test_drain_cuts_nothing_off():
    """Guards against losing requests in flight at a planned stop."""

    async def main():
        world = await start_world(run_s=0.5)
        desk = world.by_id["b"].desk
        working = [
            asyncio.ensure_future(desk.handle(builders.request(world, f"r{n}")))
            for n in range(20)
        ]
        forwarded = asyncio.ensure_future(
            world.by_id["a"].desk.handle(builders.request(world, "f"))
        )
        await asyncio.sleep(0.1)
        drained = asyncio.ensure_future(desk.drain())
        await asyncio.sleep(0.01)
        refused = await desk.handle(builders.request(world, "late"))
        assert (refused.outcome, refused.reason) == ("not-run", "leaving")
        await drained
        assert all(each.done() for each in working)
        answers = await asyncio.gather(*working, forwarded)
        assert {each.outcome for each in answers} == {"answered"}

    run(main)


def test_a_repeat_of_a_request_that_ran_is_not_refused_as_not_run():
    """Guards against a wrong "not run" after an unknown outcome (I6).

    An instance that stops refuses the repeat. Another one, which also got a
    repeat, asks the first one for the answer and passed the refusal on.
    """

    async def main():
        world = await start_world(run_s=0.4)
        desk_a, desk_b = world.by_id["a"].desk, world.by_id["b"].desk
        sent = asyncio.ensure_future(
            desk_a.handle(builders.request(world, idempotent=False))
        )
        await asyncio.sleep(0.2)
        world.by_id["b"].paused_until = world.loop_time() + 2.5
        assert (await sent).outcome == "unknown"
        await asyncio.sleep(5.0)
        assert world.runs("r1") == 1
        desk_b.answer_cache.by_key.clear()
        desk_a.answer_cache.by_key.clear()
        desk_a.draining = True
        repeats = [builders.request(world, idempotent=False) for _ in range(2)]
        answers = await asyncio.gather(
            desk_a.handle(repeats[0]), desk_b.handle(repeats[1])
        )
        assert "not-run" not in [answer.outcome for answer in answers]
        assert world.runs("r1") == 1

    run(main)


def test_a_repeat_of_a_request_that_was_not_run_is_refused_as_not_run():
    """Guards against an outcome that is told as unknown without need."""

    async def main():
        world = await start_world()
        desk_a = world.by_id["a"].desk
        for _ in range(2):
            for executor in world.backend_by_id.values():
                executor.dead = True
            refused = await desk_a.handle(builders.request(world, idempotent=False))
            assert refused.outcome == "not-run"
            await asyncio.sleep(1.0)
        desk_a.draining = True
        refused = await desk_a.handle(builders.request(world, idempotent=False))
        assert (refused.outcome, world.runs("r1")) == ("not-run", 0)

    run(main)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_repeat_at_the_holder_gets_the_answer_and_an_account_entry(idempotent):
    """Guards against a request that no account holds after a kill (I11).

    The instance that got the request from the caller was killed once the
    holder had run it. A repeat at the holder found the kept answer, was told
    "unknown" whenever it came, and left no entry.
    """

    async def main():
        world = await start_world()
        a, b = world.by_id["a"], world.by_id["b"]
        first = builders.request(world, idempotent=idempotent)
        sent = asyncio.ensure_future(a.desk.handle(first))
        while not b.desk.answer_cache.by_key:
            await asyncio.sleep(0.001)
        a.kill()
        sent.cancel()
        for _ in range(2):
            again = builders.request(world, idempotent=idempotent)
            answer = await b.desk.handle(again)
            assert (answer.outcome, answer.body) == ("answered", b"answer to body")
        assert b.accounts.entry_by_key[first.key] == ["received", ("answered", 1)]
        assert world.runs("r1") == 1

    run(main)


def test_a_repeat_is_answered_once_accounts_are_recorded_again():
    """Guards against a kept answer that is never told after an outage."""

    async def main():
        world = await start_world()
        b = world.by_id["b"]
        b.accounts.hang = True
        assert (await b.desk.handle(builders.request(world))).outcome == "unknown"
        b.accounts.usable = False
        assert (await b.desk.handle(builders.request(world))).outcome == "unknown"
        b.accounts.hang, b.accounts.usable = False, True
        assert (await b.desk.handle(builders.request(world))).outcome == "answered"
        assert world.runs("r1") == 1

    run(main)
