"""Defines the keys, types, defaults and bounds of all settings.

They apply to nodes of the settings tree and to the file of an instance.
"""

import dataclasses
import functools
from typing import Any, get_type_hints


@dataclasses.dataclass(slots=True)
class Service:
    """A desk service.

    Args:
        slots: Concurrent requests per executor.
        connections: Connections that an executor accepts from all instances.
        timeout_ms: Default deadline of a request that sets none.
        max_run_s: Maximum run time of a request, after which backend servers
            end it.
        idempotent: Whether requests are idempotent, and so may be re-sent,
            unless they say otherwise.
        queue_limit: Maximum number of requests waiting at an entry instance.
        max_body_bytes: Maximum size of a request body.
        executor_cores: CPU cores reserved on the worker of an executor.
        executor_memory_gb: Memory reserved on the worker of an executor.
        objective_ms: Latency that the service-level objective requires.
        objective_share: Share of requests that must meet it, 0 to 1.
    """

    slots: int = 8
    connections: int = 64
    timeout_ms: int = 2000
    max_run_s: float = 2.0
    idempotent: bool = False
    queue_limit: int = 200
    max_body_bytes: int = 262_144
    executor_cores: float = 16.0
    executor_memory_gb: float = 32.0
    objective_ms: int = 500
    objective_share: float = 0.99


