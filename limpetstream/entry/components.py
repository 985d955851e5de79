"""Builds the components of an entry instance on top of the shared core."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from limpetstream.accounts import (
    compaction,
    ledger as ledgers,
    stream as streams,
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
    """Components of one entry instance.

    Args:
        core: Clients and state that the components share.
        desk: Serves desk requests.
        jobs: Batch jobs, from the records of the control stream.
        scheduler: Runs batch work in the data centres whose workers this
            instance holds.
        ledger: Callers' accounts.
        compactor: Copies accounts forward on the log before they expire.
        fleet: Capacity of all workers, for explanations.
        state: Returns the state that the health endpoints report.
    """

    core: cores.Core
    desk: service.Desk
    jobs: jobs.Jobs
    scheduler: scheduler.Scheduler
    ledger: ledgers.Ledger
    compactor: compaction.Compactor
    fleet: fleet.Fleet
    state: Callable[[], str] = lambda: "starting"


def build_components(core: cores.Core, *, retention_s: float) -> Components:
    """Build all components; the core's membership agent must exist.

    Args:
        core: Core of the instance.
        retention_s: Retention time of the log, in seconds.
    """
    intent_table = intents.IntentTable()
    intent_table.register(core.view.registry, core.view)
    batch_jobs = jobs.Jobs(core.tree, quotas.Quotas(core.tree))
    batch_jobs.register(core.view, core.view.registry)
    ledger = build_ledger(core)
    compactor = compaction.Compactor(
        core.settings.id,
        ledger.append,
        ledger.stream,
        ledger.outbox.encoder,
        lambda: list(core.members.by_id),
        core.clock,
        retention_s,
    )
    desk = build_desk(core, intent_table, ledger)
    batch_context = context.Context(
        core.clock,
        core.view,
        batch_jobs,
        core.committer,
        core.membership_agent,
        core.workers,
        core.tree,
        core.directory,
        core.metrics,
        on_samples=lambda samples: forward_usage_samples(desk, samples),
    )
    return Components(
        core,
        desk,
        batch_jobs,
        scheduler.Scheduler(batch_context),
        ledger,
        compactor,
        explain.make_global_fleet(batch_jobs, core.tree, core.directory),
    )


def build_ledger(core: cores.Core) -> ledgers.Ledger:
    """Build the ledger of the callers' accounts with its peer witness."""
    witness = witnesses.WitnessClient(
        core.settings.id, core.peers, lambda: list(core.members.by_id), core.clock
    )
    return ledgers.Ledger(
        core.settings.id,
        core.stream_writer("accounts").append,
        streams.AccountStream(core.log),
        witness,
        core.clock,
        core.settings.limits.outage_bytes,
    )


def build_desk(
    core: cores.Core, intent_table: intents.IntentTable, ledger: ledgers.Ledger
) -> service.Desk:
    """Build the component that serves desk requests."""
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
        intent_table,
        core.committer,
        ledger,
        core.peers,
        core.latencies,
        core.metrics,
        answer_cache.AnswerCache(core.settings.limits.answer_bytes),
    )


def peer_routes(components: Components) -> dict[str, peer_messages.Route]:
    """Return the handler of each path on the peer port."""

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
        witnesses.WITNESS_PATH: witness,
    }


def forward_usage_samples(desk: service.Desk, samples: list[Any]) -> None:
    """Pass the usage samples of executors to the desk's slowdown estimates."""
    desk.apply_usage_samples(
        dataclasses.asdict(each) for each in samples if each.executor
    )
