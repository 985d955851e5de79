"""One entry instance from start to planned stop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.accounts import handlers as account_handlers
from limpetstream.admin import handlers as admin_handlers
from limpetstream.batch import handlers as batch_handlers
from limpetstream.border import limits
from limpetstream.desk import handlers as desk_handlers, reconciliation
from limpetstream.entry import (
    core as cores,
    events,
    health,
    lifecycle as lives,
    operations,
    parts as slices,
    servers,
)
from limpetstream.peers import handlers as peer_handlers
from limpetstream.records import follower as followers
from limpetstream.settings import schema
from limpetstream.snapshots import loader, writer
from limpetstream.telemetry import histograms, logs

WATCH_S = 0.2
RETRY_S = 0.3
FLUSH_S = 10.0
LEAVE_S = 3.0
RELEASE_S = 10.0
DRAIN_EXTRA_S = 10.0
LATENCIES_S = 5.0
MAX_SLICE_RECORD_BYTES = 200_000


def state_of(core: cores.Core, life: lives.Lifecycle) -> str:
    """Return the state that health pages show."""
    if life.state != lives.SERVING:
        return life.state
    age = core.view.age(core.clock.monotonic())
    return lives.SERVING if age < cores.FRESH_VIEW_S else lives.LOG_UNREACHABLE


async def watch(core: cores.Core, life: lives.Lifecycle) -> None:
    """Become serving once the view is complete; log when it gets stale."""
    known = lives.STARTING
    while True:
        if (
            life.state == lives.STARTING
            and core.membership_agent
            and core.membership_agent.joined
        ):
            with contextlib.suppress(errors.ViewStale):
                cores.check_ready(core)
                life.state = lives.SERVING
                logs.emit(events.SERVING)
        state = state_of(core, life)
        if state != known:
            if state == lives.LOG_UNREACHABLE:
                logs.emit(events.LOG_STALE)
            elif known == lives.LOG_UNREACHABLE:
                logs.emit(events.LOG_FRESH)
            known = state
        await core.clock.sleep(WATCH_S)


async def publish_latencies(core: cores.Core) -> None:
    """Append closed latency slices to the telemetry stream, for ever."""
    target = core.stream_writer(histograms.STREAM)
    while True:
        await core.clock.sleep(LATENCIES_S)
        core.latencies.rotate()
        while core.latencies.unsent:
            line = msgspec.json.encode(core.latencies.unsent[0]).decode()
            if len(line) <= MAX_SLICE_RECORD_BYTES:
                try:
                    await target.append([line])
                except errors.LogUnavailable:
                    break
            core.latencies.unsent.popleft()


async def follow_control(
    core: cores.Core, restore: loader.SnapshotLoader, follower: followers.Follower
) -> None:
    """Put the empty view at the newest snapshot and follow the log from it."""
    while core.view.next_offset == 0:
        try:
            await restore.load_initial()
            break
        except errors.LogUnavailable:
            await core.clock.sleep(RETRY_S)
    await follower.run()


def background_tasks(
    parts: slices.Parts, life: lives.Lifecycle
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return the tasks that run as long as the instance does."""
    core = parts.core
    assert core.membership_agent is not None
    restore = loader.SnapshotLoader(
        core.log, cores.CONTROL, core.view, core.clock, core.random
    )
    snapshots = writer.SnapshotWriter(
        core.stream_writer("snapshots"),
        core.view,
        core.members,
        core.settings.id,
        core.clock,
        core.settings.log_retention_s,
        lambda: restore.catalogue.latest_number,
    )
    follower = core.make_follower(cores.CONTROL, core.view, restore.load)
    return {
        "control": lambda: follow_control(core, restore, follower),
        "catalogue": restore.follow,
        "committer": core.committer.run,
        "instances": core.directory.follow,
        "keeper": core.membership_agent.run,
        "snapshots": snapshots.run,
        "desk": parts.desk.run_refresh_loop,
        "scheduler": parts.scheduler.run,
        "account-commit": parts.ledger.commit_forever,
        "account-copies": parts.ledger.copy_forever,
        "carrier": parts.compactor.run,
        "latencies": lambda: publish_latencies(core),
        "watch": lambda: watch(core, life),
    }


