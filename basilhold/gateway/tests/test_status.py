from basilhold.gateway import RequestMetrics, RequestState
from basilhold.gateway.tests.fixtures import Cell, call
from basilhold.observability import METRICS, Metrics
from basilhold.testing import VirtualTimeTestCase


class StatusTest(VirtualTimeTestCase):
    """Guards against metrics whose names or labels are not declared."""

    async def test_metrics_and_state_dump_contain_requests(self):
        cell = Cell(1)
        async with cell.gateway() as service:
            await call(service)
            await call(service, class_name="order")
            await call(service, class_name="nothing")
            parts = service.parts
            metrics = Metrics(METRICS)
            metrics.add_source(
                RequestMetrics(service, parts.router, parts.holder, parts.once)
            )
            text = metrics.render()[0].decode()
            state = RequestState(service, parts.router, parts.holder).state()
        for line in (
            'basilhold_requests_total{class_name="quote",outcome="ran"} 1',
            'basilhold_bad_input_total{reason="idempotency-key-required"} 1',
            'basilhold_bad_input_total{reason="unknown-class"} 1',
            'basilhold_slot_tokens{service="order-desk",state="idle"} 8',
            'basilhold_request_wait_ratio_count{class_name="quote"} 1',
        ):
            self.assertIn(line, text)
        self.assertEqual(state["slots"][0].held, 8)
