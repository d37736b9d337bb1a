import asyncio
import json
import logging
import re
import sys

from tornado.testing import AsyncHTTPTestCase, gen_test

from basilhold.observability import (
    Health,
    LoopLagSampler,
    Metric,
    MetricKind,
    Metrics,
    MetricSource,
    ReadinessCheck,
    make_status_pages,
    metric,
    status_application,
)
from basilhold.observability.log_setup import LineFormatter
from basilhold.testing import VirtualTimeTestCase


class ConfigCheck(ReadinessCheck):
    name = "config"

    def __init__(self):
        self.problem_or_error = "no confirmed configuration"

    def problem(self):
        if isinstance(self.problem_or_error, Exception):
            raise self.problem_or_error
        return self.problem_or_error


class ShardMetrics(MetricSource):
    def collect(self, metrics):
        metrics.set(metric("basilhold_shard_owned"), 1, zone="oslo-a")


class StatusPagesTest(AsyncHTTPTestCase):
    """Guards the endpoints that load balancers, Prometheus and operators use."""

    def get_app(self):
        self.check, self.health = ConfigCheck(), Health("gateway@entry-1")
        self.health.add_check(self.check)
        self.pages = make_status_pages("gateway@entry-1", 1 << 20, ())
        self.pages.health = self.health
        self.metrics = self.pages.metrics
        return status_application(self.pages)

    def fetch_readiness(self):
        response = self.fetch("/readyz")
        return response.code, json.loads(response.body)["reasons"]

    def test_readiness_includes_reasons(self):
        self.assertEqual(
            self.fetch_readiness(), (503, {"config": "no confirmed configuration"})
        )
        self.assertEqual(self.fetch("/healthz").code, 200)
        self.check.problem_or_error = ""
        self.assertEqual(self.fetch_readiness(), (200, {}))
        self.health.draining = True
        self.assertEqual(self.fetch_readiness()[0], 503)
        self.health.draining = False
        self.check.problem_or_error = RuntimeError("x")
        self.assertIn("RuntimeError", self.fetch_readiness()[1]["config"])

    def test_violated_invariant_fails_liveness_and_readiness(self):
        self.check.problem_or_error = ""
        self.health.fatal = "worker w exceeds its capacity"
        self.assertEqual(self.fetch_readiness()[0], 503)
        response = self.fetch("/healthz")
        self.assertEqual(response.code, 503)
        self.assertIn(b"exceeds its capacity", response.body)

    def test_metrics_include_counters_sources_and_the_process(self):
        requests = metric("basilhold_requests_total")
        for _ in range(3):
            self.metrics.add(requests, class_name="quote", outcome="ran")
        self.metrics.observe(
            metric("basilhold_request_wait_ratio"), 0.3, class_name="quote"
        )
        self.metrics.add_source(ShardMetrics())
        text = self.fetch("/metrics").body.decode()
        for line in (
            'basilhold_requests_total{class_name="quote",outcome="ran"} 3',
            'basilhold_request_wait_ratio_bucket{class_name="quote",le="0.5"} 1',
            'basilhold_shard_owned{zone="oslo-a"} 1',
            "basilhold_ready 0",
        ):
            self.assertIn(line, text)
        resident = re.search(r"^basilhold_resident_bytes (\S+)", text, re.MULTILINE)
        self.assertGreater(float(resident[1]), 1 << 20)

    def test_number_of_series_is_limited(self):
        declared = Metric("basilhold_x_total", MetricKind.COUNTER, "x", ("a",))
        metrics = Metrics([declared], series_max=10)
        for n in range(100):
            metrics.add(declared, a=str(n))
        text = metrics.render()[0].decode()
        self.assertEqual(text.count("basilhold_x_total{"), 10)
        self.assertIn('series_dropped_total{metric="basilhold_x_total"} 90', text)
        with self.assertRaises(ValueError):
            metrics.add(declared, b="1")

    @gen_test
    async def test_only_one_dump_runs_at_a_time(self):
        entered, release = asyncio.Event(), asyncio.Event()

        async def dump():
            entered.set()
            await release.wait()
            return b"{}"

        self.pages.state.dump = dump
        first = asyncio.ensure_future(self.http_client.fetch(self.get_url("/state")))
        await entered.wait()
        second = await self.http_client.fetch(self.get_url("/state"), raise_error=False)
        self.assertEqual(second.code, 503)
        release.set()
        self.assertEqual((await first).body, b"{}")
        self.assertFalse(self.pages.dump_running)

    def test_log_records_are_formatted_as_one_line(self):
        try:
            raise ValueError("a\nBH4000 started")
        except ValueError:
            record = logging.makeLogRecord(
                {"msg": "x\r\ny\x1b", "levelname": "ERROR", "exc_info": sys.exc_info()}
            )
        line = LineFormatter("gateway@entry-1").format(record)
        self.assertTrue(line.isprintable())
        self.assertRegex(line, r"^\d{4}-.*Z ERROR gateway@entry-1 x\\r\\ny\\x1b")
        self.assertIn(r"a\nBH4000 started", line)


class LoopLagTest(VirtualTimeTestCase):
    """Guards against reported lag of an event loop that is not delayed."""

    async def test_undelayed_loop_has_no_lag(self):
        pages = make_status_pages("p", 1000, ())
        async with LoopLagSampler(pages.metrics, metric("basilhold_loop_lag_seconds")):
            await asyncio.sleep(10.5)
        text = pages.metrics.render()[0].decode()
        self.assertIn('basilhold_loop_lag_seconds_bucket{le="0.001"} 10', text)
