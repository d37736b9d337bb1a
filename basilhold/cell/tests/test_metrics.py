import asyncio
import re
from collections import Counter

from basilhold.cell import Cell
from basilhold.cell.tests.test_cell import (
    RecordingSink,
    example_documents,
    example_shape,
)
from basilhold.core import ClassName, Clock, OfficeName, Resources, TeamName
from basilhold.observability import (
    METRICS,
    MetricKind,
    make_status_pages,
)
from basilhold.operators_api import AttestBody, JobSubmission, OperatorIdentity
from basilhold.programs.node_metrics import NodeMetrics
from basilhold.requests import CallerRequest
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

SET_BY_DAEMONS = {
    "basilhold_clock_adjustment_seconds",
    "basilhold_loop_lag_seconds",
    "basilhold_ready",
}
"""Set outside of the nodes; basilhold/programs/tests/test_daemons.py checks them."""

SET_ON_THE_USERS_PLATFORM = {
    "basilhold_callers_rejected_total",
    "basilhold_clients_connections",
    "basilhold_clients_held_bytes",
    "basilhold_clients_limited_total",
    "basilhold_configuration_age_seconds",
    "basilhold_log_lines_dropped_total",
    "basilhold_outgoing_connections",
    "basilhold_outgoing_connections_opened_total",
    "basilhold_outgoing_connections_reset_total",
    "basilhold_submission_group_writes_total",
    "basilhold_submission_groups_total",
    "basilhold_submissions_refused_total",
    "basilhold_tenant_due_share",
    "basilhold_tenant_quota_used_ratio",
    "basilhold_tenant_share",
    "basilhold_tenant_steps_behind",
    "basilhold_tenants_waiting_for_quota",
    "basilhold_worker_polls_refused_total",
    "basilhold_worker_polls_waiting",
    "basilhold_workflow_advice_seconds",
    "basilhold_workflow_commit_seconds",
    "basilhold_workflow_overdue_runs_total",
    "basilhold_workflow_run_time_ratio",
    "basilhold_workflow_runs_total",
    "basilhold_workflow_seconds",
    "basilhold_workflow_start_wait_seconds",
}
"""The tests of basilhold/workflows and basilhold/platform check them."""

EVERY_DAEMON = {
    "basilhold_config_current",
    "basilhold_config_version",
    "basilhold_events_total",
    "basilhold_processor_seconds_total",
    "basilhold_resident_bytes",
    "basilhold_sent_bytes_total",
    "basilhold_store_budget_per_second",
    "basilhold_store_operations_total",
    "basilhold_store_seconds",
}
GATEWAY = {
    "basilhold_bad_input_total",
    "basilhold_circuits_open",
    "basilhold_once_records",
    "basilhold_request_wait_ratio",
    "basilhold_requests_in_flight",
    "basilhold_requests_queued",
    "basilhold_requests_rejected_total",
    "basilhold_requests_total",
    "basilhold_retries_total",
    "basilhold_slot_tokens",
    "basilhold_vm_list_suspect",
}
SCHEDULER = {
    "basilhold_commit_failures_total",
    "basilhold_commit_seconds",
    "basilhold_lease_horizon_seconds",
    "basilhold_packing_ratio",
    "basilhold_placements_total",
    "basilhold_shard_owned",
    "basilhold_slot_tokens",
    "basilhold_takeovers_total",
    "basilhold_task_wait_ratio",
    "basilhold_tasks",
    "basilhold_tasks_unknown_total",
    "basilhold_vm_list_suspect",
    "basilhold_workers",
}
RELAY = {"basilhold_config_spread_seconds", "basilhold_relay_active"}


def sample(text, name):
    """Return the sums of a metric over all daemons, by labels."""
    pattern = re.compile(rf"^{name}((?:\{{.*\}})?) (\S+)$", re.MULTILINE)
    sums = Counter()
    for labels, value in pattern.findall(text):
        sums[labels] += float(value)
    return sums


def exported(text):
    """Return the names of the metrics with at least one value."""
    names = set()
    for entry in METRICS:
        suffix = "_count" if entry.kind is MetricKind.HISTOGRAM else ""
        if sample(text, entry.name + suffix):
            names.add(entry.name)
    return names


