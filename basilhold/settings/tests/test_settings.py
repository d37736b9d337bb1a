import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from basilhold.core import ClassKind, OfficeDocument, RestartPolicy
from basilhold.settings import (
    EXIT_SETTINGS,
    Program,
    load_process_settings,
    load_settings,
    parse_settings,
    read_settings_or_exit,
)
from basilhold.settings.reference import REFERENCE_PATH, render_reference

EXAMPLES = Path(__file__).parents[3] / "examples"
TRAKIA = (EXAMPLES / "trakia.toml").read_text()
TOKEN = "example-token-thrace-office"

# Each row: text to replace, its replacement, expected key, part of the reason.
MISTAKES = [
    ('cell = "trakia"', "cell = 3", "cell", "expected `str`, got `int`"),
    ('cell = "trakia"', 'cell = "Trakia 1"', "cell", "regex"),
    ('cell = "trakia"', "", "cell", "missing"),
    ('cell = "trakia"', "cell = ", "", "line"),
    ('cell = "trakia"', 'cell = "trakia"\ncellar = 1', "cellar", "unknown key"),
    ('region = "danube"', "", "zones[2].region", "missing"),
    ('region = "danube"', 'region = "x"', "zones[2].region", "not in regions"),
    ('store_region = "thrace"', 'store_region = "x"', "store_region", "not in regions"),
    ('name = "danube"', 'name = "thrace"', "regions[1].name", "regions[0]"),
    ('id = "entry-ruse-1"', 'id = "entry-ruse-2"', "entry_vms[6].id", "entry_vms[5]"),
    ('name = "survey"', 'name = "dispatch"', "operators[1].name", "operators[0]"),
    ('name = "inspect"', 'name = "order-desk"', "services[1].name", "services[0]"),
    ("caller_port = 18000", "caller_port = -1", "entry_vms[0].caller_port", ">= 0"),
    ("caller_port = 18000", "caller_port = 70000", "entry_vms[0].caller_port", "65535"),
    (
        "caller_port = 18000",
        "caller_port = 18001",
        "entry_vms[0].operator_port",
        "caller_port",
    ),
    ('host = "127.0.0.1"', 'host = "10.0.0.1"', "entry_vms[0].host", "[tls]"),
    ('host = "127.0.0.1"', 'host = "entry"', "entry_vms[0].host", "IP address"),
    ("http://127.0.0.1:18200", "ftp://127.0.0.1", "platform.table_url", "URL"),
    ("http://127.0.0.1:18200", "http://[::1", "platform.table_url", "URL"),
    ("http://127.0.0.1:18200", "http://10.0.0.1", "platform.table_url", "loopback"),
    ("http://127.0.0.1:18200", "http://u:p@127.0.0.1", "platform.table_url", "pass"),
    (
        "http://127.0.0.1:18200",
        "http://127.0.0.1/v1",
        "platform.table_url",
        "end after",
    ),
    ('office = "thrace"', 'office = "x"', "operators[0].office", "offices"),
    (f'token = "{TOKEN}"', "", "operators[0]", "exactly one"),
    (f'token = "{TOKEN}"', 'token = "short"', "operators[0].token", "16"),
    (
        f'token = "{TOKEN}"',
        f'token_sha256 = "{TOKEN}"',
        "operators[0].token_sha256",
        "64 hexadecimal",
    ),
    ("[local]", "[timeouts]\nstore_ms = 0\n[local]", "timeouts.store_ms", ">= 1"),
    (
        "[local]",
        "[timeouts]\nstore_ms = 10\n[local]",
        "timeouts.connect_ms",
        "timeouts.store_ms",
    ),
    ("[local]", '[local]\nhost = "10.0.0.1"', "local.host", "loopback"),
    ("[local]", '[tls]\nkey_file = "k"\n[local]', "tls.certificate_file", "missing"),
    ('cell = "trakia"', 'cell = "trakia"\nvm_id = "x"', "vm_id", "not in entry_vms"),
]


