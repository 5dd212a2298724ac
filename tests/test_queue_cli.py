"""The command line of queues against a whole installation on loopback sockets."""

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

FILE = """
[[bindings]]
name = "picks"
queue = "work"
team = "feed-ops"
job_class = "pick"
defaults = {{ cpus = 1.0, memoryGb = 1.0, expectS = 1.0 }}
[[bindings.brokers]]
url = "amqp://127.0.0.1:{port}/"
"""


def test_a_message_is_put_counted_and_taken(tmp_path: Path) -> None:
    ready: list[int] = []
    up, over = threading.Event(), threading.Event()

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            broker = Broker(nursery, random.Random(1))
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, broker.serve, listeners)
            ready.append(listeners[0].socket.getsockname()[1])
            up.set()
            while not over.is_set():
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    try:
        assert up.wait(30)
        path = tmp_path / "queues.toml"
        path.write_text(FILE.format(port=ready[0]))
        body = tmp_path / "body.json"
        body.write_text('{"pieces": 2, "kit": "img-1"}')
        at = ["--file", str(path)]

        def call(*words: str) -> tuple[int, str]:
            result = CliRunner().invoke(main, ["queues", *words])
            return result.exit_code, result.output

        code, said = call("count", *at, "picks")
        assert code == 1
        assert "404" in said
        put = ("put", *at, "--id", "m-1", "--declare", "picks", str(body))
        code, uid = call(*put)
        assert code == 0
        assert uid.startswith("wk-9")
        assert call(*put) == (0, uid)  # the same id is the same job
        assert call("count", *at, "picks") == (0, "work: 2 messages, 0 consumers\n")
        out = str(tmp_path / "got")
        code, said = call("take", *at, "--most", "2", "--out", out, "picks", "work")
        assert code == 0
        assert (tmp_path / "got" / "m-1.json").read_text() == body.read_text()
        assert call("count", *at, "picks") == (0, "work: 0 messages, 0 consumers\n")
        body.write_text('{"pieces": 0, "kit": "x"}')
        code, said = call(*put)
        assert code == 2
        assert "pieces" in said
        code, said = call("take", *at, "--wait", "0.2", "picks", "work")
        assert code == 1
        assert "nothing came within 0.2 s" in said
    finally:
        over.set()
        thread.join()
    code, said = call("count", *at, "picks")
    assert code == 3
    assert os.fspath(path) not in said


def test_figures_are_shown_in_prometheus_format() -> None:
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
