"""Fakes and builders shared by the tests of request processing."""

import asyncio
import contextlib
import random

from expression import Error, Ok

from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    Epoch,
    ProcessId,
    RegionName,
    RestartPolicy,
    ServiceName,
    TeamName,
    UpstreamId,
    VmId,
    WorkClass,
    ZoneName,
)
from basilhold.gateway import (
    CallerSink,
    OnceRegistry,
    RequestCounters,
    RequestService,
    ServiceParts,
)
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests import (
    CallerRequest,
    ClassDirectory,
    GatewayIdentity,
    HeldToken,
    PeerError,
    RequestPeers,
    Router,
    SlotGrant,
    SlotHolder,
    SlotToken,
)
from basilhold.standins import (
    MemoryObjectStore,
    MemoryTable,
    MemoryUpstream,
    MemoryUpstreamClient,
    MemoryUpstreams,
)
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS

SERVICE = ServiceName("order-desk")
ZONE = ZoneName("plovdiv")
REGION = RegionName("thrace")
LEASE_EXPIRY_UNIX_MS = VIRTUAL_EPOCH_UNIX_MS + 75 * 60_000
CLASSES = {
    "quote": WorkClass(
        ClassName("quote"), ClassKind.REQUEST, 200, service=SERVICE, timeout_ms=5000
    ),
    "order": WorkClass(
        ClassName("order"),
        ClassKind.REQUEST,
        500,
        restart=RestartPolicy.FORBIDDEN,
        service=SERVICE,
        timeout_ms=5000,
    ),
}


class FakeClasses(ClassDirectory):
    """Directory of a fixed set of classes."""

    def __init__(self, classes=CLASSES):
        self.classes = classes

    def find(self, name):
        return self.classes.get(name)


class FakePeers(RequestPeers):
    """Passes lookups to at-most-once registries of other gateways in the process."""

    def __init__(self):
        self.registries = {}
        self.unreachable = set()

    async def ask(self, holder, key, wait_ms):
        registry = self.registries.get(holder)
        if registry is None or holder in self.unreachable:
            return Error(PeerError("unreachable"))
        return Ok(await registry.wait_for_progress(key, wait_ms))


class RecordingSink(CallerSink):
    """Collects the answer of one request."""

    def __init__(self):
        self.outcome = None
        self.replayed = False
        self.head = None
        self.body = bytearray()

    def set_outcome(self, outcome, replayed):
        self.outcome = outcome
        self.replayed = replayed

    async def start(self, head):
        assert self.head is None, "start() was called twice for one answer"
        self.head = head

    async def write(self, data):
        self.body += data


def vm_record(upstream_id, state=VmState.LIVE, zone=ZONE, region=REGION):
    """Return the VM list entry of an upstream with 8 slots."""
    return VmRecord(
        VmId(upstream_id),
        VmKind.UPSTREAM,
        state,
        region,
        zone,
        "rack",
        "127.0.0.1",
        8000,
        service=SERVICE,
        slots=8,
        connections=64,
    )


def make_request(class_name="quote", request_id="r1", key=None, **fields):
    """Return a request; a key is also sent in the header ``Idempotency-Key``."""
    headers = (("X-Request-Id", request_id),)
    if key is not None:
        headers += (("Idempotency-Key", key),)
    return CallerRequest(
        ClassName(class_name),
        TeamName(fields.pop("team", "desk")),
        "POST",
        "/quotes",
        headers,
        fields.pop("body", b"{}"),
        idempotency_key=key,
        **fields,
    )


def grant_all(holder, upstream_ids, zone=ZONE, slots=8):
    """Lend all slots of the upstreams to a gateway for 75 minutes of virtual time."""
    tokens = [SlotToken(UpstreamId(u), n) for u in upstream_ids for n in range(slots)]
    report = holder.next_report(zone)
    held = tuple(HeldToken(token, LEASE_EXPIRY_UNIX_MS) for token in tokens)
    holder.apply(zone, SlotGrant(report.number, Epoch(1), held))


class Cell:
    """Store, upstreams and gateways of one test, all in memory."""

    def __init__(self, upstream_count=2, seed=0):
        self.clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.peers = FakePeers()
        self.upstreams = MemoryUpstreams(seed)
        self.seed = seed
        self.ids = [UpstreamId(f"up-{n}") for n in range(upstream_count)]
        for upstream_id in self.ids:
            self.upstreams.add(MemoryUpstream(upstream_id, ZONE, REGION))

    @contextlib.asynccontextmanager
    async def gateway(self, name="gw-0", grant=True, clock=None, limits=None):
        """Run a gateway; with ``grant`` it holds the slots of all upstreams."""
        rng = random.Random(f"{self.seed}/{name}")
        process_id = ProcessId(name)
        identity = GatewayIdentity(process_id, VmId(name), ZONE, REGION)
        counters = RequestCounters()
        clock = clock or self.clock
        registry = OnceRegistry(
            process_id,
            clock,
            self.table,
            self.objects,
            self.peers,
            rng,
            counters,
            limits,
        )
        self.peers.registries[process_id] = registry
        holder = SlotHolder(identity)
        parts = ServiceParts(
            identity,
            clock,
            FakeClasses(),
            Router(ZONE, REGION, rng),
            holder,
            MemoryUpstreamClient(self.upstreams, ZONE, REGION),
            registry,
            rng,
            counters,
        )
        async with registry:
            service = RequestService(parts)
            service.parts = parts
            service.update_upstreams(vm_record(u) for u in self.ids)
            if grant:
                grant_all(holder, self.ids)
            yield service


async def call(service, request=None, **fields):
    """Send a request and return its end and the sink with the answer."""
    sink = RecordingSink()
    end = await service.handle(request or make_request(**fields), sink)
    return end, sink


async def call_later(delay_s, service, **fields):
    """Send a request after a delay in seconds."""
    await asyncio.sleep(delay_s)
    return await call(service, **fields)
