"""Declaration of every setting, with its type, bounds, default and description."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = [
    "Caller",
    "EntryVm",
    "Latency",
    "Limits",
    "LocalCell",
    "Operator",
    "Platform",
    "Region",
    "Service",
    "Settings",
    "Timeouts",
    "Tls",
    "WorkerShape",
    "Zone",
]

OFFICE_CHARACTERS_MAX = 32
"""Longest office name; names of classes and teams start with it."""


def _name(description: str, longest: int = 63) -> Meta:
    return Meta(
        min_length=1,
        max_length=longest,
        pattern="^[a-z0-9]([a-z0-9-]*[a-z0-9])?$",
        description=description,
    )


def _host(description: str) -> Meta:
    return Meta(min_length=1, max_length=253, description=description)


def _port(description: str) -> Meta:
    return Meta(ge=0, le=65_535, description=description)


def _count(description: str, low: int = 1, high: int = 1_000_000) -> Meta:
    return Meta(ge=low, le=high, description=description)


def _duration(description: str, low: int = 1, high: int = 86_400_000) -> Meta:
    return Meta(ge=low, le=high, description=description)


def _size(description: str, high: int = 1 << 50) -> Meta:
    return Meta(ge=1, le=high, description=description)


def _text(description: str) -> Meta:
    return Meta(max_length=4096, description=description)


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables: unknown keys are errors."""


class Region(_Table, kw_only=True):
    """A region of the deployment."""

    name: Annotated[str, _name("Name of the region.")]


class Zone(_Table, kw_only=True):
    """An availability zone."""

    name: Annotated[str, _name("Name of the availability zone.")]
    region: Annotated[str, _name("Region that the zone belongs to.")]


class Latency(_Table, kw_only=True):
    """One-way latencies, which the local cell and benchmarks apply."""

    zone_us: Annotated[
        int, _count("Between two zones of a region, in microseconds.", 0)
    ] = 1_000
    region_us: Annotated[int, _count("Between two regions, in microseconds.", 0)] = (
        30_000
    )
    client_us: Annotated[
        int, _count("Between a client and an entry VM, in microseconds.", 0)
    ] = 1_000
    link_bits_per_second: Annotated[
        int,
        _count("Capacity of the cross-region link each way, in bits/s.", 1, 10**12),
    ] = 15_000_000


class EntryVm(_Table, kw_only=True):
    """An entry VM and the addresses of the processes on it.

    Port 0 lets the operating system choose; it is meant for tests.
    """

    id: Annotated[str, _name("Id of the VM.")]
    zone: Annotated[str, _name("Availability zone of the VM.")]
    host: Annotated[str, _host("IP address that processes of the VM listen on.")]
    caller_port: Annotated[int, _port("Gateway: callers' HTTP port.")]
    operator_port: Annotated[int, _port("Gateway: port of the operators' API.")]
    gateway_port: Annotated[int, _port("Gateway: port for other gateways (gRPC).")]
    scheduler_port: Annotated[int, _port("Scheduler: gRPC port.")]
    relay_port: Annotated[int, _port("Relay: gRPC port.")]
    gateway_status_port: Annotated[
        int, _port("Gateway: `/metrics`, `/state`, `/healthz`, `/readyz`.")
    ]
    scheduler_status_port: Annotated[int, _port("Scheduler: the same pages.")]
    relay_status_port: Annotated[int, _port("Relay: the same pages.")]


class Platform(_Table, kw_only=True):
    """Addresses of the platform's services."""

    table_url: Annotated[str, _text("Base URL of the table service.")]
    objects_url: Annotated[str, _text("Base URL of the object store.")]
    vms_url: Annotated[str, _text("Base URL of the VM list.")]
    agent_scheme: Annotated[
        str,
        Meta(
            pattern="^https?$",
            description="Scheme of worker agents, whose addresses the VM list holds.",
        ),
    ] = "http"


