"""Runs one entry instance: start, background tasks, ports, planned stop."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec

from limpetstream import errors, recent_ids
from limpetstream.accounts import handlers as account_handlers
from limpetstream.admin import handlers as admin_handlers
from limpetstream.batch import (
    handlers as batch_handlers,
    requests as batch_requests,
)
from limpetstream.border import bounded_server, limits
from limpetstream.desk import handlers as desk_handlers, reconciliation
from limpetstream.entry import (
    components as entry_components,
    core as cores,
    events,
    health,
    lifecycle as lifecycles,
    operations,
    refusals,
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
MAX_PEER_CONNECTIONS = 1000
# The rest of the descriptors is for calls to executors and the platform.
CALLERS_DESCRIPTOR_SHARE = 0.5
PEERS_DESCRIPTOR_SHARE = 0.125


def health_state(core: cores.Core, lifecycle: lifecycles.Lifecycle) -> str:
    """Return the state that the health endpoints report."""
    if lifecycle.state != lifecycles.SERVING:
        return lifecycle.state
    age = core.view.age(core.clock.monotonic())
    return (
        lifecycles.SERVING if age < cores.MAX_VIEW_AGE_S else lifecycles.LOG_UNREACHABLE
    )


async def track_state(core: cores.Core, lifecycle: lifecycles.Lifecycle) -> None:
    """Switch to serving once the view is complete; log changes of the state.

    Events report when the view becomes stale and when it is fresh again.
    """
    logged_state = lifecycles.STARTING
    while True:
        if (
            lifecycle.state == lifecycles.STARTING
            and core.membership_agent
            and core.membership_agent.joined
        ):
            with contextlib.suppress(errors.ViewStale):
                cores.check_ready(core)
                lifecycle.state = lifecycles.SERVING
                logs.emit(events.SERVING)
        state = health_state(core, lifecycle)
        if state != logged_state:
            if state == lifecycles.LOG_UNREACHABLE:
                logs.emit(events.LOG_STALE)
            elif logged_state == lifecycles.LOG_UNREACHABLE:
                logs.emit(events.LOG_FRESH)
            logged_state = state
        await core.clock.sleep(STATE_CHECK_INTERVAL_S)


async def publish_latency_slices(core: cores.Core) -> None:
    """Append closed latency slices to the telemetry stream until cancelled.

    A slice of more than MAX_SLICE_RECORD_BYTES is dropped. While the log is
    unavailable, slices stay queued.
    """
    telemetry_writer = core.stream_writer(histograms.STREAM)
    while True:
        await core.clock.sleep(LATENCY_PUBLISH_INTERVAL_S)
        core.latencies.rotate()
        while core.latencies.unsent:
            line = msgspec.json.encode(core.latencies.unsent[0]).decode()
            if len(line) <= MAX_SLICE_RECORD_BYTES:
                try:
                    await telemetry_writer.append([line])
                except errors.LogUnavailable:
                    break
            core.latencies.unsent.popleft()


async def follow_control_stream(
    core: cores.Core,
    snapshot_loader: loader.SnapshotLoader,
    follower: followers.Follower,
) -> None:
    """Load the newest snapshot into the empty view, then follow the stream."""
    while core.view.next_offset == 0:
        try:
            await snapshot_loader.load_initial()
            break
        except errors.LogUnavailable:
            await core.clock.sleep(SNAPSHOT_RETRY_DELAY_S)
    await follower.run()


def background_task_by_name(
    components: entry_components.Components, lifecycle: lifecycles.Lifecycle
) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return the tasks that run as long as the instance, by name.

    The names are fields of log lines.
    """
    core = components.core
    assert core.membership_agent is not None
    snapshot_loader = loader.SnapshotLoader(
        core.log, cores.CONTROL_STREAM, core.view, core.clock, core.random
    )
    snapshot_writer = writer.SnapshotWriter(
        core.stream_writer("snapshots"),
        core.view,
        core.members,
        core.settings.id,
        core.clock,
        core.settings.log_retention_s,
        lambda: snapshot_loader.catalogue.latest_number,
    )
    follower = core.make_follower(cores.CONTROL_STREAM, core.view, snapshot_loader.load)
    return {
        "control": lambda: follow_control_stream(core, snapshot_loader, follower),
        "catalogue": snapshot_loader.follow,
        "committer": core.committer.run,
        "instances": core.directory.run_refresh_loop,
        "keeper": core.membership_agent.run,
        "snapshots": snapshot_writer.run,
        "desk": components.desk.run_refresh_loop,
        "scheduler": components.scheduler.run,
        "account-commit": components.ledger.commit_forever,
        "account-copies": components.ledger.copy_forever,
        "carrier": components.compactor.run,
        "latencies": lambda: publish_latency_slices(core),
        "watch": lambda: track_state(core, lifecycle),
    }