class MistakeTest(unittest.TestCase):
    """Guards against mistakes that surface only once a process is serving."""

    def test_each_mistake_names_its_key_and_reason_on_one_line(self):
        for old, new, key, reason in MISTAKES:
            with self.subTest(key=key, new=new):
                self.assertIn(old, TRAKIA)
                result = parse_settings(TRAKIA.replace(old, new, 1), "t.toml")
                self.assertTrue(result.is_error(), "accepted")
                error = result.error
                self.assertEqual(error.key, key)
                self.assertIn(reason, error.reason)
                self.assertNotIn("\n", str(error))
                self.assertTrue(str(error).startswith("t.toml: "))
                self.assertNotIn(TOKEN, str(error))

    def test_agents_off_loopback_need_https(self):
        tls = '[tls]\ncertificate_file = "c"\nkey_file = "k"\nca_file = "a"\n'
        text = TRAKIA.replace('host = "127.0.0.1"', 'host = "10.0.0.1"', 1) + tls
        error = parse_settings(text, "t.toml").error
        self.assertEqual(error.key, "platform.agent_scheme")
        text = text.replace("[platform]", '[platform]\nagent_scheme = "https"')
        self.assertTrue(parse_settings(text, "t.toml").is_ok())

    @settings(max_examples=60, deadline=None)
    @given(st.text(max_size=200))
    def test_any_text_gives_an_error_and_no_exception(self, text):
        self.assertTrue(parse_settings(text, "t.toml").is_error())

    def test_unusable_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.toml"
            self.assertIn("No such file", load_settings(path).error.reason)
            path.write_bytes(b'cell = "\xff"')
            self.assertIn("UTF-8", load_settings(path).error.reason)

    def test_program_prints_one_line_and_exits_with_78(self):
        output = io.StringIO()
        with (
            contextlib.redirect_stderr(output),
            self.assertRaises(SystemExit) as caught,
        ):
            read_settings_or_exit(EXAMPLES / "trakia.toml", Program.GATEWAY, "nowhere")
        self.assertEqual(caught.exception.code, EXIT_SETTINGS)
        self.assertEqual(output.getvalue().count("\n"), 1)
        self.assertIn(
            'trakia.toml: entry_vms: no entry VM "nowhere"', output.getvalue()
        )

    def test_repr_hides_tokens(self):
        loaded = parse_settings(TRAKIA, "t.toml").ok
        self.assertNotIn(TOKEN, repr(loaded))
        self.assertNotIn(TOKEN, f"{loaded.operators[0]}")
        self.assertIn(TOKEN, loaded.secrets())


class ExampleTest(unittest.TestCase):
    """Guards the example files against drifting from the declarations."""

    def test_process_learns_id_addresses_and_zone(self):
        path = EXAMPLES / "fjordlys.toml"
        process = load_process_settings(path, Program.RELAY, "entry-bergen-a-1").ok
        self.assertEqual(process.process_id, "relay@entry-bergen-a-1")
        self.assertEqual((process.zone, process.region), ("bergen-a", "bergen"))
        self.assertEqual(process.vm.host, "127.0.0.1")

    def test_missing_vm_id_is_an_error_except_for_the_local_cell(self):
        path = EXAMPLES / "trakia.toml"
        missing = load_process_settings(path, Program.SCHEDULER)
        self.assertEqual(missing.error.key, "vm_id")
        self.assertTrue(load_process_settings(path, Program.LOCAL).is_ok())

    def test_office_documents_match_their_deployment(self):
        for cell in ("trakia", "fjordlys"):
            deployment = load_settings(EXAMPLES / f"{cell}.toml").ok
            services = {service.name for service in deployment.services}
            names = []
            for office in deployment.offices:
                data = (EXAMPLES / f"{cell}-{office}.json").read_bytes()
                document = msgspec.json.decode(data, type=OfficeDocument)
                self.assertEqual(document.office, office)
                names += [work_class.name for work_class in document.classes]
                for entry in document.classes + document.teams:
                    self.assertTrue(entry.name.startswith(f"{office}."), entry.name)
                for work_class in document.classes:
                    if work_class.kind is ClassKind.REQUEST:
                        self.assertIn(work_class.service, services)
            self.assertEqual(len(names), len(set(names)))

    def test_orders_and_restorations_run_at_most_once(self):
        for name in ("trakia-thrace.order", "fjordlys-bergen.crack-inpainting"):
            office, _, local_name = name.partition(".")
            data = (EXAMPLES / f"{office}.json").read_bytes()
            document = msgspec.json.decode(data, type=OfficeDocument)
            found = next(
                c for c in document.classes if c.name.endswith(f".{local_name}")
            )
            self.assertIs(found.restart, RestartPolicy.FORBIDDEN)

    def test_reference_page_is_current(self):
        self.assertEqual(REFERENCE_PATH.read_text(), render_reference())
