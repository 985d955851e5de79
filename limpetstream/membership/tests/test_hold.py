"""Tests of how promises extend rights during a log outage."""

from limpetstream.membership import messages, outage_extension
from limpetstream.membership.tests import builders


def start_processes(cluster, count=4):
    """Start processes and let them claim all resources."""
    for number in range(count):
        cluster.start("ab"[number % 2])
    return cluster.run_for(4)


def test_rights_are_kept_without_a_gap_in_a_log_outage():
    """Guards against rights that end because the log is down."""
    cluster = builders.make_cluster()

    async def scenario():
        await start_processes(cluster)
        before = cluster.holders()
        cluster.set_log_down(True)
        for _ in range(200):
            await cluster.run_for(0.1)
            assert cluster.holders() == before
        assert all(
            cluster.by_id[member].usable_right(resource).kept_by_promises
            for resource, member in before.items()
        )
        cluster.set_log_down(False)
        for _ in range(50):
            await cluster.run_for(0.1)
            assert cluster.holders() == before
        assert not any(
            cluster.by_id[member].usable_right(resource).kept_by_promises
            for resource, member in before.items()
        )

    builders.run(cluster, scenario())


def test_paused_member_ends_the_extension_and_a_killed_one_does_not():
    """Guards against an extension without the promises of all live members.

    Promises of killed members must not be needed.
    """
    cluster = builders.make_cluster()

    async def scenario():
        await start_processes(cluster)
        holders = cluster.holders()
        cluster.set_log_down(True)
        await cluster.run_for(5)
        victim = holders["executors/a/0"]
        cluster.kill(victim)
        await cluster.run_for(10)
        kept = {r: m for r, m in holders.items() if m != victim}
        assert cluster.holders() == kept
        paused = next(iter(kept.values()))
        cluster.loop.pause(paused)
        await cluster.run_for(3)
        assert cluster.holders() == {}

    builders.run(cluster, scenario())


def test_rights_of_a_member_without_the_log_are_taken_over():
    """Guards against an extension while other members can still claim."""
    cluster = builders.make_cluster()

    async def scenario():
        await start_processes(cluster)
        victim = cluster.holders()["executors/a/0"]
        cluster.by_id[victim].client.down = True
        await cluster.run_for(5)
        assert victim not in cluster.holders().values()
        assert set(cluster.holders()) == set(cluster.resources)

    builders.run(cluster, scenario())


def test_new_member_cannot_claim_from_a_holder_that_has_not_read_its_join():
    """Guards against a claim by a member whose promise nobody requested."""
    cluster = builders.make_cluster()

    async def scenario():
        await start_processes(cluster, 2)
        before = cluster.holders()
        cluster.set_log_down(True)
        await cluster.run_for(4)
        newcomer = cluster.start("a")
        for member in ("e1", "e2"):
            cluster.cut.add((newcomer.id, member))
        await cluster.run_for(20)
        assert newcomer.replica.members.by_id.keys() >= {"e1", "e2", newcomer.id}
        assert cluster.holders() == before

    builders.run(cluster, scenario())


def start_two_with_appends_down(cluster):
    """Start two processes, then let appends of both fail while reads work."""

    async def prepare():
        await start_processes(cluster, 2)
        for process in cluster.alive():
            process.client.appends_down = True
        await cluster.run_for(5)
        assert set(cluster.holders()) == set(cluster.resources)

    return prepare()


def test_promise_outlasts_the_outage_of_its_giver():
    """Guards against a claim while a holder still relies on a promise.

    The member that made the promise can reach the log again before the holder
    can.
    """
    cluster = builders.make_cluster()

    async def scenario():
        await start_two_with_appends_down(cluster)
        cluster.cut.add(("e2", "e1"))
        cluster.by_id["e1"].client.down = True
        cluster.by_id["e2"].client.appends_down = False
        await cluster.run_for(8)
        assert set(cluster.holders().values()) == {"e2"}

    builders.run(cluster, scenario())


def test_expired_right_is_not_extended_by_promises():
    """Guards against an extension after the right has expired.

    Another member may have used the resource since.
    """
    cluster = builders.make_cluster()

    async def scenario():
        await start_two_with_appends_down(cluster)
        held = cluster.holders()
        cluster.loop.pause("e1")
        await cluster.run_for(3)
        assert cluster.holders() == {}
        cluster.loop.resume("e1")
        for _ in range(50):
            await cluster.run_for(0.1)
            assert cluster.holders() == {}
        for process in cluster.alive():
            process.client.appends_down = False
        await cluster.run_for(5)
        assert set(cluster.holders()) == set(held)

    builders.run(cluster, scenario())


def test_no_promise_while_an_own_claim_is_in_progress():
    """Guards against a promise that a claim in progress would break."""
    cluster = builders.make_cluster()

    async def scenario():
        await start_processes(cluster, 2)
        held_by_e1 = [r for r, m in cluster.holders().items() if m == "e1"]
        holder, other = cluster.by_id["e1"], cluster.by_id["e2"]
        for process in cluster.alive():
            process.client.appends_down = True
        cluster.cut |= {("e1", "e2"), ("e2", "e1")}
        await cluster.run_for(5)
        assert other.membership_agent.state.claiming >= set(held_by_e1)
        now = other.clock.monotonic()
        epochs = [holder.replica.rights.holding_of(each).epoch for each in held_by_e1]
        question = messages.AttestationRequest("e1", "e2", True, held_by_e1, epochs)
        assert other.membership_agent.state.is_log_unreachable(now)
        assert (
            outage_extension.grant_promises(other.membership_agent.state, question, now)
            == []
        )

    builders.run(cluster, scenario())
