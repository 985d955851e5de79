"""Builds the slices of an entry instance on top of the shared core."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from limpetstream.accounts import (
    carry,
    ledger as ledgers,
    store as stores,
    witness as witnesses,
)
from limpetstream.batch import context, explain, fleet, jobs, quotas, scheduler
from limpetstream.desk import (
    answer_cache,
    context as desk_contexts,
    forwarding,
    holder,
    intents,
    retry_budget,
    sender,
    service,
)
from limpetstream.entry import core as cores
from limpetstream.membership import messages as membership_messages
from limpetstream.peers import messages as peer_messages


@dataclasses.dataclass(slots=True)
class Components:
    """The slices of one entry instance.

    Args:
        core: What they share.
        desk: Desk requests.
        jobs: Folded batch state.
        scheduler: Batch work on the held workers.
        ledger: Accounts.
        carrier: Carries accounts forward before they expire.
        workers: Rooms of all workers, for explanations.
        state: State that health pages show.
    """

    core: cores.Core
    desk: service.Desk
    jobs: jobs.Jobs
    scheduler: scheduler.Scheduler
    ledger: ledgers.Ledger
    carrier: carry.Carrier
    fleet: fleet.Fleet
    state: Callable[[], str] = lambda: "starting"


def build_components(core: cores.Core, *, retention_s: float) -> Components:
    """Build all slices; the core's membership agent must exist.

    Args:
        core: Shared components.
        retention_s: Time that the log keeps records, in seconds.
    """
    folded = intents.IntentTable()
    folded.register(core.view.registry, core.view)
    state = jobs.Jobs(core.tree, quotas.Quotas(core.tree))
    state.register(core.view, core.view.registry)
    ledger = build_ledger(core)
    carrier = carry.Carrier(
        core.settings.id,
        ledger.append,
        ledger.store,
        ledger.outbox.writer,
        lambda: list(core.members.by_id),
        core.clock,
        retention_s,
    )
    desk = build_desk(core, folded, ledger)
    batch_context = context.Context(
        core.clock,
        core.view,
        state,
        core.committer,
        core.membership_agent,
        core.workers,
        core.tree,
        core.directory,
        core.metrics,
        on_samples=lambda samples: learn_usage(desk, samples),
    )
    return Components(
        core,
        desk,
        state,
        scheduler.Scheduler(batch_context),
        ledger,
        carrier,
        explain.make_global_fleet(state, core.tree, core.directory),
    )


def build_ledger(core: cores.Core) -> ledgers.Ledger:
    """Build the ledger of the callers' accounts."""
    witness = witnesses.Witness(
        core.settings.id, core.peers, lambda: list(core.members.by_id), core.clock
    )
    return ledgers.Ledger(
        core.settings.id,
        core.stream_writer("accounts").append,
        stores.Store(core.log),
        witness,
        core.clock,
        core.settings.limits.outage_bytes,
    )


def build_desk(
    core: cores.Core, folded: intents.IntentTable, ledger: ledgers.Ledger
) -> service.Desk:
    """Build the slice of desk requests."""
    desk_context = desk_contexts.Context(
        core.view,
        core.directory,
        core.tree,
        core.membership_agent,
        core.rights,
        core.members,
        core.clock,
        core.random,
        cores.GROUPS_PER_DATA_CENTRE,
    )
    return service.Desk(
        core.settings.id,
        core.settings.data_centre,
        desk_context,
        holder.Holder(
            desk_context, sender.Sender(core.clock), retry_budget.RetryBudget()
        ),
        folded,
        core.committer,
        ledger,
        core.peers,
        core.latencies,
        core.metrics,
        answer_cache.AnswerCache(core.settings.limits.answer_bytes),
    )


def peer_routes(components: Components) -> dict[str, peer_messages.Route]:
    """Return the routes of the peer port of all slices."""

    async def attest(
        member: str, headers: Mapping[str, str], body: bytes
    ) -> peer_messages.Reply:
        membership_agent = components.core.membership_agent
        content = (
            await membership_agent.answer_attestation(body) if membership_agent else b""
        )
        return peer_messages.Reply(200 if content else 503, {}, content)

    async def witness(
        member: str, headers: Mapping[str, str], body: bytes
    ) -> peer_messages.Reply:
        components.ledger.accept_copy(member, body)
        return peer_messages.Reply(200)

    return {
        **forwarding.peer_routes(components.desk),
        membership_messages.ATTESTATION_PATH: attest,
        witnesses.PATH: witness,
    }


def learn_usage(desk: service.Desk, samples: list[Any]) -> None:
    """Let the desk learn interference from the samples of executors."""
    desk.apply_usage_samples(
        dataclasses.asdict(each) for each in samples if each.executor
    )
