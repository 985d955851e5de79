"""Differential tests of placement against a naive scan."""

import hypothesis
from hypothesis import strategies

from bench import _loaded_system, _reference_placement
from limpetstream import amounts
from limpetstream.batch import placement, worker_index

SERVICES = [(), ("quote",), ("quote", "ticket")]
AMOUNTS = strategies.tuples(
    strategies.integers(0, 64_000),
    strategies.integers(0, 256_000),
    strategies.integers(0, 4),
)


@strategies.composite
def capacities(draw):
    drawn = []
    for number in range(draw(strategies.integers(0, 25))):
        free = draw(AMOUNTS)
        less = draw(strategies.integers(0, 4000))
        estimated_free = (free[0] - less, free[1] - less, free[2])
        centre = draw(strategies.sampled_from("ab"))
        rack = draw(strategies.sampled_from(["r1", "r2", "r3"]))
        services = draw(strategies.sampled_from(SERVICES))
        size = (64_000, 256_000, 4)
        drawn.append(
            worker_index.WorkerCapacity(
                f"w{number}", centre, rack, services, size, free, estimated_free
            )
        )
    return drawn


@strategies.composite
def requests(draw):
    siblings = placement.SiblingCounts()
    for centre, rack, worker, count in draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("ab"),
                strategies.sampled_from(["r1", "r2", "r3"]),
                strategies.integers(0, 24),
                strategies.integers(1, 3),
            ),
            max_size=4,
        )
    ):
        capacity = worker_index.WorkerCapacity(
            f"w{worker}", centre, rack, (), (0, 0, 0), (0,) * 3, (0,) * 3
        )
        siblings.add(capacity, count)
    factor = draw(strategies.sampled_from([0.0, 0.1, 0.5]))
    return placement.PlacementRequest(
        draw(AMOUNTS),
        lambda services: 1.0 + factor * len(services),
        siblings,
        draw(strategies.sampled_from(["none", "rack", "data-centre"])),
        draw(strategies.booleans()),
    )


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    max_examples=80,
)
@hypothesis.given(capacities(), strategies.lists(requests(), min_size=1, max_size=6))
def test_index_agrees_with_a_naive_scan(drawn, asked):
    """Guards feasibility and score of placements found through the index."""
    workers = worker_index.WorkerIndex()
    for capacity in drawn:
        workers.put(capacity)
    for request in asked:
        best = _reference_placement.best_score(workers.capacity_by_worker, request)
        capacity = placement.choose(workers, request)
        assert (capacity is None) == (best is None)
        if capacity is not None:
            assert placement.has_capacity(capacity, request)
            assert placement.score(capacity, request) >= 0.95 * best
            workers.take(capacity.id, request.need)


@hypothesis.settings(
    derandomize=True, deadline=None, phases=[hypothesis.Phase.generate], max_examples=60
)
@hypothesis.given(
    capacities(),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["close", "open", "remove", "take", "put"]),
            strategies.integers(0, 24),
            AMOUNTS,
        ),
        max_size=30,
    ),
)
def test_index_holds_each_open_worker_once(drawn, steps):
    """Guards against workers that are missing or listed twice."""
    workers = worker_index.WorkerIndex()
    for capacity in drawn:
        workers.put(capacity)
    for what, number, size in steps:
        name = f"w{number}"
        capacity = workers.capacity_by_worker.get(name)
        if what == "take" and capacity is not None:
            workers.take(name, size)
        elif what == "put" and capacity is not None:
            fresh = worker_index.WorkerCapacity(
                name,
                capacity.data_centre,
                capacity.rack,
                capacity.services,
                size,
                size,
                size,
            )
            workers.put(fresh)
        elif what in ("close", "open", "remove"):
            getattr(workers, what)(name)
    linked = [
        name
        for by_steps in workers.steps_by_group.values()
        for racks in by_steps.values()
        for by_id in racks.values()
        for name in by_id
    ]
    assert sorted(linked) == sorted(workers.capacity_by_worker.keys() - workers.closed)
    assert sum(workers.count_by_data_centre.values()) == len(linked)
    for group, by_steps in workers.steps_by_group.items():
        assert sorted(steps for _, steps in workers.order_by_group[group]) == sorted(
            by_steps
        )


def test_index_of_a_full_system_matches_a_sum_from_scratch():
    """Guards the incremental sums over many placements and ends."""
    system = _loaded_system.make(3, 46)
    for _ in range(20):
        system.finish_some(10)
        for task_id in system.submit(8):
            system.fleet.refresh()
            task = system.state.task_by_id[task_id]
            capacity = placement.choose(
                system.fleet.workers, system.fleet.placement_request(task)
            )
            if capacity is not None:
                system.place(task_id, capacity.id)
    system.fleet.refresh()
    raw = _reference_placement.capacities_by_worker(
        system.state, system.tree, list(system.directory.by_id.values())
    )
    for worker, (_, services, size, free) in raw.items():
        capacity = system.fleet.workers.capacity_by_worker[worker]
        assert (capacity.services, capacity.size, capacity.free) == (
            services,
            size,
            free,
        )
        assert amounts.fits((0, 0, 0), free)
