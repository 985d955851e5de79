"""Checks desk requests under faults, alone and in pairs.

It compares what ran with what callers were told. Rights are simulated by
``bench._simulated_rights``. A caller that gets no reply because its instance
was killed or paused counts the outcome as unknown.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable

import loguru

from bench import _desk_world, _simulated_rights, result
from limpetstream.desk import messages
from standins import virtual_time

MEAN_RUN_S = 0.3
LOAD_FACTOR = 0.4
FAULT_AT_S = 4.0
LOAD_DURATION_S = 24.0
OUTAGE_S = 60.0
PAUSE_S = 10.0
DATA_CENTRE_OUT_S = 8.0
MAX_SEND_DELAY_AFTER_OUT_S = 3.0
# The load balancer skips an instance that has not answered for this long.
BALANCER_TIMEOUT_S = 1.0
IDEMPOTENT_PER_FIVE = 4

Fault = Callable[[_desk_world.World], Awaitable[None]]


async def _kill(world: _desk_world.World) -> None:
    world.by_id["entry1"].kill()


async def _pause(world: _desk_world.World) -> None:
    world.by_id["entry2"].paused_until = world.loop_time() + PAUSE_S


async def _take_data_centre_out(world: _desk_world.World) -> None:
    while not world.log.up:
        await asyncio.sleep(0.5)  # The edit is refused until the log is back.
    data_centre = world.tree.data_centre("gl-ontario")
    data_centre.state, world.taken_out_at = "out", world.loop_time()
    world.tree.version += 1
    await asyncio.sleep(DATA_CENTRE_OUT_S)
    data_centre.state, world.brought_back_at = "in", world.loop_time()
    world.tree.version += 1


async def _log_outage(world: _desk_world.World) -> None:
    world.log.up = False
    await asyncio.sleep(OUTAGE_S)
    world.log.up = True


FAULT_BY_NAME: dict[str, Fault] = {
    "kill": _kill,
    "pause": _pause,
    "out": _take_data_centre_out,
    "outage": _log_outage,
}


@dataclasses.dataclass(slots=True)
class Measured:
    """Figures of one scenario.

    Args:
        requests: Number of requests.
        answered: Share of them that was answered.
        idempotent_answered_in_fault: Answered share of the idempotent requests
            that arrived during the fault.
        not_run: Requests that were refused.
        unknown: Requests whose outcome their callers do not know.
        breaches: Breaches of slots and connections.
        lost: Answered requests that never ran, and requests whose outcome a
            living instance has not recorded.
        twice: Non-idempotent requests that ran more than once.
        false_not_run: Refused requests that ran.
        late_sends_to_out: Requests sent to a data centre too long after it was
            taken out.
    """

    requests: int
    answered: float
    idempotent_answered_in_fault: float
    not_run: int
    unknown: int
    breaches: int
    lost: int
    twice: int
    false_not_run: int
    late_sends_to_out: int


def _serve_with_faults(world: _desk_world.World) -> _desk_world.Serve:
    async def serve(name: str, request: messages.Request) -> str:
        node = world.by_id[name]
        await node.wait_while_paused()
        handling = node.spawn(node.desk.handle(request))
        await asyncio.wait([handling], timeout=_desk_world.DEADLINE_S + 0.1)
        if not handling.done() or handling.cancelled() or node.dead:
            return "no reply"
        if world.loop_time() < node.paused_until:
            return "no reply"
        return handling.result().outcome

    return serve


def _available_instances(world: _desk_world.World) -> list[str]:
    now = world.loop_time()
    return [
        name
        for name, node in world.by_id.items()
        if not node.dead
        and not (
            now < node.paused_until
            and now > node.paused_until - PAUSE_S + BALANCER_TIMEOUT_S
        )
    ]


async def _measure(seed: int, names: tuple[str, ...]) -> Measured:
    world = _desk_world.World(seed=seed, run_s=MEAN_RUN_S)
    world.taken_out_at = world.brought_back_at = float("inf")
    _simulated_rights.SimulatedRights(world).start()
    await world.start(settle_s=8.0)
    started_at = world.loop_time()
    for number, name in enumerate(names):
        # A log outage begins first, so that the other fault happens during it.
        world.spawn(
            _inject_after(world, FAULT_AT_S + 3.0 * number, FAULT_BY_NAME[name])
        )
    seconds = LOAD_DURATION_S + (OUTAGE_S if "outage" in names else 0.0)
    per_s = (
        LOAD_FACTOR
        * len(_desk_world.DATA_CENTRE_BY_EXECUTOR)
        * _desk_world.SLOTS_PER_EXECUTOR
        / MEAN_RUN_S
    )
    finished = await _desk_world.offer_load(
        world,
        _serve_with_faults(world),
        per_s=per_s,
        seconds=seconds,
        idempotent=_is_idempotent,
        available_instances=lambda: _available_instances(world),
    )
    await asyncio.sleep(15.0)
    return _evaluate(world, finished, started_at)


def _is_idempotent(number: int) -> bool:
    return number % 5 < IDEMPOTENT_PER_FIVE


async def _inject_after(world: _desk_world.World, seconds: float, fault: Fault) -> None:
    await asyncio.sleep(seconds)
    await fault(world)


def _evaluate(
    world: _desk_world.World,
    finished: list[_desk_world.FinishedRequest],
    started_at: float,
) -> Measured:
    # Only a log outage makes the load last OUTAGE_S longer, and only then are
    # there more than 15,000 requests.
    fault_ends_at = (
        started_at
        + FAULT_AT_S
        + (OUTAGE_S if len(finished) > 15_000 else LOAD_DURATION_S)
    )
    answered = run_twice = false_not_run = lost = 0
    in_fault: list[bool] = []
    for each in finished:
        number, runs = int(each.request_id[1:]), world.runs(each.request_id)
        answered += each.outcome == "answered"
        run_twice += runs > 1 and not _is_idempotent(number)
        false_not_run += each.outcome == "not-run" and runs > 0
        lost += each.outcome == "answered" and runs == 0
        if (
            _is_idempotent(number)
            and started_at + FAULT_AT_S <= each.arrived_at < fault_ends_at
        ):
            in_fault.append(each.outcome == "answered")
    lost += _count_open_entries(world)
    # A send names the instance, the executor, the request and its time.
    late_sends = sum(
        world.backend_by_id[sent[1]].data_centre == "gl-ontario"
        and world.taken_out_at + MAX_SEND_DELAY_AFTER_OUT_S
        < sent[3]
        < world.brought_back_at
        for sent in world.sends
    )
    return Measured(
        len(finished),
        round(answered / len(finished), 4),
        round(sum(in_fault) / max(1, len(in_fault)), 4),
        sum(each.outcome == "not-run" for each in finished),
        sum(each.outcome in ("unknown", "no reply") for each in finished),
        world.breaches(),
        lost,
        run_twice,
        false_not_run,
        late_sends,
    )


def _count_open_entries(world: _desk_world.World) -> int:
    """Count requests whose outcome a living instance has not recorded."""
    return sum(
        states[-1] == "received"
        for node in world.by_id.values()
        if not node.dead
        for states in node.accounts.entry_by_key.values()
    )


def run(seed: int) -> result.Result:
    """Measure each fault and each pair of faults on virtual time."""
    loguru.logger.disable("limpetstream")
    singles = [(name,) for name in FAULT_BY_NAME]
    pairs = list(itertools.combinations(reversed(FAULT_BY_NAME), 2))
    by_name = {
        "+".join(names): virtual_time.run(_measure(seed, names))
        for names in [*singles, *pairs]
    }
    measured = list(by_name.values())
    answered_in_outage = by_name["outage"].idempotent_answered_in_fault
    return result.Result(
        "routing_faults",
        seed,
        {name: dataclasses.asdict(each) for name, each in by_name.items()},
        {
            "0 breaches of slots and connections": not any(
                each.breaches for each in measured
            ),
            "0 requests lost": not any(each.lost for each in measured),
            "0 non-idempotent requests run twice": not any(
                each.twice for each in measured
            ),
            "0 false 'not run'": not any(each.false_not_run for each in measured),
            "0 sends to a data centre 3 s after it was taken out": not any(
                each.late_sends_to_out for each in measured
            ),
            "99% of idempotent requests answered in the outage": answered_in_outage
            >= 0.99,
        },
    )