class Tls(_Table, kw_only=True):
    """Key files. Without this table, all addresses must be loopback addresses."""

    certificate_file: Annotated[str, _text("Certificate chain, PEM.")]
    key_file: Annotated[str, _text("Private key, PEM.")]
    ca_file: Annotated[
        str, _text("Certificates that peers' certificates are checked against, PEM.")
    ]


class _Bearer(_Table, kw_only=True):
    """Somebody who shows a token; exactly one of the two token fields is set."""

    token: Annotated[str, _text("The token itself; at least 16 characters.")] | None = (
        None
    )
    token_sha256: (
        Annotated[
            str, _text("SHA-256 of the token, as 64 lower-case hexadecimal digits.")
        ]
        | None
    ) = None


class Operator(_Bearer, kw_only=True):
    """A token that lets its bearer act for an office.

    Exactly one of `token` and `token_sha256` is set.
    """

    name: Annotated[str, _name("Name recorded as author of changes.")]
    office: Annotated[str, _name("Office that the operator speaks for.")]

    def __repr__(self) -> str:
        return f"Operator(name={self.name!r}, office={self.office!r}, token=<hidden>)"


class Caller(_Bearer, kw_only=True):
    """A token that lets its bearer send requests for a team.

    Exactly one of `token` and `token_sha256` is set.
    """

    name: Annotated[str, _name("Name of the caller.")]
    team: Annotated[
        str,
        Meta(
            max_length=127,
            pattern=r"^[a-z0-9-]+\.[a-z0-9-]+$",
            description="Team that the requests count for, with its office's prefix.",
        ),
    ]

    def __repr__(self) -> str:
        return f"Caller(name={self.name!r}, team={self.team!r}, token=<hidden>)"


class Timeouts(_Table, kw_only=True):
    """Time limits."""

    connect_ms: Annotated[int, _duration("Establishing a connection, in ms.")] = 1_000
    store_ms: Annotated[
        int, _duration("A table, object or VM list operation, in ms.")
    ] = 2_000
    agent_ms: Annotated[int, _duration("A call to a worker agent, in ms.")] = 2_000
    peer_ms: Annotated[
        int, _duration("A call to another basilhold process, in ms.")
    ] = 1_000
    operator_ms: Annotated[
        int, _duration("An operator's request, except waits, in ms.")
    ] = 10_000
    drain_grace_ms: Annotated[
        int,
        _duration("From `/readyz` 503 until the gateway stops accepting, in ms.", 0),
    ] = 5_000
    drain_ms: Annotated[
        int, _duration("Longest drain before requests are cut, in ms.")
    ] = 60_000
    once_record_ms: Annotated[
        int, _duration("How long at-most-once records are kept, in ms.")
    ] = 86_400_000


class Limits(_Table, kw_only=True):
    """Bounds on memory, connections and counts."""

    store_connections: Annotated[
        int, _count("Connections to each platform service.", 1, 1_000)
    ] = 8
    agent_connections: Annotated[
        int, _count("Connections to worker agents.", 1, 10_000)
    ] = 64
    request_body_bytes: Annotated[int, _size("A caller's request body, in bytes.")] = (
        8 << 20
    )
    operator_body_bytes: Annotated[
        int, _size("An operator's request body, in bytes.")
    ] = 1 << 20
    state_dump_bytes: Annotated[
        int, _size("A state dump, in bytes; longer lists are cut.", 1 << 30)
    ] = 1 << 20
    queued_requests: Annotated[int, _count("Requests that wait in a gateway.")] = 2_000
    queued_request_bytes: Annotated[
        int, _size("Bodies of requests that wait in a gateway, in bytes.")
    ] = 64 << 20
    once_records: Annotated[
        int, _count("At-most-once records in the store.", 1, 10**9)
    ] = 1_000_000


