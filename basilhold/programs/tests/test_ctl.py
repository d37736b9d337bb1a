import asyncio
import json
import socket
import tempfile
import threading
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.core import ClassKind, ClassName, OfficeDocument, WorkClass
from basilhold.operators_api import OperatorError, OperatorErrorKind, Problem
from basilhold.operators_api.tests.fakes import (
    BERGEN,
    OSLO,
    OSLO_TOKEN,
    FakeBackend,
    make_routes,
)
from basilhold.programs.ctl import cli
from basilhold.programs.ctl_client import CtlError, ExitCode
from basilhold.programs.ctl_output import Table

DOCUMENT = OfficeDocument(
    OSLO, (WorkClass(ClassName("preview"), ClassKind.REQUEST, 200),)
)
SUBMIT = "jobs submit --team t --class preview --cores-milli 500 --memory-bytes 1000"


class ServerThread:
    """Runs a tornado application on its own event loop, as a gateway would."""

    def __init__(self, application):
        self.application = application
        self.started = threading.Event()
        self.thread = threading.Thread(target=lambda: asyncio.run(self.run()))

    async def run(self):
        self.loop = asyncio.get_running_loop()
        self.stop_event = asyncio.Event()
        sockets = bind_sockets(0, "127.0.0.1")
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        server = HTTPServer(self.application)
        server.add_sockets(sockets)
        self.started.set()
        await self.stop_event.wait()
        server.stop()
        await server.close_all_connections()

    def __enter__(self):
        self.thread.start()
        self.started.wait()
        return self

    def __exit__(self, *exception):
        self.loop.call_soon_threadsafe(self.stop_event.set)
        self.thread.join()


class DroppingHandler(RequestHandler):
    """Applies a change at another gateway's backend, and loses the reply."""

    def initialize(self, backend):
        self.backend = backend

    def put(self):
        document = msgspec.json.decode(self.request.body, type=OfficeDocument)
        version = int(self.request.headers["If-Match"].strip('"'))
        identity = type("Identity", (), {"office": OSLO, "name": "kari"})
        self.backend._write(identity, document, version)
        self.detach().close()

    get = post = lambda self: self.detach().close()


def quiet_application(routes):
    return Application(routes, log_function=lambda handler: None)


class CtlTestCase(unittest.TestCase):
    def setUp(self):
        self.backend = FakeBackend()
        server = ServerThread(quiet_application(make_routes(self.backend)))
        self.server = self.enterContext(server)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.token_file = self.folder / "token"
        self.token_file.write_text(OSLO_TOKEN + "\n")
        self.file = self.folder / "office.json"
        self.file.write_bytes(msgspec.json.encode(DOCUMENT))

    def run_ctl(self, command, *, gateways=None, output="json", status=0, stdin=None):
        arguments = ["--output", output, "--token-file", str(self.token_file)]
        for gateway in gateways or (self.server.url,):
            arguments += ["--gateway", gateway]
        result = CliRunner().invoke(cli, arguments + command.split(), input=stdin)
        self.assertEqual(result.exit_code, status, result.output)
        return result


class CommandTest(CtlTestCase):
    """Guards every command against drifting from the API."""

    def test_classes_from_show_to_rollback(self):
        shown = self.run_ctl("classes show")
        self.assertIn("version 0; apply with --version", shown.stderr)
        self.run_ctl(f"classes apply {self.file} --version 0 --wait")
        listed = json.loads(self.run_ctl("classes list").stdout)
        self.assertEqual(listed["classes"][0]["work_class"]["name"], "preview")
        table = self.run_ctl("classes show preview", output="table").stdout
        self.assertRegex(table, r"preview +oslo-office +request +200 ms +allowed +-")
        self.file.write_bytes(msgspec.json.encode(OfficeDocument(OSLO)))
        self.run_ctl(f"classes apply {self.file} --latest")
        self.run_ctl("classes rollback 1")
        history = json.loads(self.run_ctl("classes history").stdout)
        self.assertEqual([e["version"] for e in history["entries"]], [3, 2, 1])
        document = history["entries"][0]["document"]
        self.assertEqual(msgspec.convert(document, OfficeDocument), DOCUMENT)

    def test_jobs(self):
        submitted = self.run_ctl(SUBMIT + " --tasks 3")
        self.assertIn("repeat with --key", submitted.stderr)
        job = json.loads(submitted.stdout)["job_id"]
        again = [self.run_ctl(SUBMIT + " --key k").stdout for _ in range(2)]
        repeated = [json.loads(text)["repeated"] for text in again]
        self.assertEqual(repeated, [False, True])
        status = self.run_ctl(f"jobs status {job}", output="table").stdout
        self.assertIn("2 more", status)
        explain = self.run_ctl(f"jobs explain {job}", output="table").stdout
        self.assertIn("2 GPUs more than any worker has free", explain)
        cancelled = json.loads(self.run_ctl(f"jobs cancel {job}").stdout)
        self.assertTrue(cancelled["summary"]["cancel_requested"])
        page = self.run_ctl("jobs list --limit 1", output="table")
        self.assertIn("3 pending", page.stdout)
        self.assertIn(f"more with --after {job}", page.stderr)

    def test_workers_and_state(self):
        table = self.run_ctl("workers list", output="table").stdout
        self.assertIn("64 cores, 256 GiB, 8 GPUs", table)
        command = "workers attest-lost restore-1 --reason burnt"
        self.run_ctl(command, status=1, stdin="n\n")
        self.assertNotIn("attest", [call[0] for call in self.backend.calls])
        released = json.loads(self.run_ctl(command + " --yes").stdout)
        self.assertEqual(released["released_tasks"], 2)
        state = self.run_ctl("state --zone oslo-a", output="table").stdout
        self.assertEqual(json.loads(state), {"zone": "oslo-a"})

    def test_config(self):
        table = self.run_ctl("config versions", output="table").stdout
        self.assertRegex(table, r"bergen-office +0 +yes +3/3 +-")
        self.backend.waits_until_in_force = 3
        waited = self.run_ctl("config wait 7")
        self.assertTrue(json.loads(waited.stdout)["in_force"])
        self.assertEqual(waited.stderr.count("2 of 3 processes, missing relay@b"), 1)

    def test_unreachable_store_region_is_not_shown_as_a_count(self):
        self.backend.store_region_answers = False
        table = self.run_ctl("config versions", output="table").stdout
        self.assertRegex(table, r"bergen-office +0 +unknown +the store's region could")
        self.assertNotIn("0/0", table)

    def test_completion_scripts(self):
        for shell in ("bash", "zsh", "fish"):
            self.assertIn("basilholdctl", self.run_ctl(f"completion {shell}").stdout)


