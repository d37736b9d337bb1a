import asyncio
import hashlib
import logging

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.testing import AsyncHTTPTestCase, ExpectLog, gen_test
from tornado.web import Application

from basilhold.core import OfficeDocument, Resources
from basilhold.operators_api import (
    JobSubmission,
    OperatorError,
    OperatorErrorKind,
    Problem,
    ProblemKind,
    TokenTable,
)
from basilhold.operators_api.tests.fakes import (
    BERGEN,
    BERGEN_TOKEN,
    OSLO,
    OSLO_TOKEN,
    FakeBackend,
    make_routes,
)
from basilhold.settings import Operator

SUBMISSION = JobSubmission("curators", "preview", Resources(1000, 1 << 30, 0))


def encode(value):
    return msgspec.json.encode(value)


class ApiTestCase(AsyncHTTPTestCase):
    def get_app(self):
        self.backend = FakeBackend()
        routes = make_routes(self.backend, body_bytes_max=4096, waits_max=1)
        return Application(routes, log_function=lambda handler: None)

    def send(self, method, path, body=None, token=OSLO_TOKEN, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        return self.fetch(
            path,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
        )

    def assert_problem(self, response, kind):
        self.assertEqual(response.code, kind.status, response.body)
        self.assertEqual(response.headers["Content-Type"], "application/problem+json")
        problem = msgspec.json.decode(response.body, type=Problem)
        self.assertEqual(problem.type, f"urn:basilhold:problem:{kind.slug}")
        self.assertTrue(problem.detail and problem.action)
        self.assertEqual(response.headers["Basilhold-Outcome"], problem.outcome)
        return problem


class AccessTest(ApiTestCase):
    """Guards against changes by the wrong office and against unbounded input."""

    def test_requests_without_a_valid_token(self):
        wrong = [None, "", "x", OSLO_TOKEN + "x", OSLO_TOKEN[:-1], "é", "x" * 9000]
        for token in wrong:
            with self.subTest(token=token):
                response = self.send("GET", "/v1/classes", token=token)
                self.assert_problem(response, ProblemKind.UNAUTHENTICATED)
                self.assertEqual(response.headers["WWW-Authenticate"], "Bearer")
        basic = self.send(
            "GET", "/v1/whoami", token=None, Authorization=f"Basic {OSLO_TOKEN}"
        )
        self.assert_problem(basic, ProblemKind.UNAUTHENTICATED)
        self.assertEqual(self.backend.calls, [])

    def test_hashed_token_identifies_its_operator(self):
        digest = hashlib.sha256(b"secret-secret-secret").hexdigest()
        table = TokenTable([Operator(name="a", office=OSLO, token_sha256=digest)])
        self.assertEqual(table.identify("bearer secret-secret-secret").office, OSLO)
        self.assertIsNone(table.identify(f"Bearer {digest}"))
        self.assertNotIn("secret-secret", repr(vars(table)))

    def test_other_offices_are_read_only(self):
        body = encode(OfficeDocument(BERGEN))
        path = f"/v1/config/{BERGEN}"
        self.assertEqual(self.send("GET", path).code, 200)
        put = self.send("PUT", path, body, If_Match="0")
        self.assert_problem(put, ProblemKind.FORBIDDEN)
        rollback = self.send("POST", f"{path}/rollback", b"{}")
        self.assert_problem(rollback, ProblemKind.FORBIDDEN)
        job = self.send(
            "POST", "/v1/jobs", encode(SUBMISSION), BERGEN_TOKEN, Idempotency_Key="k"
        )
        job_id = msgspec.json.decode(job.body)["job_id"]
        self.assertEqual(self.send("GET", f"/v1/jobs/{job_id}").code, 200)
        cancel = self.send("POST", f"/v1/jobs/{job_id}/cancel", b"")
        self.assert_problem(cancel, ProblemKind.FORBIDDEN)
        self.assertNotIn("cancel", [call[0] for call in self.backend.calls])

    def test_document_of_another_office_under_the_own_path(self):
        body = encode(OfficeDocument(BERGEN))
        response = self.send("PUT", f"/v1/config/{OSLO}", body, If_Match="0")
        self.assert_problem(response, ProblemKind.INVALID)

    def test_bodies_are_bounded(self):
        long = b" " * 5000
        response = self.send("PUT", f"/v1/config/{OSLO}", long, If_Match="0")
        self.assert_problem(response, ProblemKind.TOO_LARGE)

    @gen_test
    async def test_chunked_bodies_are_bounded(self):
        async def produce(write):
            for _ in range(10):
                await write(b" " * 1000)

        request = HTTPRequest(
            self.get_url(f"/v1/config/{OSLO}"),
            "PUT",
            {"Authorization": f"Bearer {OSLO_TOKEN}", "If-Match": "0"},
            body_producer=produce,
        )
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
        self.assert_problem(response, ProblemKind.TOO_LARGE)

    def test_unknown_paths_methods_and_values(self):
        cases = [
            ("GET", "/v1/nothing", None, ProblemKind.NOT_FOUND),
            ("GET", "/v1/classes/nothing", None, ProblemKind.NOT_FOUND),
            ("GET", "/v1/config/nothing", None, ProblemKind.NOT_FOUND),
            ("GET", "/v1/jobs/nothing", None, ProblemKind.NOT_FOUND),
            ("POST", "/v1/jobs/nothing/cancel", b"", ProblemKind.NOT_FOUND),
            ("DELETE", "/v1/classes", None, ProblemKind.METHOD),
            ("GET", "/v1/jobs?limit=0", None, ProblemKind.INVALID),
            ("GET", "/v1/jobs?limit=x", None, ProblemKind.INVALID),
            ("GET", "/v1/jobs?limit=501", None, ProblemKind.INVALID),
            ("POST", "/v1/workers/w/attest-lost", b"{}", ProblemKind.INVALID),
            (
                "POST",
                "/v1/workers/w/attest-lost",
                b'{"reason":"x"}',
                ProblemKind.INVALID,
            ),
        ]
        for method, path, body, kind in cases:
            with self.subTest(path=path):
                self.assert_problem(self.send(method, path, body), kind)

    def test_failure_of_the_backend_is_not_shown(self):
        async def fail():
            raise RuntimeError("secret detail")

        self.backend.classes = fail
        with ExpectLog(logging.getLogger("absl"), ".*", required=False):
            response = self.send("GET", "/v1/classes")
        problem = self.assert_problem(response, ProblemKind.INTERNAL)
        self.assertNotIn("secret", problem.detail)
        self.assertEqual(problem.outcome, "unknown")


class ConfigTest(ApiTestCase):
    """Guards against one operator overwriting another's change unseen."""

    def test_apply_needs_the_version_it_is_based_on(self):
        path, body = f"/v1/config/{OSLO}", encode(OfficeDocument(OSLO))
        self.assert_problem(self.send("PUT", path, body), ProblemKind.VERSION_REQUIRED)
        bad = self.send("PUT", path, body, If_Match="*")
        self.assert_problem(bad, ProblemKind.INVALID)
        self.assertEqual(self.send("PUT", path, body, If_Match='"0"').code, 200)
        stale = self.send("PUT", path, body, If_Match="0")
        problem = self.assert_problem(stale, ProblemKind.STALE_VERSION)
        self.assertEqual(problem.current_version, 1)
        self.assertEqual(len(problem.difference), 2)

    def test_history_and_rollback(self):
        path, body = f"/v1/config/{OSLO}", encode(OfficeDocument(OSLO))
        self.send("PUT", path, body, If_Match="0")
        rollback = b'{"to_version": 1, "expected_version": 1}'
        self.assertEqual(self.send("POST", f"{path}/rollback", rollback).code, 200)
        history = msgspec.json.decode(self.send("GET", f"{path}/history").body)
        versions = [entry["version"] for entry in history["entries"]]
        self.assertEqual(versions, [2, 1])
        self.assertEqual(history["entries"][0]["author"], "kari")

    @gen_test
    async def test_waits_are_bounded_in_number(self):
        release = asyncio.Event()
        plain = self.backend.wait_in_force

        async def wait(office, version, wait_ms):
            if wait_ms:
                await release.wait()
            return await plain(office, version, wait_ms)

        self.backend.wait_in_force = wait
        url = self.get_url(f"/v1/config/{OSLO}/in-force?version=1&wait_ms=")
        headers = {"Authorization": f"Bearer {OSLO_TOKEN}"}

        def ask(wait_ms):
            request = HTTPRequest(f"{url}{wait_ms}", headers=headers)
            return AsyncHTTPClient().fetch(request, raise_error=False)

        # Each call has its own connection, so either one may arrive first.
        rejected, waiting = await asyncio.wait(
            [asyncio.ensure_future(ask(1000)) for _ in range(2)],
            return_when=asyncio.FIRST_COMPLETED,
        )
        self.assertEqual((len(rejected), len(waiting)), (1, 1))
        self.assert_problem(rejected.pop().result(), ProblemKind.UNAVAILABLE)
        self.assertEqual((await ask(0)).code, 200)
        release.set()
        self.assertEqual((await waiting.pop()).code, 200)


class JobTest(ApiTestCase):
    """Guards against jobs that run twice and against unclear outcomes."""

    def submit(self, **headers):
        return self.send("POST", "/v1/jobs", encode(SUBMISSION), **headers)

    def test_submission_needs_a_key_and_is_repeatable(self):
        self.assert_problem(self.submit(), ProblemKind.KEY_REQUIRED)
        long = self.submit(Idempotency_Key="k" * 256)
        self.assert_problem(long, ProblemKind.KEY_REQUIRED)
        first = self.submit(Idempotency_Key="k")
        second = self.submit(Idempotency_Key="k")
        self.assertEqual((first.code, second.code), (201, 200))
        ids = {msgspec.json.decode(r.body)["job_id"] for r in (first, second)}
        self.assertEqual(len(ids), 1)

    def test_invalid_submissions(self):
        for change in (
            {"task_count": 0},
            {"task_count": 10**6},
            {"task_resources": {"cores_milli": -1, "memory_bytes": 1}},
            {"task_resources": {"cores_milli": 1}},
            {"team": ""},
            {"colour": "red"},
        ):
            with self.subTest(change=change):
                value = {**msgspec.to_builtins(SUBMISSION), **change}
                body = encode(value)
                response = self.send("POST", "/v1/jobs", body, Idempotency_Key="k")
                self.assert_problem(response, ProblemKind.INVALID)
        self.assertEqual(self.backend.calls, [])

    def test_each_error_states_whether_the_job_was_stored(self):
        cases = {
            OperatorErrorKind.REJECTED: (422, "not-run"),
            OperatorErrorKind.QUEUE_FULL: (429, "not-run"),
            OperatorErrorKind.UNAVAILABLE: (503, "not-run"),
            OperatorErrorKind.UNKNOWN: (504, "unknown"),
        }
        for kind, (status, outcome) in cases.items():
            with self.subTest(kind=kind):
                self.backend.error = OperatorError(kind, "why", retry_after_s=7)
                response = self.submit(Idempotency_Key="k")
                self.assertEqual(response.code, status)
                self.assertEqual(response.headers["Basilhold-Outcome"], outcome)
                self.assertEqual(response.headers["Retry-After"], "7")

    def test_status_cancel_explain_and_pages(self):
        for key in ("a", "b", "c"):
            self.submit(Idempotency_Key=key)
        page = msgspec.json.decode(self.send("GET", "/v1/jobs?limit=2").body)
        self.assertEqual((len(page["jobs"]), bool(page["next_after"])), (2, True))
        job_id = page["jobs"][0]["job_id"]
        cancel = self.send("POST", f"/v1/jobs/{job_id}/cancel", b"")
        self.assertEqual(cancel.code, 202)
        explain = self.send("GET", f"/v1/jobs/{job_id}/explain")
        self.assertIn(b"2 GPUs", explain.body)

    def test_attest_lost_records_operator_and_reason(self):
        body = b'{"reason": "rack burnt"}'
        response = self.send("POST", "/v1/workers/w-1/attest-lost", body)
        self.assertEqual(response.code, 200)
        self.assertEqual(self.backend.calls, [("attest", "w-1", "kari", "rack burnt")])

    def test_state_is_passed_on_as_it_is(self):
        response = self.send("GET", "/v1/state?zone=oslo-a")
        self.assertEqual(response.body, b'{"zone": "oslo-a"}')
