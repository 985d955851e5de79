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
    components as entry_components,
    core as cores,
    events,
    health,
    lifecycle as lifecycles,
    operations,
    servers,
)
from limpetstream.peers import handlers as peer_handlers
from limpetstream.records import follower as followers
from limpetstream.settings import schema
from limpetstream.snapshots import loader, writer
from limpetstream.telemetry import histograms, logs

STATE_CHECK_INTERVAL_S = 0.2
SNAPSHOT_RETRY_DELAY_S = 0.3
FLUSH_TIMEOUT_S = 10.0
LEAVE_TIMEOUT_S = 3.0
RELEASE_TIMEOUT_S = 10.0
DRAIN_MARGIN_S = 10.0
LATENCY_PUBLISH_INTERVAL_S = 5.0
MAX_SLICE_RECORD_BYTES = 200_000


def health_state(core: cores.Core, life: lifecycles.Lifecycle) -> str:
    """Return the state that health pages show."""
    if life.state != lifecycles.SERVING:
        return life.state
    age = core.view.age(core.clock.monotonic())
    return (
        lifecycles.SERVING if age < cores.MAX_VIEW_AGE_S else lifecycles.LOG_UNREACHABLE
    )


async def track_state(core: cores.Core, life: lifecycles.Lifecycle) -> None:
    """Become serving once the view is complete; log when it gets stale."""
    known = lifecycles.STARTING
    while True:
        if (
            life.state == lifecycles.STARTING
            and core.membership_agent
            and core.membership_agent.joined
        ):
            with contextlib.suppress(errors.ViewStale):
                cores.check_ready(core)
                life.state = lifecycles.SERVING
                logs.emit(events.SERVING)
        state = health_state(core, life)
        if state != known:
            if state == lifecycles.LOG_UNREACHABLE:
                logs.emit(events.LOG_STALE)
            elif known == lifecycles.LOG_UNREACHABLE:
                logs.emit(events.LOG_FRESH)
            known = state
        await core.clock.sleep(STATE_CHECK_INTERVAL_S)


async def publish_latency_slices(core: cores.Core) -> None:
    """Append closed latency slices to the telemetry stream, for ever."""
    target = core.stream_writer(histograms.STREAM)
    while True:
        await core.clock.sleep(LATENCY_PUBLISH_INTERVAL_S)
        core.latencies.rotate()
        while core.latencies.unsent:
            line = msgspec.json.encode(core.latencies.unsent[0]).decode()
            if len(line) <= MAX_SLICE_RECORD_BYTES:
                try:
                    await target.append([line])
                except errors.LogUnavailable:
                    break
            core.latencies.unsent.popleft()


async def follow_control_stream(
    core: cores.Core, restore: loader.SnapshotLoader, follower: followers.Follower
) -> None:
    """Put the empty view at the newest snapshot and follow the log from it."""
    while core.view.next_offset == 0:
        try:
            await restore.load_initial()
            break
        except errors.LogUnavailable:
            await core.clock.sleep(SNAPSHOT_RETRY_DELAY_S)
    await follower.run()


