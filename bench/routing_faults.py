"""Faults, alone and in pairs: what ran, what was told, and what was broken.

Rights come from ``bench._simulated_rights``, a stand-in that follows the
design. A caller that gets no reply because its instance died or stands still
counts the outcome as unknown.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable

import loguru

from bench import _desk_world, _simulated_rights, result
from limpetstream.desk import messages
from standins import virtual_time

RUN_S = 0.3
LOAD = 0.4
FAULT_AT_S = 4.0
SECONDS = 24.0
OUTAGE_S = 60.0
PAUSE_S = 10.0
OUT_S = 8.0
OUT_BOUND_S = 3.0
# The balancer sends nothing to an instance that has been silent for this long.
BALANCER_S = 1.0
IDEMPOTENT_OF_FIVE = 4

Fault = Callable[[_desk_world.World], Awaitable[None]]


async def _kill(world: _desk_world.World) -> None:
    world.by_id["entry1"].kill()


async def _pause(world: _desk_world.World) -> None:
    world.by_id["entry2"].paused_until = world.loop_time() + PAUSE_S


async def _out(world: _desk_world.World) -> None:
    while not world.log.up:
        await asyncio.sleep(0.5)  # the edit is refused until the log is back
    place = world.tree.data_centre("gl-ontario")
    place.state, world.taken_out_at = "out", world.loop_time()
    world.tree.version += 1
    await asyncio.sleep(OUT_S)
    place.state, world.brought_back_at = "in", world.loop_time()
    world.tree.version += 1


async def _outage(world: _desk_world.World) -> None:
    world.log.up = False
    await asyncio.sleep(OUTAGE_S)
    world.log.up = True


FAULT_BY_NAME: dict[str, Fault] = {
    "kill": _kill,
    "pause": _pause,
    "out": _out,
    "outage": _outage,
}


@dataclasses.dataclass(slots=True)
class Measured:
    """Figures of one scenario."""

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


def _serve(world: _desk_world.World) -> _desk_world.Serve:
    async def serve(name: str, request: messages.Request) -> str:
        node = world.by_id[name]
        await node.wait_while_paused()
        work = node.spawn(node.desk.handle(request))
        await asyncio.wait([work], timeout=_desk_world.DEADLINE_S + 0.1)
        if not work.done() or work.cancelled() or node.dead:
            return "no reply"
        if world.loop_time() < node.paused_until:
            return "no reply"
        return work.result().outcome

    return serve


def _nodes(world: _desk_world.World) -> list[str]:
    now = world.loop_time()
    return [
        name
        for name, node in world.by_id.items()
        if not node.dead
        and not (
            now < node.paused_until and now > node.paused_until - PAUSE_S + BALANCER_S
        )
    ]


async def _measure(seed: int, names: tuple[str, ...]) -> Measured:
    world = _desk_world.World(seed=seed, run_s=RUN_S)
    world.taken_out_at = world.brought_back_at = float("inf")
    _simulated_rights.SimulatedRights(world).start()
    await world.start(settle_s=8.0)
    began = world.loop_time()
    for number, name in enumerate(names):
        # A log outage begins first, so that the other fault falls into it.
        world.spawn(_later(world, FAULT_AT_S + 3.0 * number, FAULT_BY_NAME[name]))
    seconds = SECONDS + (OUTAGE_S if "outage" in names else 0.0)
    per_s = (
        LOAD
        * len(_desk_world.DATA_CENTRE_BY_EXECUTOR)
        * _desk_world.SLOTS_PER_EXECUTOR
        / RUN_S
    )
    ended = await _desk_world.offer_load(
        world,
        _serve(world),
        per_s=per_s,
        seconds=seconds,
        idempotent=_idempotent,
        available_instances=lambda: _nodes(world),
    )
    await asyncio.sleep(15.0)
    return _judge(world, ended, began)


def _idempotent(number: int) -> bool:
    return number % 5 < IDEMPOTENT_OF_FIVE


async def _later(world: _desk_world.World, seconds: float, fault: Fault) -> None:
    await asyncio.sleep(seconds)
    await fault(world)


def _judge(
    world: _desk_world.World, ended: list[_desk_world.FinishedRequest], began: float
) -> Measured:
    until = began + FAULT_AT_S + (OUTAGE_S if len(ended) > 15_000 else SECONDS)
    answered = twice = false_not_run = lost = 0
    in_fault: list[bool] = []
    for each in ended:
        number, runs = int(each.request_id[1:]), world.runs(each.request_id)
        answered += each.outcome == "answered"
        twice += runs > 1 and not _idempotent(number)
        false_not_run += each.outcome == "not-run" and runs > 0
        lost += each.outcome == "answered" and runs == 0
        if _idempotent(number) and began + FAULT_AT_S <= each.arrived_at < until:
            in_fault.append(each.outcome == "answered")
    lost += _open_entries(world)
    late = sum(
        world.backend_by_id[sent[1]].data_centre == "gl-ontario"
        and world.taken_out_at + OUT_BOUND_S < sent[3] < world.brought_back_at
        for sent in world.sends
    )
    return Measured(
        len(ended),
        round(answered / len(ended), 4),
        round(sum(in_fault) / max(1, len(in_fault)), 4),
        sum(each.outcome == "not-run" for each in ended),
        sum(each.outcome in ("unknown", "no reply") for each in ended),
        world.breaches(),
        lost,
        twice,
        false_not_run,
        late,
    )


def _open_entries(world: _desk_world.World) -> int:
    """Count requests whose outcome a living instance never settled."""
    return sum(
        states[-1] == "received"
        for node in world.by_id.values()
        if not node.dead
        for states in node.accounts.entry_by_key.values()
    )


def run(seed: int) -> result.Result:
    """Measure all scenarios on virtual time."""
    loguru.logger.disable("limpetstream")
    singles = [(name,) for name in FAULT_BY_NAME]
    pairs = list(itertools.combinations(reversed(FAULT_BY_NAME), 2))
    by_name = {
        "+".join(names): virtual_time.run(_measure(seed, names))
        for names in [*singles, *pairs]
    }
    all_of = list(by_name.values())
    outage = by_name["outage"].idempotent_answered_in_fault
    return result.Result(
        "routing_faults",
        seed,
        {name: dataclasses.asdict(each) for name, each in by_name.items()},
        {
            "0 breaches of slots and connections": not any(m.breaches for m in all_of),
            "0 requests lost": not any(m.lost for m in all_of),
            "0 non-idempotent requests run twice": not any(m.twice for m in all_of),
            "0 false 'not run'": not any(m.false_not_run for m in all_of),
            "0 sends to a data centre 3 s after it was taken out": not any(
                m.late_sends_to_out for m in all_of
            ),
            "99% of idempotent requests answered in the outage": outage >= 0.99,
        },
    )