def caller_routes(
    components: entry_components.Components,
    lifecycle: lifecycles.Lifecycle,
    unknown_jobs: recent_ids.RecentIds,
) -> list[Any]:
    """Return all routes of the caller port."""
    core = components.core
    components.state = lambda: health_state(core, lifecycle)
    return [
        *health.routes(
            state=components.state,
            collected=core.metrics,
            refresh=lambda: operations.refresh_metrics(components),
        ),
        *desk_handlers.routes(desk=components.desk, limits=core.settings.limits),
        *batch_handlers.routes(
            context=components.scheduler.context,
            ledger=components.ledger,
            unknown_jobs=unknown_jobs,
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


def max_caller_body_bytes(path: str) -> int:
    """Return the largest body of a caller's request to a path."""
    if path.startswith(desk_handlers.PREFIX):
        # The handler applies the limit of the service.
        return int(schema.RANGE_BY_KEY["max_body_bytes"][1])
    return max(admin_handlers.MAX_BODY_BYTES, batch_requests.MAX_BODY_BYTES)


async def hand_over(components: entry_components.Components, resource: str) -> None:
    """Finish the work under a right before the right is released."""
    if resource.startswith("executors/"):
        await reconciliation.hand_over(components.desk.holder, resource)
    else:
        await components.scheduler.hand_over(resource)


@contextlib.asynccontextmanager
async def serve_ports(
    settings: schema.Instance, core: cores.Core, lifecycle: lifecycles.Lifecycle
) -> AsyncIterator[entry_components.Components]:
    """Bind both ports, build the components and serve within the block."""
    peer_sockets, peer_port = servers.bind(settings.host, settings.peer_port)
    caller_sockets, caller_port = servers.bind(settings.host, settings.caller_port)
    # The agent needs the ports and the components need the agent, so the
    # agent's callback looks up the components later.
    built: list[entry_components.Components] = []
    cores.attach_membership_agent(
        core,
        caller_port=caller_port,
        peer_port=peer_port,
        hand_over=lambda resource: hand_over(built[0], resource),
        on_removed=lifecycle.request_stop,
    )
    components = entry_components.build_components(
        core, retention_s=settings.log_retention_s
    )
    built.append(components)
    caller_limits = limits.server_arguments(settings.limits)
    caller_limits["max_body_bytes"] = max_caller_body_bytes
    unknown_jobs = recent_ids.RecentIds()
    caller_bounds = bounded_server.Bounds(
        max_connections=servers.max_connections(
            settings.limits.connections, CALLERS_DESCRIPTOR_SHARE
        ),
        max_memory_bytes=settings.limits.request_bytes,
        encode_refusal=functools.partial(
            refusals.encode, desk=components.desk, unknown_jobs=unknown_jobs
        ),
    )
    peer_bounds = bounded_server.Bounds(
        max_connections=servers.max_connections(
            MAX_PEER_CONNECTIONS, PEERS_DESCRIPTOR_SHARE
        ),
        max_memory_bytes=peer_handlers.MAX_REQUEST_BYTES,
        max_body_bytes=lambda: peer_handlers.MAX_BODY_BYTES,
    )
    peer_server = servers.serve(
        peer_routes(components),
        sockets=peer_sockets,
        tls=settings.peer_tls,
        clock=core.clock,
        arguments=peer_handlers.SERVER_LIMITS,
        bounds=peer_bounds,
    )
    caller_server = servers.serve(
        caller_routes(components, lifecycle, unknown_jobs),
        sockets=caller_sockets,
        tls=settings.tls,
        clock=core.clock,
        arguments=caller_limits,
        bounds=caller_bounds,
    )
    async with peer_server, caller_server:
        logs.emit(events.STARTING, caller_port=caller_port, peer_port=peer_port)
        yield components


async def stop_gracefully(
    components: entry_components.Components, lifecycle: lifecycles.Lifecycle
) -> None:
    """Carry out the planned stop of section 6.9 of the design.

    Requests in flight are finished; the rights are released afterwards.
    """
    core = components.core
    lifecycle.state = lifecycles.LEAVING
    logs.emit(events.LEAVING)
    assert core.membership_agent is not None
    with contextlib.suppress(errors.LogUnavailable, TimeoutError):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await core.membership_agent.leave()
    await core.clock.sleep(core.settings.stop_lag_s)
    # A request ends within the longest run of its service, so waiting longer
    # than that plus a margin has no use.
    longest_runs_s = [
        components.desk.max_in_flight_s(name) for name in core.tree.names("service")
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(longest_runs_s, default=0.0) + DRAIN_MARGIN_S):
            await components.desk.drain()
    # A release cannot be confirmed without the log; the rights then expire.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_TIMEOUT_S):
            await core.membership_agent.release_all()
    await components.ledger.flush(timeout_s=FLUSH_TIMEOUT_S)


async def run(settings: schema.Instance) -> None:
    """Run an entry instance until its planned stop completes or aborts."""
    lifecycle = lifecycles.Lifecycle()
    async with contextlib.AsyncExitStack() as stack:
        core = stack.enter_context(cores.open_core(settings))
        await stack.enter_async_context(lifecycles.signal_handlers(lifecycle))
        components = await stack.enter_async_context(
            serve_ports(settings, core, lifecycle)
        )
        tasks = background_task_by_name(components, lifecycle)
        await stack.enter_async_context(lifecycles.run_in_background(core.clock, tasks))
        await lifecycle.stop.wait()
        await lifecycles.wait_or_abort(
            lifecycle, stop_gracefully(components, lifecycle)
        )
    logs.emit(events.STOPPED)
