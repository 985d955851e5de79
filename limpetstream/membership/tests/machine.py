"""State machine that applies random faults to a cluster of members."""

import asyncio

from hypothesis import stateful, strategies as st

from limpetstream.membership.tests import builders, oracle

MAX_ALIVE = 5
SETTLE_S = 10
RATES = [0.99, 1.0, 1.01]


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Runs a cluster in virtual time; two users of a resource fail at once."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = builders.make_cluster(resources=3)
        asyncio.set_event_loop(self.cluster.loop)
        for number in range(3):
            self._do(self._start("ab"[number % 2], RATES[number]))
        self._advance(3)

    def _do(self, run):
        return self.cluster.loop.run_until_complete(run)

    async def _start(self, data_centre, rate):
        return self.cluster.start(data_centre, rate=rate)

    def _advance(self, seconds):
        self._do(self.cluster.run_for(seconds, step_s=0.02))
        assert self.cluster.breaches == []

    def _pick(self, number):
        alive = self.cluster.alive()
        return alive[number % len(alive)]

    @stateful.rule(seconds=st.sampled_from([0.1, 0.6, 1.2, 2.5, 4.0]))
    def advance(self, seconds):
        """Advance the virtual time."""
        self._advance(seconds)

    @stateful.rule(data_centre=st.sampled_from("ab"), rate=st.sampled_from(RATES))
    def start(self, data_centre, rate):
        """Start a process without any state."""
        if len(self.cluster.alive()) < MAX_ALIVE:
            self._do(self._start(data_centre, rate))
            self._advance(0.3)

    @stateful.rule(number=st.integers(0, 4))
    def kill(self, number):
        """Kill one process if another one remains."""
        if len(self.cluster.alive()) > 1:
            self.cluster.kill(self._pick(number).id)
            self._advance(0.3)

    @stateful.rule(number=st.integers(0, 4), seconds=st.sampled_from([0.5, 1.9, 3.0]))
    def pause(self, number, seconds):
        """Pause one process for a while; the others continue."""
        member = self._pick(number).id
        self.cluster.loop.pause(member)
        self._advance(seconds)
        self.cluster.loop.resume(member)

    @stateful.rule(number=st.integers(0, 4))
    def pause_on(self, number):
        """Pause one process until ``resume`` or the end of the test."""
        self.cluster.loop.pause(self._pick(number).id)

    @stateful.rule()
    def resume(self):
        """Resume all paused processes."""
        for member in list(self.cluster.loop.waiting_by_member):
            self.cluster.loop.resume(member)

    @stateful.rule(number=st.integers(0, 4), other=st.integers(0, 4))
    def cut(self, number, other):
        """Cut the link between two processes in one direction."""
        self.cluster.cut.add((self._pick(number).id, self._pick(other).id))

    @stateful.rule(number=st.integers(0, 4), seconds=st.sampled_from([1.0, 3.5]))
    def hide(self, number, seconds):
        """Cut a process off from the log and from requests of the others.

        It can still send requests, so it can ask the others for promises.
        """
        hidden = self._pick(number)
        hidden.client.down = True
        for process in self.cluster.alive():
            self.cluster.cut.add((process.id, hidden.id))
        self._advance(seconds)

    @stateful.rule(number=st.integers(0, 4), seconds=st.sampled_from([1.0, 3.5]))
    def log_for_all_but(self, number, seconds):
        """Make the log reachable for all but one process."""
        for process in self.cluster.alive():
            process.client.down = process is self._pick(number)
        self._advance(seconds)

    @stateful.rule()
    def heal(self):
        """Restore all links."""
        self.cluster.cut.clear()

    @stateful.rule(down=st.booleans(), seconds=st.sampled_from([0.5, 2.0]))
    def log_for_all(self, down, seconds):
        """Make the log unreachable or reachable for all processes."""
        self.cluster.set_log_down(down)
        self._advance(seconds)

    @stateful.rule(
        number=st.integers(0, 4),
        down=st.booleans(),
        appends_only=st.booleans(),
    )
    def log_for_one(self, number, down, appends_only):
        """Make the log, or only appends, fail or work for one process."""
        client = self._pick(number).client
        if appends_only:
            client.appends_down = down
        else:
            client.down = down

    @stateful.rule(
        number=st.integers(0, 4),
        lose=st.sampled_from([0.0, 0.5]),
        late=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.005, 0.3, 1.0]),
    )
    def disturb(self, number, lose, late, delay_s):
        """Lose answers, delay the effect of appends, and slow the log down."""
        client = self._pick(number).client
        client.lost_answer_share, client.late_share, client.delay_s = (
            lose,
            late,
            delay_s,
        )

    @stateful.rule(kept=st.integers(0, 30))
    def expire(self, kept):
        """Expire all but the newest frames of the control stream."""
        end = self.cluster.log.end(builders.STREAM)
        self.cluster.catch_up()
        self.cluster.log.expire(builders.STREAM, end - kept)

    def teardown(self):
        """End all faults, wait, and compare the state of all readers."""
        cluster = self.cluster
        try:
            if not cluster.breaches:
                self._settle()
                self._compare()
        finally:
            self.resume()
            for process in cluster.by_id.values():
                for task in list(process.tasks):
                    task.cancel()
            self._do(asyncio.sleep(0.1))
            cluster.loop.close()
            asyncio.set_event_loop(None)

    def _settle(self):
        self.resume()
        self.heal()
        for process in self.cluster.alive():
            client = process.client
            client.down = client.appends_down = False
            client.lost_answer_share = client.late_share = 0.0
            client.delay_s = 0.005
        self._advance(SETTLE_S)
        assert set(self.cluster.holders()) == set(self.cluster.resources)

    def _compare(self):
        cluster = self.cluster
        cluster.catch_up()
        reference = cluster.reference
        naive = oracle.Oracle()
        for frame in cluster.history:
            naive.read(frame)
        assert reference.notes == naive.notes
        assert len(set(naive.notes)) == len(naive.notes)
        held = reference.rights.holding_by_resource.items()
        assert {r: (h.instance, h.epoch) for r, h in held} == {
            r: (right.holder, right.epoch) for r, right in naive.rights.items()
        }
        end = reference.view.next_offset
        expected = reference.dump()
        empty = builders.make_replica()
        for frame in cluster.history:
            empty.view.apply_frame(frame.offset, frame.records)
        assert empty.dump() == expected
        for process in cluster.alive():
            behind = process.replica.view.next_offset
            for frame in cluster.history:
                if behind <= frame.offset < end:
                    process.replica.view.apply_frame(frame.offset, frame.records)
            assert process.replica.dump() == expected