class MetricsTest(VirtualTimeTestCase):
    """Guards against metrics that are declared but never set."""

    async def start(self):
        self.cell = Cell(example_shape("trakia"), Clock(VIRTUAL_EPOCH_UNIX_MS))
        self.documents = list(example_documents("trakia"))
        for document in self.documents:
            await self.cell.set_document(document)
        await self.cell.__aenter__()
        await self.cell.wait_ready()
        await asyncio.sleep(5)
        self.first = next(iter(self.cell.entries.values()))
        self.pages = {
            program: [self.make_pages(n, program) for n in self.cell.entries.values()]
            for program in ("gateway", "scheduler", "relay")
        }

    async def stop(self):
        self.cell.check()
        await self.cell.__aexit__(None, None, None)

    def make_pages(self, nodes, program):
        pages = make_status_pages(program, 100_000, ())
        for source in getattr(nodes, program).metric_sources():
            pages.metrics.add_source(source)
        budget = nodes.budgets[program]
        pages.metrics.add_source(NodeMetrics(nodes.traffic, nodes.operations, budget))
        return pages

    def render(self, program):
        """Return the metrics of a program's daemons on all entry VMs."""
        pages = self.pages[program]
        return "\n".join(page.metrics.render()[0].decode() for page in pages)

    async def request(self, class_name="thrace.quote"):
        request = CallerRequest(
            class_name=ClassName(class_name),
            team=TeamName("thrace.tramway-sales"),
            method="GET",
            path="/quote",
            headers=(),
            body=b"",
        )
        return await self.first.gateway.service.handle(request, RecordingSink())

    async def submit(self, class_name, count):
        operator = OperatorIdentity("dispatch", OfficeName("thrace"))
        submission = JobSubmission(
            TeamName("thrace.tramway-sales"),
            ClassName(class_name),
            Resources(1000, 1 << 30, 0),
            count,
        )
        accepted = await self.first.operators.submit(operator, class_name, submission)
        self.assertTrue(accepted.is_ok(), accepted)
        await asyncio.sleep(5)

    async def lose_busy_worker(self):
        """Destroy a worker that runs a task, and attest it."""
        worker = next(w for w in self.cell.agents.workers.values() if w.running_tasks())
        del self.cell.agents.workers[worker.worker_id]
        lost = await self.first.operators.attest_lost(
            OperatorIdentity("dispatch", OfficeName("thrace")),
            worker.worker_id,
            AttestBody("destroyed by the test"),
        )
        self.assertTrue(lost.is_ok(), lost)
        await asyncio.sleep(10)

    async def test_every_daemon_sets_its_metrics(self):
        await self.start()
        for program in self.pages:
            self.render(program)
        await self.cell.set_document(self.documents[0])
        await asyncio.sleep(10)
        await self.request()
        await self.request("thrace.no-such-class")
        await self.submit("thrace.nightly-billing", 1)
        await self.lose_busy_worker()
        self.first.gateway.service.stopping = True
        await self.request()
        self.first.gateway.service.stopping = False
        names = {}
        for program in self.pages:
            text = self.render(program)
            names[program] = exported(text)
            getattr(self, f"check_{program}")(text)
            # The daemons of a VM share one counter here, which a reading empties.
            await asyncio.sleep(5)
        self.assertEqual(names["gateway"], EVERY_DAEMON | GATEWAY)
        self.assertEqual(names["scheduler"], EVERY_DAEMON | SCHEDULER)
        self.assertEqual(names["relay"], EVERY_DAEMON | RELAY)
        declared = {entry.name for entry in METRICS}
        elsewhere = SET_BY_DAEMONS | SET_ON_THE_USERS_PLATFORM
        self.assertEqual(set().union(*names.values()) | elsewhere, declared)
        await self.stop()

    def check_gateway(self, text):
        rejected = sample(text, "basilhold_requests_rejected_total")
        self.assertEqual(sum(rejected.values()), 1, rejected)

    def check_scheduler(self, text):
        unknown = sample(text, "basilhold_tasks_unknown_total")
        self.assertEqual(unknown, {'{class_name="thrace.nightly-billing"}': 1})

    def check_relay(self, text):
        """The change was measured once, by the relay that reads the store."""
        measured = sample(text, "basilhold_config_spread_seconds_count")
        in_bound = sample(text, "basilhold_config_spread_seconds_bucket")
        self.assertEqual(sum(measured.values()), 1, measured)
        # G8: in force everywhere within 4 s.
        self.assertEqual(in_bound['{le="4.0"}'], 1, in_bound)

    async def test_values_follow_the_shards(self):
        await self.start()
        await self.submit("thrace.stock-forecast", 5)
        text = self.render("scheduler")
        owned = sample(text, "basilhold_shard_owned")
        self.assertEqual(set(owned.values()), {1.0}, owned)
        placed = sum(sample(text, "basilhold_placements_total").values())
        waits = sum(sample(text, "basilhold_task_wait_ratio_count").values())
        self.assertEqual((placed, waits), (5, 5))
        tasks = sample(text, "basilhold_tasks")
        running = [value for labels, value in tasks.items() if "running" in labels]
        self.assertEqual(sum(running), 5)
        workers = sample(text, "basilhold_workers")
        live = [value for labels, value in workers.items() if "live" in labels]
        self.assertEqual(sum(live), len(self.cell.agents.workers))
        packing = sample(text, "basilhold_packing_ratio").values()
        self.assertGreater(max(packing), 0)
        self.assertLessEqual(max(packing), 1)
        active = sample(self.render("relay"), "basilhold_relay_active")
        self.assertEqual(sum(active.values()), len(self.cell.shape.regions))
        await self.stop()

    async def test_takeover_is_counted_and_the_loss_shown(self):
        await self.start()
        owner, nodes = next(
            (program_pages, nodes)
            for program_pages, nodes in zip(
                self.pages["scheduler"], self.cell.entries.values(), strict=True
            )
            if nodes.scheduler.scheduler.owned_zones()
        )
        zone = nodes.scheduler.scheduler.owned_zones()[0]
        owner.metrics.render()
        await nodes.scheduler.drain()
        await asyncio.sleep(5)
        text = owner.metrics.render()[0].decode()
        label = f'{{zone="{zone}"}}'
        self.assertEqual(sample(text, "basilhold_shard_owned")[label], 0)
        takeovers = sum(
            sample(page.metrics.render()[0].decode(), "basilhold_takeovers_total").get(
                label, 0
            )
            for page in self.pages["scheduler"]
        )
        self.assertEqual(takeovers, 2)
        horizon = sample(text, "basilhold_lease_horizon_seconds")[label]
        self.assertEqual(horizon, float("inf"))
        await self.stop()