def caller_routes(parts: slices.Parts, life: lives.Lifecycle) -> list[Any]:
    """Return all routes of the caller port."""
    core = parts.core
    parts.state = lambda: state_of(core, life)
    return [
        *health.routes(
            state=parts.state,
            collected=core.metrics,
            refresh=lambda: operations.refresh_metrics(parts),
        ),
        *desk_handlers.routes(desk=parts.desk, limits=core.settings.limits),
        *batch_handlers.routes(context=parts.scheduler.context, ledger=parts.ledger),
        *account_handlers.routes(parts.ledger, core.tree.caller_by_key),
        *admin_handlers.routes(
            operations=operations.all_operations(parts),
            tree=core.tree,
        ),
    ]


def peer_rules(parts: slices.Parts) -> list[Any]:
    """Return all routes of the peer port."""
    return peer_handlers.routes(
        verifier=parts.core.verifier,
        signer=parts.core.peers.signer,
        routes=slices.peer_routes(parts),
    )


async def hand_over(parts: slices.Parts, resource: str) -> None:
    """Finish the work under a right before it is released."""
    if resource.startswith("executors/"):
        await reconciliation.hand_over(parts.desk.holder, resource)
    else:
        await parts.scheduler.hand_over(resource)


@contextlib.asynccontextmanager
async def listening(
    settings: schema.Instance, core: cores.Core, life: lives.Lifecycle
) -> AsyncIterator[slices.Parts]:
    """Bind both ports, build all slices and serve inside the block."""
    peer_sockets, peer_port = servers.bind(settings.host, settings.peer_port)
    caller_sockets, caller_port = servers.bind(settings.host, settings.caller_port)
    built: list[slices.Parts] = []
    cores.make_membership_agent(
        core,
        caller_port=caller_port,
        peer_port=peer_port,
        hand_over=lambda resource: hand_over(built[0], resource),
        on_removed=life.request_stop,
    )
    parts = slices.build(core, retention_s=settings.log_retention_s)
    built.append(parts)
    caller_limits = limits.server_arguments(settings.limits)
    caller_limits["connections"] = settings.limits.connections
    peer_server = servers.serve(
        peer_rules(parts),
        sockets=peer_sockets,
        tls=settings.peer_tls,
        clock=core.clock,
        arguments=peer_handlers.SERVER_LIMITS,
    )
    caller_server = servers.serve(
        caller_routes(parts, life),
        sockets=caller_sockets,
        tls=settings.tls,
        clock=core.clock,
        arguments=caller_limits,
    )
    async with peer_server, caller_server:
        logs.emit(events.STARTING, caller_port=caller_port, peer_port=peer_port)
        yield parts


async def leave(parts: slices.Parts, life: lives.Lifecycle) -> None:
    """Stop as section 6.9 of the design says; nothing in flight is cut off."""
    core = parts.core
    life.state = lives.LEAVING
    logs.emit(events.LEAVING)
    assert core.membership_agent is not None
    with contextlib.suppress(errors.LogUnavailable, TimeoutError):
        async with asyncio.timeout(LEAVE_S):
            await core.membership_agent.leave()
    await core.clock.sleep(core.settings.stop_lag_s)
    # Every request ends within its longest run; more waiting finds nothing.
    longest = [parts.desk.max_in_flight_s(name) for name in core.tree.names("service")]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(longest, default=0.0) + DRAIN_EXTRA_S):
            await parts.desk.drain()
    # Without the log a release cannot be confirmed; the rights then lapse.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_S):
            await core.membership_agent.release_all()
    await parts.ledger.flush(timeout_s=FLUSH_S)


async def run(settings: schema.Instance) -> None:
    """Run an entry instance until its planned stop is complete."""
    life = lives.Lifecycle()
    async with contextlib.AsyncExitStack() as stack:
        core = stack.enter_context(cores.open_core(settings))
        await stack.enter_async_context(lives.signals(life))
        parts = await stack.enter_async_context(listening(settings, core, life))
        tasks = background_tasks(parts, life)
        await stack.enter_async_context(lives.background(core.clock, tasks))
        await life.stop.wait()
        await lives.wait_or_abort(life, leave(parts, life))
    logs.emit(events.STOPPED)
