import socket
import unittest

from basilhold.adapters import HttpPool
from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.platform.runners import (
    PlatformAdviceService,
    PlatformRunnerClient,
    parse_endpoint,
)
from basilhold.platform.tests.stub_platform import StubPlatform
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerCall, StartCall
from basilhold.workflows.model import AdvicePolicy, QueuePolicy, RunNumber, TaskKey
from basilhold.workflows.pool import Worker, WorkerInfo
from basilhold.workflows.progress import EndKind

RUN = RunnerCall(JobId("5c0e7a21d94b36f8"), TaskKey(0, 1, 17), RunNumber(2), Epoch(7))


class RunnersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against replies of runners that are decoded to a wrong outcome."""

    async def asyncSetUp(self):
        self.platform = self.enterContext(StubPlatform())
        self.pool = await self.enterAsyncContext(HttpPool())
        self.runner_client = PlatformRunnerClient(self.pool)
        info = WorkerInfo(WorkerId("i-7f"), self.platform.endpoint, 1, Resources())
        self.worker = Worker(info)

    async def test_start_command_has_the_wire_format(self):
        self.platform.canned_replies["/-/run-start"] = (200, {"clock_ms": 5})
        call = StartCall(RUN, "text", 486000.7, "00b", "t-1")
        outcome = await self.runner_client.start(self.worker, call)
        self.assertIs(outcome, CallOutcome.DONE)
        path, headers, body = self.platform.recorded_posts[0]
        self.assertEqual(path, "/-/run-start")
        self.assertEqual(headers["X-Expect-Instance"], "i-7f")
        expected = {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 2,
            "spec": "text",
            "until_ms": 486000,
            "fence": 7,
            "checkpoint": "00b",
            "ticket": "t-1",
        }
        self.assertEqual(body, expected)

    async def test_invalid_address_is_unavailable(self):
        # An exception stopped the owner of the service, then each of its successors.
        for endpoint in ("127.0.0.1:99999", "a..b:80", "\x00:80", "127.0.0.1:-1"):
            info = WorkerInfo(WorkerId("i-7f"), endpoint, 1, Resources())
            outcome = await self.runner_client.stop(Worker(info), RUN)
            self.assertIs(outcome, CallOutcome.UNAVAILABLE)

    async def test_refused_and_silent_connections_are_distinguished(self):
        # A worker that crashed could not be told from one that was silent.
        renewal = RenewLeaseCall(Epoch(7), 0)
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            endpoint = f"127.0.0.1:{listener.getsockname()[1]}"
            info = WorkerInfo(WorkerId("i-7f"), endpoint, 1, Resources())
            refused = await self.runner_client.renew_lease(Worker(info), renewal)
            self.assertIs(refused.error, CallOutcome.DISCONNECTED)
            command = await self.runner_client.stop(Worker(info), RUN)
            self.assertIs(command, CallOutcome.UNAVAILABLE)
            listener.listen()
            silent = await self.runner_client.renew_lease(Worker(info), renewal)
            self.assertIs(silent.error, CallOutcome.UNKNOWN)

    async def test_outcome_that_only_owners_conclude_is_not_accepted(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        for kind in ("lost", "crashed", "unstarted"):
            ends = [[1, name, 1, kind, ""]]
            reply = {"clock_ms": 5, "born": 1, "finished": ends}
            self.platform.canned_replies["/-/hold"] = (200, reply)
            renewal = RenewLeaseCall(Epoch(7), 0)
            result = await self.runner_client.renew_lease(self.worker, renewal)
            self.assertIs(result.error, CallOutcome.UNKNOWN)

    async def test_statuses_map_to_outcomes(self):
        cases = [
            ((409, {"reason": "fence"}), CallOutcome.FENCED),
            ((409, {"reason": "old"}), CallOutcome.OLD_RUN),
            ((409, {"reason": "late"}), CallOutcome.LATE),
            ((409, {"reason": "room"}), CallOutcome.NO_ROOM),
            ((409, {"reason": "ticket"}), CallOutcome.BAD_TICKET),
            ((409, {"reason": 5}), CallOutcome.REJECTED),
            ((400, {}), CallOutcome.REJECTED),
            ((421, {}), CallOutcome.ABSENT),
            ((429, {}), CallOutcome.UNAVAILABLE),
            ((503, {}), CallOutcome.UNAVAILABLE),
            ((500, {}), CallOutcome.UNKNOWN),
            ((504, {}), CallOutcome.UNKNOWN),
            ((0, {}), CallOutcome.DISCONNECTED),
        ]
        for reply, expected in cases:
            with self.subTest(reply=reply):
                self.platform.canned_replies["/-/run-stop"] = reply
                outcome = await self.runner_client.stop(self.worker, RUN)
                self.assertIs(outcome, expected)

    async def test_lease_renewal_returns_listing(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        self.platform.canned_replies["/-/hold"] = (
            200,
            {
                "clock_ms": 482113,
                "born": 99,
                "running": [[name, 2, "00b", 41, 12]],
                "finished": [[58, name, 1, "lapsed", ""]],
            },
        )
        call = RenewLeaseCall(Epoch(7), 57, 486000.0, 1_000)
        listing = (await self.runner_client.renew_lease(self.worker, call)).ok
        self.assertEqual((listing.clock_ms, listing.born_unix_ms), (482113, 99))
        self.assertEqual(listing.running[0].key.task, TaskKey(0, 1, 17))
        self.assertEqual(listing.running[0].percent, 41)
        self.assertIs(listing.ended[0].end.kind, EndKind.LAPSED)
        body = self.platform.recorded_posts[0][2]
        self.assertEqual(body["acked_through"], 57)
        self.assertEqual(body["wait_ms"], 1_000)

    async def test_listing_with_as_many_ends_as_fit_is_not_complete(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        for count, is_complete in ((499, True), (500, False)):
            rows = [[number + 1, name, 1, "done", ""] for number in range(count)]
            body = {"clock_ms": 1, "born": 99, "finished": rows}
            self.platform.canned_replies["/-/hold"] = (200, body)
            call = RenewLeaseCall(Epoch(7), 57, 486000.0, 1_000)
            listing = (await self.runner_client.renew_lease(self.worker, call)).ok
            self.assertEqual(len(listing.ended), count)
            self.assertIs(listing.is_complete, is_complete)

    async def test_undecodable_listing_is_an_unknown_outcome(self):
        name, large = "5c0e7a21d94b36f8.0.1.17", 10**400
        for body in (
            {"running": []},
            {"clock_ms": 1, "running": [["x", 1]]},
            {"clock_ms": 1, "running": [[name, 2, "", 41, large]]},
            {"clock_ms": 1, "running": [[name, large, "", 41]]},
            {"clock_ms": 1, "finished": [[large, name, 1, "done", ""]]},
            {"clock_ms": 1, "born": large},
        ):
            self.platform.canned_replies["/-/hold"] = (200, body)
            result = await self.runner_client.renew_lease(
                self.worker, RenewLeaseCall(Epoch(1), 0)
            )
            self.assertIs(result.error, CallOutcome.UNKNOWN)

    async def test_advice_request_and_reply(self):
        reply = {"admitted": [["i-7f", "c81e"]], "valid_ms": 3000}
        self.platform.canned_replies["/-/advise"] = (200, reply)
        advice = PlatformAdviceService(
            self.pool, parse_endpoint(self.platform.endpoint)
        )
        policy = QueuePolicy("q", "s", advice=AdvicePolicy(1, 1, 1))
        workers = (WorkerId("i-7f"), WorkerId("i-80"))
        result = await advice.ask(JobId("00ff"), 0, 1, workers, policy)
        self.assertEqual(result.ok.tickets, {"i-7f": "c81e"})
        self.assertEqual(self.platform.recorded_posts[0][2]["step"], "00ff.0.1")
        self.platform.canned_replies["/-/advise"] = (429, {})
        result = await advice.ask(JobId("00ff"), 0, 1, workers, policy)
        self.assertEqual(result.error, "status 429")