class FailureTest(CtlTestCase):
    """Guards against messages that do not say what happened and what to do."""

    def test_exit_codes_of_errors(self):
        codes = {
            OperatorErrorKind.INVALID: 6,
            OperatorErrorKind.REJECTED: 6,
            OperatorErrorKind.QUEUE_FULL: 7,
            OperatorErrorKind.UNAVAILABLE: 7,
            OperatorErrorKind.UNKNOWN: 8,
        }
        for kind, status in codes.items():
            with self.subTest(kind=kind):
                self.backend.error = OperatorError(kind, "the reason", "the action")
                result = self.run_ctl(SUBMIT, status=status)
                self.assertIn("the reason", result.stderr)
                self.assertIn("what to do: the action", result.stderr)
        self.backend.error = None
        self.run_ctl("jobs status nothing", status=3)
        self.token_file.write_text("wrong-token-wrong-token")
        self.run_ctl("classes list", status=5)

    def test_lost_race_shows_the_difference(self):
        self.run_ctl(f"classes apply {self.file} --version 0")
        self.file.write_bytes(msgspec.json.encode(OfficeDocument(OSLO)))
        result = self.run_ctl(f"classes apply {self.file} --version 0", status=4)
        self.assertIn("+ preview 300", result.stderr)
        self.assertIn("what to do: Look at the difference", result.stderr)

    def test_change_with_a_lost_reply_is_recognised_at_the_next_gateway(self):
        routes = [(".*", DroppingHandler, {"backend": self.backend})]
        with ServerThread(quiet_application(routes)) as dropping:
            result = self.run_ctl(
                f"classes apply {self.file} --version 0",
                gateways=(dropping.url, self.server.url),
            )
        self.assertEqual(json.loads(result.stdout)["version"], 1)

    def test_lost_replies_everywhere_are_an_unknown_outcome(self):
        routes = [(".*", DroppingHandler, {"backend": self.backend})]
        with ServerThread(quiet_application(routes)) as dropping:
            result = self.run_ctl(SUBMIT, gateways=(dropping.url,), status=8)
        self.assertIn("may have been made", result.stderr)

    def test_gateway_that_refuses_connections(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{closed.getsockname()[1]}"
            self.run_ctl("classes list", gateways=(url, self.server.url))
            result = self.run_ctl(SUBMIT, gateways=(url,), status=7)
            self.assertIn("nothing was changed", result.stderr)

    def test_wait_that_is_over_names_the_lagging_processes(self):
        self.backend.waits_until_in_force = 10**9
        result = self.run_ctl("config wait 7 --timeout-s 1", status=9)
        self.assertIn("missing relay@b", result.stderr)
        self.assertIn("what to do:", result.stderr)

    def test_local_mistakes(self):
        self.run_ctl("classes list", gateways=("http://10.0.0.1:1",), status=2)
        self.run_ctl("classes list", gateways=("ftp://x",), status=2)
        self.run_ctl(f"classes apply {self.file}", status=2)
        self.run_ctl(f"classes apply {self.folder}/no --latest", status=2)
        self.file.write_text('{"office": 3}')
        self.run_ctl(f"classes apply {self.file} --latest", status=6)
        self.token_file.write_text("two\nlines")
        self.run_ctl("classes list", status=78)
        self.token_file.unlink()
        result = self.run_ctl("classes list", status=78)
        self.assertIn("what to do:", result.stderr)

    def test_document_of_the_other_office(self):
        self.file.write_bytes(msgspec.json.encode(OfficeDocument(BERGEN)))
        result = self.run_ctl(f"classes apply {self.file} --latest", status=5)
        self.assertIn("the token is for oslo-office", result.stderr)

    def test_text_of_replies_cannot_control_the_terminal(self):
        text = "a\x1b[2Jb\nc"
        problem = Problem("t", text, 404, text, text, "not-run", difference=(text,))
        error = CtlError(text, ExitCode.NOT_FOUND, text, problem)
        rendered = Table(("x",), ((text,),)).render().splitlines()[1:]
        for line in (*error.lines(), *rendered):
            self.assertTrue(line.isprintable(), line)
