"""Builds the core that all components of an entry instance share.

The core holds the platform clients, the view of the control stream and the
state read from it: members, rights and settings.
"""

import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterator

from limpetstream import clock, errors
from limpetstream.membership import agent as agents, members, messages, rights
from limpetstream.peers import client as peers_client, signing
from limpetstream.platform import http, instances, log, workers
from limpetstream.records import budget, committer, follower, registry, view
from limpetstream.settings import edits, schema, tree
from limpetstream.telemetry import histograms, metrics

CONTROL_STREAM = "control"
# Section 5 of the design sets both limits. MAX_VIEW_AGE_S also bounds the age
# of the instance list.
MAX_VIEW_AGE_S = 1.0
# An append normally takes tens of milliseconds; the limit equals the maximum
# age of the view.
MAX_UNCONFIRMED_S = 1.0
# Determines the group that an executor belongs to, so all instances must use
# the same value.
GROUPS_PER_DATA_CENTRE = 2


@dataclasses.dataclass(slots=True)
class Core:
    """Clients and state that the components of an entry instance share.

    Args:
        settings: Settings of this instance.
        clock: Time source.
        random: Random number generator.
        metrics: Counters and gauges.
        latencies: Recorder of request latencies.
        platform: HTTP client of the platform.
        log: Client of the platform's log.
        workers: Client of the workers' calls.
        directory: The platform's instance list.
        view: View of the control stream.
        budget: Append budget that all streams share.
        committer: Appends to the control stream.
        members: Members, from the records of the control stream.
        rights: Rights, from the records of the control stream.
        edits: Settings edits, from the records of the control stream.
        peers: Client of other entry instances.
        verifier: Authenticates messages of other entry instances.
        membership_agent: Joins, claims and renews rights; set once the ports
            are bound.
    """

    settings: schema.Instance
    clock: clock.Clock
    random: random.Random
    metrics: metrics.Metrics
    latencies: histograms.LatencyRecorder
    platform: http.Client
    log: log.Log
    workers: workers.WorkerClient
    directory: instances.Directory
    view: view.View
    budget: budget.AppendBudget
    committer: committer.Committer
    members: members.Members
    rights: rights.Rights
    edits: edits.SettingsState
    peers: peers_client.PeerClient
    verifier: signing.Verifier
    membership_agent: agents.MembershipAgent | None = None

    @property
    def tree(self) -> tree.Tree:
        """The settings in force."""
        return self.edits.tree

    def log_reachable(self) -> bool:
        """Return whether the view is fresh and appends are confirmed in time.

        An append in flight alone does not count as a failure: the renewals of
        rights keep one in flight for much of the time.
        """
        now = self.clock.monotonic()
        return (
            self.view.age(now) < MAX_VIEW_AGE_S
            and self.committer.unconfirmed_s(now) < MAX_UNCONFIRMED_S
        )

    def resources(self) -> dict[str, str]:
        """Return the data centre of each resource in the settings tree."""
        data_centre_by_resource = {}
        for name in self.tree.names("data-centre"):
            data_centre_by_resource[f"workers/{name}"] = name
            for group in range(GROUPS_PER_DATA_CENTRE):
                data_centre_by_resource[f"executors/{name}/{group}"] = name
        return data_centre_by_resource

    def stream_writer(self, stream: str) -> committer.StreamWriter:
        """Return a writer of another stream within the same append budget."""
        return committer.StreamWriter(
            self.log, stream, self.clock, self.random, self.budget
        )

    def make_follower(
        self, stream: str, target: view.View, restart: follower.Restart
    ) -> follower.Follower:
        """Return a follower that applies the records of a stream to a view."""
        return follower.Follower(
            self.log, stream, target, self.clock, self.random, restart
        )


@contextlib.contextmanager
def open_core(settings: schema.Instance) -> Iterator[Core]:
    """Build the core; close its connections when the block ends."""
    clock_ = clock.Clock()
    random_ = random.Random(settings.id)
    registry_ = registry.Registry()
    view_ = view.View(registry_, lambda resource, writer, epoch: False)
    members_ = members.Members()
    members_.register(view_, registry_)
    rights_ = rights.Rights(members_)
    rights_.register(view_, registry_)
    edits_ = edits.register(view_, registry_)
    platform = http.Client(base_url=settings.platform_url, clock=clock_)
    log_ = log.Log(client=platform)
    budget_ = budget.AppendBudget(clock_, settings.appends_per_s)

    def keys() -> tuple[str, ...]:
        return tuple(settings.peer_keys)

    def address_of(member: str) -> str | None:
        known = members_.by_id.get(member)
        return known.peer_address if known else None

    scheme = "https" if settings.peer_tls else "http"
    ca_file = settings.peer_tls.client_ca or None if settings.peer_tls else None
    signer = signing.Signer(settings.id, keys, clock_)
    core = Core(
        settings,
        clock_,
        random_,
        metrics.Metrics(),
        histograms.LatencyRecorder(settings.id, clock_.wall),
        platform,
        log_,
        workers.WorkerClient(client=platform),
        instances.Directory(fetch=instances.make_http_fetch(platform), clock=clock_),
        view_,
        budget_,
        committer.Committer(
            log_, CONTROL_STREAM, view_, settings.id, clock_, random_, budget_
        ),
        members_,
        rights_,
        edits_,
        peers_client.PeerClient(signer, address_of, scheme, ca_file),
        signing.Verifier(settings.id, keys, clock_),
    )
    try:
        yield core
    finally:
        core.peers.close()
        platform.close()


def attach_membership_agent(
    core: Core,
    *,
    caller_port: int,
    peer_port: int,
    hand_over: Callable[[str], Awaitable[None]],
    on_removed: Callable[[], None],
) -> agents.MembershipAgent:
    """Build the membership agent and set it on the core.

    The agent announces the addresses of this instance, so both ports must be
    bound before.

    Args:
        core: Core of the instance.
        caller_port: Bound port for callers.
        peer_port: Bound port for peers.
        hand_over: Finishes the work under a right before the right is
            released; gets the resource.
        on_removed: Called when other members have removed this instance.
    """
    settings = core.settings

    def is_gone(member: members.Member) -> bool:
        fresh = core.directory.age(core.clock.monotonic()) < MAX_VIEW_AGE_S
        entry_ids = {each.id for each in core.directory.with_role("entry")}
        # A list without entry instances is no evidence that a member is gone.
        return fresh and bool(entry_ids) and member.id not in entry_ids

    core.membership_agent = agents.MembershipAgent(
        core.committer,
        core.view,
        core.members,
        core.rights,
        core.peers,
        core.clock,
        core.random,
        messages.Join(
            settings.data_centre,
            f"{settings.host}:{peer_port}",
            f"{settings.host}:{caller_port}",
        ),
        core.resources,
        hand_over,
        is_gone,
        on_removed,
    )
    core.peers.on_gone = core.membership_agent.report_gone
    return core.membership_agent


def check_ready(core: Core) -> None:
    """Check that this instance can serve callers.

    Raises:
        ViewStale: The view is incomplete or too old, or contains no settings.
    """
    if core.view.age(core.clock.monotonic()) >= MAX_VIEW_AGE_S:
        raise errors.ViewStale("the view of the control stream is not complete yet")
    if core.tree.version == 0 and len(core.tree.node_by_path) <= 1:
        raise errors.ViewStale("no settings have been published yet")
