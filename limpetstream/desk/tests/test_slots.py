"""Slots and connections of holders that follow one another."""

import hypothesis
from hypothesis import stateful, strategies as st

from limpetstream.desk import slots
from limpetstream.settings import schema

SERVICE = schema.Service(slots=3, connections=28, max_run_s=2.0)
GROUP = "executors/dc0/0"
LISTED = [
    slots.ListedExecutor(f"e{n}", "", "w", "dc0", "desk", GROUP) for n in range(2)
]


class Holders(stateful.RuleBasedStateMachine):
    """Holders that follow one another, and a model of the running requests.

    Guards against a holder that uses slots in which requests of its dead or
    paused predecessor may still run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now, self.epoch, self.listed = 0.0, 0, list(LISTED)
        # End of each running request: (executor, end, slot or None).
        self.running: list[list] = []
        self.slot_table = slots.SlotTable()
        self.claim()

    def reconcile(self) -> None:
        held = {GROUP: self.epoch} if self.epoch else {}
        self.slot_table.reconcile(self.now, held, self.listed, lambda _: SERVICE)

    @stateful.rule(fresh=st.booleans())
    def claim(self, fresh: bool = True) -> None:
        """A new process claims, or the same one after it lost the right."""
        self.epoch += 1
        if fresh:
            self.slot_table = slots.SlotTable()
            for each in self.running:
                each[2] = None
        self.reconcile()

    @stateful.rule(number=st.integers(0, 1))
    def flap(self, number: int) -> None:
        """An executor leaves the list, or comes back."""
        each = LISTED[number]
        if each in self.listed:
            self.listed.remove(each)
        else:
            self.listed.append(each)
        self.reconcile()

    @stateful.rule(number=st.integers(0, 1), run_s=st.floats(0.05, 2.13))
    def send(self, number: int, run_s: float) -> None:
        """A request starts whenever the slot table allows it."""
        executor = self.slot_table.by_executor.get(f"e{number}")
        if executor is not None:
            slot = self.slot_table.take(executor, self.now, SERVICE.max_run_s)
            if slot is not None:
                assert executor.accepts_work
                self.running.append([executor.id, self.now + run_s, slot])

    @stateful.rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        """Time passes; answers arrive for requests of the current holder."""
        self.now += seconds
        for each in [each for each in self.running if each[1] <= self.now]:
            self.running.remove(each)
            if each[2] is not None and each[1] < self.now - 0.5:
                self.slot_table.release(each[2])

    @stateful.invariant()
    def within_limits(self) -> None:
        """No executor ever runs more than it can hold."""
        for listed in LISTED:
            running = [each for each in self.running if each[0] == listed.id]
            assert len(running) <= SERVICE.slots
            assert len(running) <= slots.connections_per_holder(SERVICE)


TestHolders = Holders.TestCase
TestHolders.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def claimed_table(*, now=0.0, epoch=1):
    """Return a slot table whose holder has just claimed the group."""
    slot_table = slots.SlotTable()
    slot_table.reconcile(now, {GROUP: epoch}, LISTED, lambda _: SERVICE)
    return slot_table


def test_slots_open_after_the_longest_run():
    """Guards against slots that stay blocked forever after a claim."""
    slot_table = claimed_table()
    executor = slot_table.by_executor["e0"]
    assert slot_table.take(executor, slots.slot_hold_s(2.0) - 0.01, 2.0) is None
    now = slots.slot_hold_s(2.0)
    assert all(slot_table.take(executor, now, 2.0) for _ in range(3))
    assert slot_table.take(executor, now, 2.0) is None
    assert slot_table.take(executor, now + slots.slot_hold_s(2.0), 2.0) is not None


def test_slot_of_a_lost_answer_stays_used():
    """Guards against a second request while a silent one may still run."""
    slot_table = claimed_table()
    executor, now = slot_table.by_executor["e0"], 10.0
    assert all(slot_table.take(executor, now, 2.0) for _ in range(3))
    assert slot_table.take(executor, now + 2.0 * slots.CLOCK_DRIFT_FACTOR, 2.0) is None
    assert slot_table.take(executor, now + slots.slot_hold_s(2.0), 2.0) is not None


def test_claiming_again_blocks_again():
    """Guards against using slots that another holder used in between."""
    slot_table = claimed_table()
    slot_table.reconcile(9.0, {GROUP: 2}, LISTED, lambda _: SERVICE)
    assert slot_table.take(slot_table.by_executor["e0"], 9.0 + 2.0, 2.0) is None


def test_an_executor_that_was_missing_for_a_moment_keeps_its_slots():
    """Guards against forgetting requests when the instance list flaps."""
    slot_table = claimed_table()
    assert all(
        slot_table.take(slot_table.by_executor["e0"], 9.0, 2.0) for _ in range(3)
    )
    slot_table.reconcile(9.1, {GROUP: 1}, LISTED[1:], lambda _: SERVICE)
    assert slot_table.take(slot_table.by_executor["e0"], 9.2, 2.0) is None
    slot_table.reconcile(9.3, {GROUP: 1}, LISTED, lambda _: SERVICE)
    assert slot_table.take(slot_table.by_executor["e0"], 9.4, 2.0) is None


def test_connections_of_overlapping_holders_stay_under_the_limit():
    """Guards against a sum over holders above what an executor accepts."""
    for service in (schema.Service(), schema.Service(connections=16), SERVICE):
        per_holder = slots.connections_per_holder(service)
        assert per_holder * slots.MAX_CONCURRENT_HOLDERS <= service.connections
    small = schema.Service(slots=8, connections=16)
    slot_table = slots.SlotTable()
    slot_table.reconcile(0.0, {GROUP: 1}, LISTED, lambda _: small)
    assert slot_table.by_executor["e0"].slot_limit == 2


def test_other_groups_are_never_used():
    """Guards against sends to executors whose group another instance holds."""
    slot_table = slots.SlotTable()
    slot_table.reconcile(0.0, {"executors/dc0/1": 1}, LISTED, lambda _: SERVICE)
    assert not slot_table.by_executor
    slot_table = claimed_table()
    slot_table.reconcile(5.0, {}, LISTED, lambda _: SERVICE)
    assert not any(e.accepts_work for e in slot_table.by_executor.values())
