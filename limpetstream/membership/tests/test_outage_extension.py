"""Rights during a log outage."""

from limpetstream.membership import messages, outage_extension
from limpetstream.membership.tests import builders


def started(cluster, count=4):
    """Start processes and wait until they hold everything."""
    for number in range(count):
        cluster.start("ab"[number % 2])
    return cluster.run_for(4)


def test_rights_are_kept_without_a_gap_in_a_log_outage():
    """Guards against desk work that stops because the log is down."""
    cluster = builders.make_cluster()

    async def scenario():
        await started(cluster)
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


def test_silent_member_ends_the_hold_and_a_killed_one_does_not():
    """Guards against a hold without all promises, and one lost needlessly."""
    cluster = builders.make_cluster()

    async def scenario():
        await started(cluster)
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


def test_log_cut_off_for_one_passes_its_rights_on():
    """Guards against a hold while others can still claim."""
    cluster = builders.make_cluster()

    async def scenario():
        await started(cluster)
        victim = cluster.holders()["executors/a/0"]
        cluster.by_id[victim].client.down = True
        await cluster.run_for(5)
        assert victim not in cluster.holders().values()
        assert set(cluster.holders()) == set(cluster.resources)

    builders.run(cluster, scenario())


def test_newcomer_cannot_claim_from_a_holder_that_has_not_read_of_it():
    """Guards against a claimant that no holder has asked for a promise."""
    cluster = builders.make_cluster()

    async def scenario():
        await started(cluster, 2)
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


def two_with_appends_down(cluster):
    """Start two processes; then appends fail at both while reads work."""

    async def prepare():
        await started(cluster, 2)
        for process in cluster.alive():
            process.client.appends_down = True
        await cluster.run_for(5)
        assert set(cluster.holders()) == set(cluster.resources)

    return prepare()


def test_promise_outlasts_the_outage_of_the_one_that_gave_it():
    """Guards against a claim while the asker still relies on a promise."""
    cluster = builders.make_cluster()

    async def scenario():
        await two_with_appends_down(cluster)
        cluster.cut.add(("e2", "e1"))
        cluster.by_id["e1"].client.down = True
        cluster.by_id["e2"].client.appends_down = False
        await cluster.run_for(8)
        assert set(cluster.holders().values()) == {"e2"}

    builders.run(cluster, scenario())


def test_ended_right_is_not_revived_by_promises():
    """Guards against a hold after another may have used the resource."""
    cluster = builders.make_cluster()

    async def scenario():
        await two_with_appends_down(cluster)
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


def test_no_promise_while_an_own_claim_is_under_way():
    """Guards against a promise that a claim already sent would break."""
    cluster = builders.make_cluster()

    async def scenario():
        await started(cluster, 2)
        mine = [r for r, m in cluster.holders().items() if m == "e1"]
        holder, other = cluster.by_id["e1"], cluster.by_id["e2"]
        for process in cluster.alive():
            process.client.appends_down = True
        cluster.cut |= {("e1", "e2"), ("e2", "e1")}
        await cluster.run_for(5)
        assert other.membership_agent.state.claiming >= set(mine)
        now = other.clock.monotonic()
        epochs = [holder.replica.rights.holding_of(each).epoch for each in mine]
        question = messages.AttestationRequest("e1", "e2", True, mine, epochs)
        assert other.membership_agent.state.is_log_unreachable(now)
        assert (
            outage_extension.grant_promises(other.membership_agent.state, question, now)
            == []
        )

    builders.run(cluster, scenario())
