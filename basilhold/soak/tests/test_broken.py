import unittest
from unittest import mock

import msgspec
from expression import Ok

from basilhold.gateway import Drain, DrainEnd, RequestService
from basilhold.nodes.directory import CellDirectory
from basilhold.ports import VmState
from basilhold.relay.state import RelayState
from basilhold.requests import Outcome, Problem, ProblemKind, RequestEnd
from basilhold.sharding import Accepted, JobIntake
from basilhold.soak import SoakError, SoakOptions, SoakRun, run_soak
from basilhold.standins import MemoryWorker, upstreams

SECONDS = 40


class OldDocuments(RelayState):
    """State of a relay that keeps sending the first version."""

    def put_document(self, copy):
        return copy.version == 1 and super().put_document(copy)


class LateStartsRun(SoakRun):
    """Delays half of all messages to workers."""

    def __init__(self, options):
        super().__init__(options)
        adapt = self.soak._adapt

        def adapt_with_delays(entry, platform):
            adapted = adapt(entry, platform)
            adapted.agents.delayed_ratio = 0.5
            return adapted

        self.soak.cell._parts.adapt_platform = adapt_with_delays


class LateAnswersRun(SoakRun):
    """Keeps requests of all classes in flight for long."""

    def __init__(self, options):
        super().__init__(options)
        for upstream in self.soak.cell.upstreams.members.values():
            upstream.behaviour.late_ratio = 0.5


class BrokenVariantTest(unittest.TestCase):
    """Guards the soak's checks: each broken variant of the system must be found."""

    def assert_found(self, pattern, *faults, cell="trakia", make_run=SoakRun):
        options = SoakOptions(1, SECONDS, cell, faults or ("messages late",))
        with self.assertRaisesRegex(SoakError, pattern):
            run_soak(options, make_run)

    def test_worker_that_ignores_epochs_and_attempts(self):
        with (
            mock.patch.object(MemoryWorker, "_check_epoch", lambda *_: None),
            mock.patch.object(MemoryWorker, "_refusal", lambda *_: None),
        ):
            self.assert_found(
                "runs on|started twice|exceeds its capacity", make_run=LateStartsRun
            )

    def test_upstream_that_mixes_up_answers(self):
        right, last = upstreams.answer_body, ["plain-0~0"]

        def wrong(request_id, size):
            last.append(request_id)
            return right(last[-2], size)

        with mock.patch.object(upstreams, "answer_body", wrong):
            self.assert_found("got the answer to")

    def test_gateway_that_reports_not_run_after_sending(self):
        async def finish(service, course, end, sink):
            if end.complete:
                return await right(service, course, end, sink)
            kind = ProblemKind.UPSTREAM_FAILED
            return RequestEnd(
                Outcome.NOT_RUN, Problem(kind, Outcome.NOT_RUN, "broken", 1)
            )

        right = RequestService._finish
        with mock.patch.object(RequestService, "_finish", finish):
            self.assert_found("reported as not run", "upstreams cut connections")

    def test_relay_that_sends_older_documents(self):
        with mock.patch("basilhold.relay.relay.RelayState", OldDocuments):
            self.assert_found("lacks version")

    def test_processes_that_do_not_see_that_upstreams_leave(self):
        right = CellDirectory.upstreams

        def all_live(directory):
            return tuple(
                msgspec.structs.replace(record, state=VmState.LIVE)
                for record in right(directory)
            )

        with mock.patch.object(CellDirectory, "upstreams", all_live):
            self.assert_found("sends new work", "upstream leaves")

    def test_planned_stop_that_does_not_wait(self):
        async def finish(drain):
            return DrainEnd.TIME_LIMIT

        with mock.patch.object(Drain, "_finish_requests", finish):
            self.assert_found(
                "has cut", "planned stop", cell="fjordlys", make_run=LateAnswersRun
            )

    def test_gateway_that_accepts_a_job_without_storing_it(self):
        async def submit(intake, submission):
            return Ok(Accepted(submission.spec.job_id, False))

        with mock.patch.object(JobIntake, "submit", submit):
            self.assert_found("is not in the store")
