"""The `queues` commands against an emulated broker on loopback sockets; the metrics exporter."""

import os
import random
import threading
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from ryegauge.cli import main
from ryegauge.emulator.broker import Broker
from ryegauge.queues.meter import Meter

QUEUES_TOML = """
[[bindings]]
name = "picks"
queue = "work"
team = "feed-ops"
job_class = "pick"
defaults = {{ cpus = 1.0, memoryGb = 1.0, expectS = 1.0 }}
[[bindings.brokers]]
url = "amqp://127.0.0.1:{port}/"
"""


def test_put_count_and_take_against_a_broker(tmp_path: Path) -> None:
    ports: list[int] = []
    started, stopped = threading.Event(), threading.Event()

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            broker = Broker(nursery, random.Random(1))
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, broker.serve, listeners)
            ports.append(listeners[0].socket.getsockname()[1])
            started.set()
            while not stopped.is_set():
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    try:
        assert started.wait(30)
        path = tmp_path / "queues.toml"
        path.write_text(QUEUES_TOML.format(port=ports[0]))
        body = tmp_path / "body.json"
        body.write_text('{"pieces": 2, "kit": "img-1"}')
        file_option = ["--file", str(path)]

        def call(*arguments: str) -> tuple[int, str]:
            result = CliRunner().invoke(main, ["queues", *arguments])
            return result.exit_code, result.output

        code, output = call("count", *file_option, "picks")
        assert code == 1
        assert "404" in output
        put_arguments = ("put", *file_option, "--id", "m-1", "--declare", "picks", str(body))
        code, uid = call(*put_arguments)
        assert code == 0
        assert uid.startswith("wk-9")
        assert call(*put_arguments) == (0, uid)  # the same message id yields the same job
        assert call("count", *file_option, "picks") == (0, "work: 2 messages, 0 consumers\n")
        directory = str(tmp_path / "got")
        code, output = call(
            "take", *file_option, "--most", "2", "--out", directory, "picks", "work"
        )
        assert code == 0
        assert (tmp_path / "got" / "m-1.json").read_text() == body.read_text()
        assert call("count", *file_option, "picks") == (0, "work: 0 messages, 0 consumers\n")
        body.write_text('{"pieces": 0, "kit": "x"}')
        code, output = call(*put_arguments)
        assert code == 2
        assert "pieces" in output
        code, output = call("take", *file_option, "--wait", "0.2", "picks", "work")
        assert code == 1
        assert "nothing received within 0.2 s" in output
    finally:
        stopped.set()
        thread.join()
    code, output = call("count", *file_option, "picks")
    assert code == 3
    assert os.fspath(path) not in output


def test_metrics_are_exported_in_prometheus_format() -> None:
    pytest.importorskip("prometheus_client")
    from prometheus_client import CollectorRegistry, generate_latest

    from ryegauge.queues.exporter import QueueCollector

    meter = Meter()
    meter.fates["recorded"] = 3
    meter.answers["done"] = 2
    meter.window = 20
    registry = CollectorRegistry()
    registry.register(QueueCollector({"picks": meter}))
    text = generate_latest(registry).decode()
    assert 'ryegauge_queue_messages_total{binding="picks",fate="recorded"} 3.0' in text
    assert 'ryegauge_queue_answers_total{binding="picks",outcome="done"} 2.0' in text
    assert 'ryegauge_queue_window{binding="picks"} 20.0' in text
