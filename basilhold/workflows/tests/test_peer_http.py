"""Calls between processes as they are encoded on the wire."""

import socket
import unittest
from unittest.mock import patch

from basilhold.adapters import HttpAddress, HttpCall, HttpLimits, HttpPool
from basilhold.core import Clock, JobId, ServiceName
from basilhold.tenants import Parts, TenantName, TenantRequest
from basilhold.tenants.allotment_policy import PartsRequest
from basilhold.workflows import peer_http
from basilhold.workflows.peer_http import HttpPeerClient, make_peer_server
from basilhold.workflows.peers import (
    ConfigurationReply,
    ConfigurationRequest,
    OwnershipReply,
    SubmitAnswer,
    SubmitReply,
    SubmitRequest,
)
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.tests.test_owner import make_step, make_workflow

NORTH, SOUTH = TenantName("north"), TenantName("south")
CONFIGURATION = ConfigurationReply(9, 17, -3.5, b"\x00copy\xff")
REPLY = QuotaReply(True, {NORTH: Parts(1, 2, 3)})


class RecordingService:
    """A `PeerService` that records requests."""

    def __init__(self):
        self.requests = []

    async def on_quota_request(self, request):
        self.requests.append(request)
        return REPLY

    async def on_submit_request(self, request):
        self.requests.append(request)
        return SubmitReply(SubmitAnswer.ID_TAKEN)

    async def on_configuration_request(self, request):
        self.requests.append(request)
        return CONFIGURATION


class PeerHttpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against messages that the other process cannot decode."""

    async def asyncSetUp(self):
        self.service = RecordingService()
        server = self.server = make_peer_server(self.service)
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        server.add_socket(listening)
        self.addCleanup(server.stop)
        self.endpoint = f"127.0.0.1:{listening.getsockname()[1]}"
        self.pool = HttpPool(HttpLimits(4, 500, idle_ms=1_000))
        self.addCleanup(self.pool.close)
        self.client = HttpPeerClient(self.pool, SharedTime(Clock(0)))

    async def test_requests_for_quota_arrive_unchanged(self):
        # Without waiting work a request had an infinite claim, which became null.
        tenants = {
            NORTH: TenantRequest(PartsRequest(Parts(1, 0, 0)), (0.0, 17.5)),
            SOUTH: TenantRequest(PartsRequest(wanted=Parts(0, 2, 0))),
        }
        request = QuotaRequest(ServiceName("a"), ServiceName("b"), tenants, True)
        reply = await self.client.request_quota(self.endpoint, request)
        self.assertEqual(self.service.requests, [request])
        self.assertEqual(reply, REPLY)

    async def test_nested_message_is_rejected_as_undecodable(self):
        host, port = self.endpoint.split(":")
        names = ("owns", "state", "table", "quota", "advise", "configuration", "submit")
        for name in names:
            call = HttpCall(
                HttpAddress(host, int(port)), "POST", f"/peer/{name}", b"[" * 100_000
            )
            self.assertEqual((await self.pool.run(call)).ok.status, 400)

    async def test_copies_of_the_configuration_arrive_unchanged(self):
        request = ConfigurationRequest(3, 100)
        reply = await self.client.request_configuration(self.endpoint, request)
        self.assertEqual(self.service.requests, [request])
        self.assertEqual(reply, CONFIGURATION)

    async def test_peer_of_an_earlier_build_does_not_hand_on_the_configuration(self):
        # It knows no such call, and answers 404.
        request = ConfigurationRequest(3, 100)
        with patch.object(peer_http._PeerHandler, "_serve_configuration", None):
            reply = await self.client.request_configuration(self.endpoint, request)
        self.assertIsNone(reply)
        reply = await self.client.request_configuration("127.0.0.1:1", request)
        self.assertIsNone(reply)

    async def test_submissions_arrive_unchanged(self):
        spec = make_workflow(1, make_step(2, 500.0))
        request = SubmitRequest(spec.policy.service, spec.job_id, 900, spec)
        for sent in (request, SubmitRequest(spec.policy.service, spec.job_id, 900)):
            reply = await self.client.submit(self.endpoint, sent)
            self.assertEqual(reply.ok, SubmitReply(SubmitAnswer.ID_TAKEN))
            self.assertEqual(self.service.requests.pop(), sent)

    async def test_overloaded_owner_has_certainly_not_stored(self):
        request = SubmitRequest(ServiceName("a"), JobId("0"), 900)
        with patch.object(self.server.account, "can_handle", return_value=False):
            reply = await self.client.submit(self.endpoint, request)
        self.assertEqual(reply.error, False)
        self.assertEqual(self.service.requests, [])

    async def test_overloaded_owner_is_not_taken_for_lost(self):
        with patch.object(self.server.account, "can_handle", return_value=False):
            reply = await self.client.query_ownership(self.endpoint, ServiceName("a"))
        self.assertIs(reply, OwnershipReply.OWNER)
        reply = await self.client.query_ownership("127.0.0.1:1", ServiceName("a"))
        self.assertIs(reply, OwnershipReply.NO_REPLY)

    async def test_owner_of_an_earlier_build_has_certainly_not_stored(self):
        # It knows no such call, and answers 404.
        request = SubmitRequest(ServiceName("a"), JobId("0"), 900)
        with patch.object(peer_http._PeerHandler, "_serve_submit", None):
            reply = await self.client.submit(self.endpoint, request)
        self.assertIs(reply.error, False)
        self.service.on_submit_request = None
        self.assertIs((await self.client.submit(self.endpoint, request)).error, True)

    async def test_call_to_a_malformed_endpoint_fails_like_one_to_an_absent_process(
        self,
    ):
        # The error ended the loop that had read the member's row.
        for endpoint in ("", "host", "host:", "host:port", "host:99999999"):
            request = QuotaRequest(ServiceName("a"), ServiceName("b"), {})
            reply = await self.client.request_quota(endpoint, request)
            self.assertFalse(reply.current)
            request = ConfigurationRequest(3, 100)
            reply = await self.client.request_configuration(endpoint, request)
            self.assertIsNone(reply)

    async def test_reply_of_an_absent_process_is_not_current(self):
        request = QuotaRequest(ServiceName("a"), ServiceName("b"), {})
        reply = await self.client.request_quota("127.0.0.1:1", request)
        self.assertFalse(reply.current)
