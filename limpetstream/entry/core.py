"""What all slices of an entry instance share: log, view, rights, settings."""

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
# Both limits of section 5 of the design.
MAX_VIEW_AGE_S = 1.0
# An append takes tens of milliseconds; as long as a view may be old.
MAX_UNCONFIRMED_S = 1.0
# All instances must agree on it: it decides which group an executor is in.
GROUPS_PER_DATA_CENTRE = 2


@dataclasses.dataclass(slots=True)
class Core:
    """Shared parts of one entry instance.

    Args:
        settings: Settings of this instance.
        clock: Time.
        random: Random numbers.
        metrics: Counters and gauges.
        latencies: Latency slices.
        platform: Client of the platform.
        log: The log.
        workers: The workers.
        directory: The instance list.
        view: View of the control stream.
        budget: Append budget of all streams.
        committer: Appends to the control stream.
        members: Folded members.
        rights: Folded rights.
        edits: Folded settings edits.
        peers: Client of other entry instances.
        verifier: Accepts messages of other entry instances.
        membership_agent: Keeps the rights; set once the ports are known.
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
    edits: edits.Edits
    peers: peers_client.PeerClient
    verifier: signing.Verifier
    membership_agent: agents.MembershipAgent | None = None

    @property
    def tree(self) -> tree.Tree:
        """The settings in force."""
        return self.edits.tree

    def log_reachable(self) -> bool:
        """Return whether the view is fresh and appends work.

        A frame that has just been sent is no failure: the renewals of rights
        alone keep one in flight for a good part of the time.
        """
        now = self.clock.monotonic()
        return (
            self.view.age(now) < MAX_VIEW_AGE_S
            and self.committer.unconfirmed_s(now) < MAX_UNCONFIRMED_S
        )

    def resources(self) -> dict[str, str]:
        """Return the data centre of every resource, from the settings tree."""
        found = {}
        for name in self.tree.names("data-centre"):
            found[f"workers/{name}"] = name
            for group in range(GROUPS_PER_DATA_CENTRE):
                found[f"executors/{name}/{group}"] = name
        return found

    def stream_writer(self, stream: str) -> committer.StreamWriter:
        """Return a writer of another stream within the same budget."""
        return committer.StreamWriter(
            self.log, stream, self.clock, self.random, self.budget
        )

    def make_follower(
        self, stream: str, target: view.View, restart: follower.Restart
    ) -> follower.Follower:
        """Return the reader of one stream."""
        return follower.Follower(
            self.log, stream, target, self.clock, self.random, restart
        )


@contextlib.contextmanager
def open_core(settings: schema.Instance) -> Iterator[Core]:
    """Build the shared parts and close their connections at the end."""
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
        found = members_.by_id.get(member)
        return found.peer_address if found else None

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
    """Build the membership agent once the ports are bound and known.

    Args:
        core: Shared components.
        caller_port: Bound port for callers.
        peer_port: Bound port for peers.
        hand_over: Finishes the work under a right before its release.
        on_removed: Called when the others removed this instance.
    """
    settings = core.settings

    def is_gone(member: members.Member) -> bool:
        fresh = core.directory.age(core.clock.monotonic()) < MAX_VIEW_AGE_S
        listed = {each.id for each in core.directory.with_role("entry")}
        # A list without any entry instance says nothing about them.
        return fresh and bool(listed) and member.id not in listed

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
    """Check that this instance can serve.

    Raises:
        ViewStale: The view is not complete yet, or it holds no settings.
    """
    if core.view.age(core.clock.monotonic()) >= MAX_VIEW_AGE_S:
        raise errors.ViewStale("the view of the log is not complete yet")
    if core.tree.version == 0 and len(core.tree.node_by_path) <= 1:
        raise errors.ViewStale("no settings have been published yet")