@dataclasses.dataclass(slots=True)
class Team:
    """A team with quotas for batch work; -1 means no quota.

    Args:
        quota_cores: CPU cores that the team's running tasks may use.
        quota_memory_gb: Memory that the team's running tasks may use.
        quota_accelerators: Accelerators that the team's running tasks may
            use.
        borrow: Whether the team may use idle quota of other teams.
        weight: Weight in the fair sharing of idle quota.
    """

    quota_cores: float = -1.0
    quota_memory_gb: float = -1.0
    quota_accelerators: float = -1.0
    borrow: bool = True
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class DataCentre:
    """A data centre.

    Args:
        state: ``in`` when in service, ``out`` when taken out of service.
        region: Region of the data centre.
        one_way_ms: One-way delay to the other data centres of the region.
        client_one_way_ms: One-way delay to callers.
        link_cost: Relative cost of a message that leaves the data centre.
    """

    state: str = "in"
    region: str = ""
    one_way_ms: float = 3.0
    client_one_way_ms: float = 1.0
    link_cost: float = 1.0


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller of the system.

    Args:
        key_sha256: Hex SHA-256 of each valid key; several during a rotation.
        team: Team whose quota the caller's jobs use.
        services: Desk services that the caller may use; empty for all.
        requests_per_s: Rate limit; 0 for none.
    """

    key_sha256: list[str] = dataclasses.field(default_factory=list)
    team: str = ""
    services: list[str] = dataclasses.field(default_factory=list)
    requests_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Operator:
    """An operator.

    Args:
        key_sha256: Hex SHA-256 of each valid key.
        roles: Any of ``read``, ``edit``, ``drain``.
    """

    key_sha256: list[str] = dataclasses.field(default_factory=list)
    roles: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Work:
    """A watcher or a batch job that operators configure in the tree.

    Args:
        team: Team whose quota it uses.
        work_class: Class of work for which resource usage and interference
            are learned.
        priority: ``urgent``, ``normal`` or ``low``.
        tasks: Number of tasks of a job, or of replicas of a watcher.
        cores: CPU cores of each task.
        memory_gb: Memory of each task.
        accelerators: Accelerators of each task.
        run_s: Declared run time of a task; ignored for watchers.
        checkpoint_s: Seconds between checkpoints; 0 for none.
    """

    team: str = ""
    work_class: str = "default"
    priority: str = "normal"
    tasks: int = 1
    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_s: float = 60.0
    checkpoint_s: float = 10.0


TYPE_BY_KIND: dict[str, type] = {
    "service": Service,
    "team": Team,
    "data-centre": DataCentre,
    "caller": Caller,
    "operator": Operator,
    "job": Work,
    "watcher": Work,
}
"""Class of each kind of node; a ``group`` may set any key of these."""


@dataclasses.dataclass(slots=True)
class Tls:
    """TLS of a listening port; files are reloaded when they change.

    Args:
        certificate: PEM file with the certificate and its chain.
        key: PEM file with the private key.
        client_ca: PEM file of the certificate authority that must have signed
            client certificates; empty if none are required.
    """

    certificate: str
    key: str
    client_ca: str = ""


@dataclasses.dataclass(slots=True)
class Limits:
    """Resource limits of an entry instance.

    Args:
        header_bytes: Maximum size of a header block.
        header_timeout_s: Time for a caller to send all headers.
        body_timeout_s: Time for a caller to send its body.
        connections: Maximum number of connections from callers, at most half
            of the descriptors that the process may open; above it, idle ones
            are closed first.
        request_bytes: Memory for requests from callers that are being
            received or answered.
        outage_bytes: Memory for account entries that are not in the log, as
            during an outage of the log.
        answer_bytes: Memory for cached answers that callers may fetch later.
    """

    header_bytes: int = 16_384
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    connections: int = 2000
    request_bytes: int = 67_108_864
    outage_bytes: int = 67_108_864
    answer_bytes: int = 33_554_432


@dataclasses.dataclass(slots=True)
class Instance:
    """Settings file of one entry instance.

    Args:
        id: Unique id of the process; a restarted instance gets a new id.
        data_centre: Data centre of this instance.
        host: IP address to listen on.
        caller_port: Port for callers and operators.
        peer_port: Port for other entry instances.
        platform_url: Base URL of the platform.
        peer_keys: Keys shared by the entry instances; the first one signs.
        stop_lag_s: Delay after which load balancer and instance list reflect
            a planned stop.
        log_level: Lowest level of events that are logged.
        appends_per_s: Append budget of this instance.
        log_retention_s: Retention of the platform's log.
        tls: TLS of the caller port.
        peer_tls: TLS of the peer port.
        limits: Resource limits.
    """

    id: str
    data_centre: str
    platform_url: str
    peer_keys: list[str]
    host: str = "127.0.0.1"
    caller_port: int = 8080
    peer_port: int = 8081
    stop_lag_s: float = 2.0
    log_level: str = "INFO"
    appends_per_s: float = 20.0
    log_retention_s: float = 86_400.0
    tls: Tls | None = None
    peer_tls: Tls | None = None
    limits: Limits = dataclasses.field(default_factory=Limits)


RANGE_BY_KEY: dict[str, tuple[float, float]] = {
    "slots": (1, 10_000),
    "connections": (1, 100_000),
    "timeout_ms": (1, 600_000),
    "max_run_s": (0.001, 600),
    "queue_limit": (0, 1_000_000),
    "max_body_bytes": (0, 67_108_864),
    "executor_cores": (0, 4096),
    "executor_memory_gb": (0, 65_536),
    "objective_ms": (1, 600_000),
    "objective_share": (0, 1),
    "quota_cores": (-1, 10_000_000),
    "quota_memory_gb": (-1, 100_000_000),
    "quota_accelerators": (-1, 1_000_000),
    "weight": (0, 1_000_000),
    "one_way_ms": (0, 10_000),
    "client_one_way_ms": (0, 10_000),
    "link_cost": (0, 1_000_000),
    "requests_per_s": (0, 1_000_000),
    "tasks": (1, 100_000),
    "cores": (0, 4096),
    "memory_gb": (0, 65_536),
    "accelerators": (0, 1024),
    "run_s": (0, 31_536_000),
    "checkpoint_s": (0, 86_400),
    "caller_port": (0, 65_535),
    "peer_port": (0, 65_535),
    "stop_lag_s": (0, 600),
    "appends_per_s": (0.1, 1000),
    "log_retention_s": (60, 31_536_000),
    "header_bytes": (256, 1_048_576),
    "header_timeout_s": (0.1, 600),
    "body_timeout_s": (0.1, 600),
    "request_bytes": (1_048_576, 17_179_869_184),
    "outage_bytes": (1024, 17_179_869_184),
    "answer_bytes": (0, 17_179_869_184),
}
"""Minimum and maximum value of a key, inclusive; the same in all classes."""

CHOICES_BY_KEY: dict[str, tuple[str, ...]] = {
    "state": ("in", "out"),
    "priority": ("urgent", "normal", "low"),
    "roles": ("read", "edit", "drain"),
    "log_level": ("DEBUG", "INFO", "WARNING", "ERROR"),
}
"""Allowed values of a key, or of each item if its value is a list."""


def _types_by_key() -> dict[str, Any]:
    return {
        key: hint
        for settings_type in TYPE_BY_KIND.values()
        for key, hint in get_type_hints(settings_type).items()
    }


TYPE_BY_KEY: dict[str, Any] = _types_by_key()
"""Type of each key of the tree; a key has the same type in all kinds."""


@functools.cache
def keys_of(kind: str) -> frozenset[str]:
    """Return the keys that a node of a kind may set.

    >>> "slots" in keys_of("service"), "slots" in keys_of("team")
    (True, False)
    """
    if kind == "group":
        return frozenset(TYPE_BY_KEY)
    return frozenset(field.name for field in dataclasses.fields(TYPE_BY_KIND[kind]))


@functools.cache
def defaults_of(kind: str) -> dict[str, Any]:
    """Return the default of each key of a kind; callers must not modify it."""
    return dataclasses.asdict(TYPE_BY_KIND[kind]())
