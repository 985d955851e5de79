"""Tests of joins, claims, takeovers, rebalancing and removals."""

from limpetstream.membership import messages
from limpetstream.membership.tests import builders
from limpetstream.records import codec


def start(cluster, count, **options):
    """Start processes, alternating between data centres a and b."""
    return [cluster.start("ab"[n % 2], **options) for n in range(count)]


def test_every_resource_gets_one_holder_in_its_data_centre():
    """Guards against resources that nobody holds, or a remote member does."""
    cluster = builders.make_cluster(resources=6)

    async def scenario():
        processes = start(cluster, 4)
        await cluster.run_for(4)
        holders = cluster.holders()
        assert set(holders) == set(cluster.resources)
        data_centre_by_id = {
            each.id: each.membership_agent.join.data_centre for each in processes
        }
        assert {
            resource: data_centre_by_id[holder] for resource, holder in holders.items()
        } == cluster.resources

    builders.run(cluster, scenario())


def test_killed_holder_is_replaced_at_once():
    """Guards against a full claim wait although the process has ended."""
    cluster = builders.make_cluster()

    async def scenario():
        start(cluster, 4)
        await cluster.run_for(4)
        victim = cluster.holders()["executors/a/0"]
        cluster.kill(victim)
        await cluster.run_for(1.9)
        assert set(cluster.holders()) == set(cluster.resources)

    builders.run(cluster, scenario())


def test_unresponsive_holder_is_replaced_after_the_claim_wait():
    """Guards against a takeover that is too early or never happens."""
    cluster = builders.make_cluster()

    async def scenario():
        start(cluster, 4)
        await cluster.run_for(4)
        victim = cluster.holders()["executors/a/0"]
        old = cluster.by_id[victim].usable_right("executors/a/0")
        cluster.loop.pause(victim)
        await cluster.run_for(1.0)
        assert cluster.holders()["executors/a/0"] == victim
        await cluster.run_for(2.6)
        assert cluster.holders()["executors/a/0"] != victim
        cluster.loop.resume(victim)
        await cluster.run_for(5)
        assert old.ended
        assert set(cluster.holders()) == set(cluster.resources)

    builders.run(cluster, scenario())


def test_new_member_gets_its_share_after_hand_over():
    """Guards against rights that never move, or all move at once."""
    cluster = builders.make_cluster(resources=8)

    async def scenario():
        first = start(cluster, 1)[0]
        first.hand_over_s = 0.3
        await cluster.run_for(3)
        assert set(cluster.holders().values()) == {first.id}
        start(cluster, 3)
        time_and_kind = []
        first.replica.view.listeners.append(
            lambda entry, apply_result: time_and_kind.append(
                (cluster.loop.time(), entry.kind)
            )
        )
        await cluster.run_for(12)
        assert len(set(cluster.holders().values())) >= 3
        released_at = [at for at, kind in time_and_kind if kind == "right.release"]
        gaps = [b - a for a, b in zip(released_at, released_at[1:], strict=False)]
        assert min(gaps) > 0.9

    builders.run(cluster, scenario())


def test_all_members_are_replaced_at_once_by_new_processes():
    """Guards against new members that wait for holders that are gone."""
    cluster = builders.make_cluster()

    async def scenario():
        start(cluster, 4)
        await cluster.run_for(3)
        for process in cluster.alive():
            cluster.kill(process.id)
        start(cluster, 4)
        await cluster.run_for(2)
        assert set(cluster.holders()) == set(cluster.resources)
        await cluster.run_for(15)
        assert set(cluster.reference.members.by_id) == {"e5", "e6", "e7", "e8"}

    builders.run(cluster, scenario())


def test_planned_stop_releases_everything():
    """Guards against a claim wait after a planned stop."""
    cluster = builders.make_cluster()

    async def scenario():
        start(cluster, 3)
        await cluster.run_for(4)
        leaver = cluster.by_id[cluster.holders()["executors/a/0"]]
        cluster.spawn(leaver.id, leaver.membership_agent.leave())
        await cluster.run_for(1)
        cluster.spawn(leaver.id, leaver.membership_agent.release_all())
        await cluster.run_for(1)
        assert leaver.id not in cluster.holders().values()
        assert set(cluster.holders()) == set(cluster.resources)
        cluster.kill(leaver.id)
        await cluster.run_for(15)
        assert leaver.id not in cluster.reference.members.by_id

    builders.run(cluster, scenario())


def test_removed_member_cannot_join_again():
    """Guards against a removed member whose delayed join adds it again."""
    cluster = builders.make_cluster(resources=0)

    async def scenario():
        victim, other = start(cluster, 2)
        await cluster.run_for(1)
        leave = messages.Leave(victim.id)
        await other.committer.append("member.leave", leave)
        await cluster.run_for(1)
        assert victim.committer.retired
        late = codec.Envelope(
            "member.join", 1, victim.id, 99, victim.membership_agent.join
        )
        cluster.log.append_now(builders.STREAM, [codec.encode(late)])
        await cluster.run_for(1)
        assert set(cluster.reference.members.by_id) == {other.id}

    builders.run(cluster, scenario())


def test_right_is_counted_from_before_the_append():
    """Guards against a right that is counted from its confirmation.

    With slow reads, such a right would outlast the claim wait of the others.
    """
    cluster = builders.make_cluster(resources=2)

    async def scenario():
        start(cluster, 3)
        await cluster.run_for(4)
        for _ in range(4):
            holder = cluster.by_id[cluster.holders()["executors/a/0"]]
            holder.client.read_delay_s = 0.7
            await cluster.run_for(2)
            holder.client.appends_down = True
            for other in cluster.alive():
                cluster.cut.add((other.id, holder.id))
            await cluster.run_for(5)
            cluster.cut.clear()
            holder.client.appends_down = False
            holder.client.read_delay_s = 0.0
            await cluster.run_for(4)

    builders.run(cluster, scenario())


def test_failed_hand_over_keeps_the_right():
    """Guards against a right that is released with work in progress."""
    cluster = builders.make_cluster(resources=1, data_centres=("b",))

    async def scenario():
        first = cluster.start("a")

        async def fail(resource):
            raise RuntimeError(resource)

        first.membership_agent.state.hand_over = fail
        await cluster.run_for(3)
        cluster.start("b")
        await cluster.run_for(6)
        assert cluster.holders() == {"executors/b/0": first.id}

    builders.run(cluster, scenario())
