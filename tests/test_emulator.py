"""The stand-ins keep the protocol that controllers are tested against."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from click.testing import CliRunner

from ryegauge.cli import main
from ryegauge.config import ConfigError, read_toml
from ryegauge.emulator.live import Emulation, Installation, loopback
from ryegauge.emulator.state import StateService
from ryegauge.transport.http import TcpNetwork, encode


def simulated(scenario: Callable[[], Awaitable[Any]]) -> Any:
    return trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


async def call(state: StateService, method: str, target: str, body: Any = None) -> tuple[int, Any]:
    reply = await state.handle(method, target, b"" if body is None else encode(body))
    return reply.status, reply.body


def put(key: str, value: object, **extra: object) -> dict[str, Any]:
    return {"write": key, "data": value, **extra}


def test_the_state_service_is_atomic_and_conditional() -> None:
    async def scenario() -> None:
        state = StateService()
        both = [put("a/1", 1), put("a/2", 2)]
        assert (await call(state, "POST", "/multi", {"if": [], "apply": both}))[0] == 200
        bad = {"if": [{"path": "a/1", "stamp": 9}], "apply": [put("a/3", 3)]}
        status, body = await call(state, "POST", "/multi", bad)
        assert (status, body["failed"]) == (409, ["a/1"])
        assert (await call(state, "GET", "/kv/a/3"))[0] == 404
        assert (await call(state, "GET", "/kv/a/2"))[1]["stamp"] == 1
        late = [put("a/4", 4, tenure=77)]
        assert (await call(state, "POST", "/multi", {"if": [], "apply": late}))[0] == 400

    simulated(scenario)


def test_watches_wait_and_end_and_are_refused_when_too_old() -> None:
    async def scenario() -> list[tuple[float, int, int]]:
        state = StateService()
        seen: list[tuple[float, int, int]] = []

        async def watch(since: int, wait_ms: int) -> None:
            target = f"/watch?under=a/&since={since}&waitMs={wait_ms}"
            status, body = await call(state, "GET", target)
            seen.append((round(trio.current_time()), status, len(body.get("events", ()))))

        async def write(n: int) -> None:
            await call(state, "POST", "/multi", {"if": [], "apply": [put(f"a/{n}", n)]})

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, 0, 10_000)
            await trio.sleep(5)
            await call(state, "POST", "/multi", {"if": [], "apply": [put("b/1", 1)]})
            await trio.sleep(2)
            await write(1)
        await watch(2, 3000)
        for n in range(state.KEPT_CHANGES):
            await write(n)
        await watch(1, 0)
        await watch(2, 0)
        return seen

    assert simulated(scenario) == [(7, 200, 1), (10, 200, 0), (10, 410, 0), (10, 200, 10_000)]


def test_leases_end_late_never_early_and_take_their_keys_along() -> None:
    async def scenario() -> None:
        state = StateService(page=2)
        lease = (await call(state, "POST", "/grants", {"ttlMs": 5000}))[1]["tenure"]
        keys = [put(f"n/{i}", i, tenure=lease) for i in range(3)]
        await call(state, "POST", "/multi", {"if": [], "apply": keys})
        page = (await call(state, "GET", "/kv?under=n/"))[1]
        assert [item["path"] for item in page["items"]] == ["n/0", "n/1"]
        assert page["hasNext"]
        await trio.sleep(4.0)
        assert (await call(state, "POST", f"/grants/{lease}/extend"))[0] == 200
        await trio.sleep(4.9)
        assert (await call(state, "GET", "/kv/n/1"))[0] == 200
        await trio.sleep(0.2)
        assert (await call(state, "GET", "/kv/n/1"))[0] == 404
        assert (await call(state, "POST", f"/grants/{lease}/extend"))[0] == 404

    simulated(scenario)


def test_above_its_limits_the_state_service_says_so() -> None:
    async def scenario() -> None:
        state = StateService(rps=10.0, write_rps=4.0)
        write = {"if": [], "apply": [put("a", 1), put("b", 1), put("c", 1)]}
        assert (await call(state, "POST", "/multi", write))[0] == 200
        assert (await call(state, "POST", "/multi", write))[0] == 429
        got = [(await call(state, "GET", "/kv/a"))[0] for _ in range(20)]
        assert 6 <= got.count(200) <= 9
        assert got[-1] == 429
        await trio.sleep(1.0)
        assert (await call(state, "POST", "/multi", write))[0] == 200

    simulated(scenario)


def test_only_loopback_is_listened_on(tmp_path: Path) -> None:
    assert loopback("127.0.0.1:8080") == ("127.0.0.1", 8080)
    for bad in ("0.0.0.0:80", "10.0.0.1:80", "localhost:80", "127.0.0.1"):
        with pytest.raises(ConfigError):
            loopback(bad)
    result = CliRunner().invoke(main, ["emulate", "--listen", "192.168.0.1:80"])
    assert result.exit_code == 2
    assert "loopback" in result.output


def test_a_wrong_key_of_an_emulation_names_its_place(tmp_path: Path) -> None:
    path = tmp_path / "e.toml"
    for text, says in [("speeed = 1.0", "speeed"), ("speed = 0.0", r"\$\.speed"),
                       ('[[types]]\nname = "x"', r"\$\.types\[0\]"), ("[teams", "TOML")]:
        path.write_text(text)
        with pytest.raises(ConfigError, match=says):
            read_toml(path, Emulation)


def test_a_job_really_runs_on_loopback_sockets(tmp_path: Path) -> None:
    """The README's first example: from submit to done, with a command as the task. Ports
    are this test's own; it waits for as long as it takes, within reason."""
    out = tmp_path / "ran"
    command = ["/bin/sh", "-c", f'echo "$RYEGAUGE_TASK" >> {out}']
    emulation = Emulation(commands={"demo": command}, report_s=0.3, lease_s=4.0, cancel_s=12.0)
    body = {
        "uid": "wk-000001", "duty": "demo", "crew": "feed-ops", "shape": "sweep",
        "urgency": "normal", "pieces": 3, "cpus": 1.0, "cards": 0.0, "memoryGb": 1.0,
        "kit": "img-1", "imageGb": 0.2, "together": False, "spread": False, "loaners": True,
        "expectS": 30.0, "waypointS": 0.0, "stowS": 0.0, "dueS": 300.0,
    }

    async def scenario() -> Any:
        answer: Any = None
        with trio.fail_after(90):
            async with trio.open_nursery() as nursery:
                installation = Installation(emulation, "127.0.0.1:24780")
                nursery.start_soon(installation.run)
                client = TcpNetwork().client("127.0.0.1:24780", max_connections=1, idle_s=9.0)
                status = 0
                while status not in (200, 201):
                    await trio.sleep(0.2)
                    try:
                        status, answer, _ = await client.request(
                            "POST", "/v1/jobs", body, timeout_s=5.0)
                    except Exception:
                        status = 0
                while answer["status"] != "done":
                    await trio.sleep(0.2)
                    status, told, _ = await client.request(
                        "GET", "/v1/jobs/wk-000001", timeout_s=5.0)
                    answer = told if status == 200 else answer
                nursery.cancel_scope.cancel()
        return answer

    assert trio.run(scenario)["done"] == 3
    assert sorted(out.read_text().split()) == [f"wk-000001/{n}" for n in range(3)]
