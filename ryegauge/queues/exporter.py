"""Prometheus exporter for the queue metrics: text format on a port of its own.

An optional dependency; not loaded without `metrics.listen`.
"""

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ryegauge.queues.meter import Meter
from ryegauge.transport.http import Network, Reply


class QueueCollector(Collector):
    """Exposes the meters, by binding name, as `ryegauge_queue_*` metrics."""

    def __init__(self, meters: Mapping[str, Meter]) -> None:
        self._meters = meters

    def collect(self) -> Iterator[Metric]:
        """All metric families with their present values."""

        def counter(
            name: str, text: str, label: str, samples: Iterable[tuple[str, str, float]]
        ) -> CounterMetricFamily:
            family = CounterMetricFamily(name, text, labels=["binding", label])
            for binding, value, count in samples:
                family.add_metric([binding, value], count)
            return family

        meters = self._meters.items()
        yield counter(
            "ryegauge_queue_messages",
            "Messages taken, by what became of them.",
            "fate",
            ((b, fate, n) for b, m in meters for fate, n in m.fates.items()),
        )
        yield counter(
            "ryegauge_queue_answers",
            "Answers given, by the job's outcome.",
            "outcome",
            ((b, outcome, n) for b, m in meters for outcome, n in m.answers.items()),
        )
        totals = {
            "retries": "Attempts to record a message that were refused for now.",
            "connections": "Connections to a broker that could be used.",
            "settled": "Messages dealt with.",
            "record_s": "Seconds from delivery to being dealt with, summed over messages.",
        }
        for field, text in totals.items():
            name = "record_seconds" if field == "record_s" else field
            family = CounterMetricFamily(f"ryegauge_queue_{name}", text, labels=["binding"])
            for binding, meter in meters:
                family.add_metric([binding], getattr(meter, field))
            yield family
        gauges = {
            "in_hand": "Messages taken and not yet acknowledged.",
            "window": "Messages asked for at once; 0 while another controller takes them.",
        }
        for field, text in gauges.items():
            gauge = GaugeMetricFamily(f"ryegauge_queue_{field}", text, labels=["binding"])
            for binding, meter in meters:
                gauge.add_metric([binding], getattr(meter, field))
            yield gauge


async def serve(network: Network, address: str, meters: Mapping[str, Meter]) -> None:
    """Serves `GET /metrics` on the address until cancelled."""
    registry = CollectorRegistry()
    registry.register(QueueCollector(meters))

    async def handle(method: str, target: str, body: bytes) -> Reply:
        if method != "GET" or target.partition("?")[0] != "/metrics":
            return Reply(404, b"GET /metrics\n")
        return Reply(200, generate_latest(registry))

    await network.serve(address, handle, max_connections=8, idle_s=60.0, request_s=10.0)