def background_task_by_name(
    components: entry_components.Components, life: lifecycles.Lifecycle
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return the tasks that run as long as the instance does."""
    core = components.core
    assert core.membership_agent is not None
    restore = loader.SnapshotLoader(
        core.log, cores.CONTROL_STREAM, core.view, core.clock, core.random
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
    follower = core.make_follower(cores.CONTROL_STREAM, core.view, restore.load)
    return {
        "control": lambda: follow_control_stream(core, restore, follower),
        "catalogue": restore.follow,
        "committer": core.committer.run,
        "instances": core.directory.run_refresh_loop,
        "keeper": core.membership_agent.run,
        "snapshots": snapshots.run,
        "desk": components.desk.run_refresh_loop,
        "scheduler": components.scheduler.run,
        "account-commit": components.ledger.commit_forever,
        "account-copies": components.ledger.copy_forever,
        "carrier": components.carrier.run,
        "latencies": lambda: publish_latency_slices(core),
        "watch": lambda: track_state(core, life),
    }


def caller_routes(
    components: entry_components.Components, life: lifecycles.Lifecycle
) -> list[Any]:
    """Return all routes of the caller port."""
    core = components.core
    components.state = lambda: health_state(core, life)
    return [
        *health.routes(
            state=components.state,
            collected=core.metrics,
            refresh=lambda: operations.refresh_metrics(components),
        ),
        *desk_handlers.routes(desk=components.desk, limits=core.settings.limits),
        *batch_handlers.routes(
            context=components.scheduler.context, ledger=components.ledger
        ),
        *account_handlers.routes(components.ledger, core.tree.caller_by_key),
        *admin_handlers.routes(
            operations=operations.all_operations(components),
            tree=core.tree,
        ),
    ]


def peer_routes(components: entry_components.Components) -> list[Any]:
    """Return all routes of the peer port."""
    return peer_handlers.routes(
        verifier=components.core.verifier,
        signer=components.core.peers.signer,
        routes=entry_components.peer_routes(components),
    )


async def hand_over(components: entry_components.Components, resource: str) -> None:
    """Finish the work under a right before it is released."""
    if resource.startswith("executors/"):
        await reconciliation.hand_over(components.desk.holder, resource)
    else:
        await components.scheduler.hand_over(resource)


@contextlib.asynccontextmanager
async def serve_ports(
    settings: schema.Instance, core: cores.Core, life: lifecycles.Lifecycle
) -> AsyncIterator[entry_components.Components]:
    """Bind both ports, build all slices and serve inside the block."""
    peer_sockets, peer_port = servers.bind(settings.host, settings.peer_port)
    caller_sockets, caller_port = servers.bind(settings.host, settings.caller_port)
    built: list[entry_components.Components] = []
    cores.attach_membership_agent(
        core,
        caller_port=caller_port,
        peer_port=peer_port,
        hand_over=lambda resource: hand_over(built[0], resource),
        on_removed=life.request_stop,
    )
    components = entry_components.build_components(
        core, retention_s=settings.log_retention_s
    )
    built.append(components)
    caller_limits = limits.server_arguments(settings.limits)
    caller_limits["connections"] = settings.limits.connections
    peer_server = servers.serve(
        peer_routes(components),
        sockets=peer_sockets,
        tls=settings.peer_tls,
        clock=core.clock,
        arguments=peer_handlers.SERVER_LIMITS,
    )
    caller_server = servers.serve(
        caller_routes(components, life),
        sockets=caller_sockets,
        tls=settings.tls,
        clock=core.clock,
        arguments=caller_limits,
    )
    async with peer_server, caller_server:
        logs.emit(events.STARTING, caller_port=caller_port, peer_port=peer_port)
        yield components


async def stop_gracefully(
    components: entry_components.Components, life: lifecycles.Lifecycle
) -> None:
    """Stop as section 6.9 of the design says; nothing in flight is cut off."""
    core = components.core
    life.state = lifecycles.LEAVING
    logs.emit(events.LEAVING)
    assert core.membership_agent is not None
    with contextlib.suppress(errors.LogUnavailable, TimeoutError):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await core.membership_agent.leave()
    await core.clock.sleep(core.settings.stop_lag_s)
    # Every request ends within its longest run; more waiting finds nothing.
    longest = [
        components.desk.max_in_flight_s(name) for name in core.tree.names("service")
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(longest, default=0.0) + DRAIN_MARGIN_S):
            await components.desk.drain()
    # Without the log a release cannot be confirmed; the rights then lapse.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_TIMEOUT_S):
            await core.membership_agent.release_all()
    await components.ledger.flush(timeout_s=FLUSH_TIMEOUT_S)


async def run(settings: schema.Instance) -> None:
    """Run an entry instance until its planned stop is complete."""
    life = lifecycles.Lifecycle()
    async with contextlib.AsyncExitStack() as stack:
        core = stack.enter_context(cores.open_core(settings))
        await stack.enter_async_context(lifecycles.signal_handlers(life))
        components = await stack.enter_async_context(serve_ports(settings, core, life))
        tasks = background_task_by_name(components, life)
        await stack.enter_async_context(lifecycles.run_in_background(core.clock, tasks))
        await life.stop.wait()
        await lifecycles.wait_or_abort(life, stop_gracefully(components, life))
    logs.emit(events.STOPPED)
