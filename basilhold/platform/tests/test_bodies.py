import tempfile
import unittest
from pathlib import Path

import msgspec

from basilhold.core import Resources
from basilhold.platform.bodies import decode_configuration, decode_workflow
from basilhold.platform.node import choose_step_order
from basilhold.platform.settings import read_settings
from basilhold.tenants import is_valid_weight
from basilhold.workflows.model import QueuePolicy
from basilhold.workflows.step_order import DeadlineOrder, TenantShareOrder

POLICY = QueuePolicy("q", "desk")

SETTINGS = """
node = "front-1"
ip = "10.1.0.30"
zone = "plovdiv"
port_range = [7380, 7395]
a_new_field = 1
[listen]
front = "10.1.0.30:8149"
ready = "10.1.0.30:8141"
[platform]
address = "10.200.1.7:8142"
[bounds]
hold_max_ms = 6000
"""

NESTED = b"[" * 100_000 + b"]" * 100_000
LARGE_NUMBER = b"9" * 400


class BodiesTest(unittest.TestCase):
    """Guards against input that is decoded wrongly or raises unexpected exceptions."""

    def decode(self, body):
        return decode_workflow("00ff00ff00ff00ff", POLICY, body, 1_000.0)

    def test_step_is_converted_to_internal_units(self):
        body = (
            b'{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256},{"count":2,'
            b'"cpu":2000,"mem_mb":1024,"gpu":1,"after":[0],"gang":true,"fill_count":1}]}'
        )
        first, second = self.decode(body).ok.steps
        self.assertEqual(first.size.memory_bytes, 256 << 20)
        self.assertEqual(second.size.gpus_milli, 1_000)
        self.assertTrue(second.gang)
        self.assertEqual(second.reserved().cores_milli, 0)
        self.assertEqual(second.after, (0,))

    def test_invalid_jobs_are_rejected_with_a_reason(self):
        bodies = [
            b"",
            b"[]",
            b'{"steps":[]}',
            b'{"steps":[{"count":0}]}',
            b'{"steps":[{"count":-1}]}',
            b'{"steps":[{"count":1,"cpu":-5}]}',
            b'{"steps":[{"count":1,"after":[0]}]}',
            b'{"steps":[{"count":1,"after":[3]}]}',
            b'{"steps":[{"count":1}],"repeat_count":100000}',
            b'{"steps":[{"count":1}],"spec":"' + b"x" * 4_001 + b'"}',
            b"\xff\xfe",
            b'{"steps":[{"count":1}],"more":' + NESTED + b"}",
            b'{"steps":[{"count":1,"cpu":' + LARGE_NUMBER + b"}]}",
            b'{"steps":[{"count":1,"may_miss":' + LARGE_NUMBER + b"}]}",
            b'{"steps":[{"count":1}],"repeat_count":-' + LARGE_NUMBER + b"}",
        ]
        for body in bodies:
            with self.subTest(body=body[:40]):
                self.assertTrue(self.decode(body).error)

    def test_job_larger_than_a_row_is_rejected(self):
        # The store rejects rows above its limit, and such a write was retried forever.
        step = b'{"count":1,"image":"' + b"x" * 1_000 + b'"}'
        steps = b",".join([step] * 60)
        self.assertTrue(self.decode(b'{"steps":[' + steps + b"]}").error)
        fewer_steps = b",".join([step] * 40)
        self.assertTrue(self.decode(b'{"steps":[' + fewer_steps + b"]}").is_ok())

    def test_configuration_is_decoded(self):
        value = (
            b'{"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/",'
            b'"service":"desk","priority":1,"max_attempts":3,"stretch":2.2,"more":[1],'
            b'"target_latency_ms":1200,"advice":{"decide_ms":1,"each_ms":2,"valid_ms":3}}],'
            b'"services":[{"name":"desk"}],"limits":{"max_body_bytes":99}}'
        )
        table = decode_configuration(value)
        policy = table.find("h.example:80", "/a/b").policy
        self.assertEqual((policy.priority, policy.failures_max), (1, 3))
        self.assertEqual(policy.advice.valid_ms, 3)
        self.assertEqual((table.version, table.body_bytes_max), (7, 99))
        with self.assertRaises(msgspec.DecodeError):
            decode_configuration(b'{"version":"x"}')
        self.assertIsNone(table.tenants)

    def test_tenants_are_decoded(self):
        table = decode_configuration(
            b'{"version":7,"routes":[],"services":[],"tenants":[{"name":"north",'
            b'"api_keys":["secret-1","secret-2"],"priority":1,"weight":9,'
            b'"max_count":{"cpu":1500,"mem_mb":2,"gpu":3}},{"name":"south"}]}'
        )
        north = table.tenants.find("secret-2")
        self.assertEqual((north.name, north.weight), ("north", 9))
        self.assertEqual(north.quota, Resources(1_500, 2 << 20, 3_000))
        self.assertEqual(table.tenants.get("south").quota, Resources())
        self.assertEqual(len(table.tenants), 2)

    def test_tenants_with_damaged_weights_or_without_quota_are_decoded(self):
        # Such a version must not keep the corrections beside it from being applied.
        weights = [b"null", b'"much"', b"[]", b"true", b"-3", b"0", b"1" * 400]
        tenants = b",".join(
            b'{"name":"t%d","weight":%b,"max_count":null}' % (number, weight)
            for number, weight in enumerate(weights)
        )
        table = decode_configuration(
            b'{"version":7,"routes":[],"services":[],"tenants":[' + tenants + b"]}"
        )
        self.assertEqual(len(table.tenants), len(weights))
        for tenant in table.tenants:
            self.assertFalse(is_valid_weight(tenant.weight), tenant)
            self.assertEqual(tenant.quota, Resources())

    def test_error_about_damaged_tenants_contains_no_key(self):
        value = (
            b'{"version":7,"routes":[],"services":[],"tenants":[{"name":"north",'
            b'"api_keys":["secret-1",7]}]}'
        )
        with self.assertRaises(msgspec.DecodeError) as raised:
            decode_configuration(value)
        self.assertNotIn("secret-1", str(raised.exception))

    def test_settings_are_read(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.toml"
            path.write_text(SETTINGS)
            settings = read_settings(str(path)).ok
            self.assertEqual(settings.port_range, (7380, 7395))
            self.assertEqual(settings.bounds.hold_max_ms, 6_000)
            self.assertIsInstance(choose_step_order(settings), DeadlineOrder)
            path.write_text('contracts = ["other", "pressure"]\n' + SETTINGS)
            settings = read_settings(str(path)).ok
            self.assertIsInstance(choose_step_order(settings), TenantShareOrder)
            path.write_text('node = "x"\n')
            self.assertIn("missing required field", read_settings(str(path)).error)
            self.assertTrue(read_settings(str(path.with_name("none"))).error)