class Service(_Table, kw_only=True):
    """A service and its upstreams."""

    name: Annotated[str, _name("Name of the service.")]
    office: Annotated[str, _name("Office that runs the service.")]
    upstream_count: Annotated[
        int, _count("Upstreams that the local cell starts.", 0, 100_000)
    ]
    slots: Annotated[int, _count("Requests that an upstream handles at a time.")] = 8
    connections: Annotated[int, _count("Connections that an upstream accepts.")] = 64


class WorkerShape(_Table, kw_only=True):
    """Workers of one size, as the local cell starts them."""

    name: Annotated[str, _name("Prefix of the workers' ids.")]
    count: Annotated[int, _count("Number of workers.", 0, 100_000)]
    cores_milli: Annotated[int, _count("Cores, in thousandths.", 1, 10**7)]
    memory_bytes: Annotated[int, _size("Memory, in bytes.")]
    gpus_milli: Annotated[int, _count("GPUs, in thousandths.", 0, 10**6)] = 0
    workers_per_rack: Annotated[int, _count("Workers in one rack.", 1, 1_000)] = 5


class LocalCell(_Table, kw_only=True):
    """Settings of `basilhold-local`, which runs a whole cell in one process."""

    host: Annotated[str, _host("Loopback address to listen on.")] = "127.0.0.1"
    seed: Annotated[int, _count("Seed of all random choices.", 0, 2**31)] = 1
    caller_port: Annotated[int, _port("Callers' HTTP port.")] = 0
    operator_port: Annotated[int, _port("Port of the operators' API.")] = 0
    status_port: Annotated[int, _port("Metrics, state and health pages.")] = 0


class Settings(_Table, kw_only=True):
    """A deployment. The same file is installed on all of its VMs."""

    cell: Annotated[str, _name("Name of the cell.")]
    vm_id: (
        Annotated[
            str,
            _name("Entry VM that this copy is for; programs' `--vm` takes precedence."),
        ]
        | None
    ) = None
    store_region: Annotated[str, _name("Region of the table service.")]
    clock_error_ms: Annotated[
        int,
        _duration(
            "Largest difference between a machine's clock and true time, in ms.",
            1,
            5_000,
        ),
    ] = 500
    log_level: Annotated[
        str,
        Meta(
            pattern="^(debug|info|warning|error)$",
            description="Lowest level written: `debug`, `info`, `warning`, `error`.",
        ),
    ] = "info"
    offices: Annotated[
        tuple[Annotated[str, _name("", OFFICE_CHARACTERS_MAX)], ...],
        Meta(min_length=1, description="Names of the offices."),
    ]
    regions: Annotated[tuple[Region, ...], Meta(min_length=1, description="Regions.")]
    zones: Annotated[
        tuple[Zone, ...], Meta(min_length=1, description="Availability zones.")
    ]
    latency: Annotated[Latency, Meta(description="Latencies.")] = Latency()
    entry_vms: Annotated[
        tuple[EntryVm, ...], Meta(min_length=1, description="Entry VMs.")
    ]
    platform: Annotated[Platform, Meta(description="The platform's services.")]
    tls: Annotated[Tls | None, Meta(description="Key files.")] = None
    operators: Annotated[
        tuple[Operator, ...], Meta(description="Operators' tokens.")
    ] = ()
    callers: Annotated[tuple[Caller, ...], Meta(description="Callers' tokens.")] = ()
    timeouts: Annotated[Timeouts, Meta(description="Time limits.")] = Timeouts()
    limits: Annotated[Limits, Meta(description="Other bounds.")] = Limits()
    services: Annotated[tuple[Service, ...], Meta(description="Services.")] = ()
    worker_shapes: Annotated[
        tuple[WorkerShape, ...], Meta(description="Sizes of workers.")
    ] = ()
    local: Annotated[LocalCell, Meta(description="The local cell.")] = LocalCell()

    def secrets(self) -> tuple[str, ...]:
        """Return the texts that must not appear in logs or dumps."""
        values = (o.token or o.token_sha256 for o in (*self.operators, *self.callers))
        return tuple(value for value in values if value)
