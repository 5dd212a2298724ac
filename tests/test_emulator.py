"""The stand-ins keep the protocol that controllers are tested against."""

import math
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from click.testing import CliRunner
from conftest import job_body
from days import play
from test_world import some_controllers

from ryegauge.cli import main
from ryegauge.config import ConfigError, read_toml
from ryegauge.emulator.live import Emulation, Installation, parse_loopback_address
from ryegauge.emulator.network import KEPT_REPORTS_PER_SOURCE
from ryegauge.emulator.state import StateService
from ryegauge.emulator.waiting import CHECK_INTERVAL_S, WaitingChecker
from ryegauge.emulator.workers import Attempt
from ryegauge.emulator.world import World
from ryegauge.transport.http import Reply, ResponseTimeout, TcpNetwork, decode, encode


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
        for n in range(state.MAX_LOG_EVENTS):
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
    assert parse_loopback_address("127.0.0.1:8080") == ("127.0.0.1", 8080)
    for bad in ("0.0.0.0:80", "10.0.0.1:80", "localhost:80", "127.0.0.1"):
        with pytest.raises(ConfigError):
            parse_loopback_address(bad)
    result = CliRunner().invoke(main, ["emulate", "--listen", "192.168.0.1:80"])
    assert result.exit_code == 2
    assert "loopback" in result.output


def test_a_wrong_key_of_an_emulation_names_its_place(tmp_path: Path) -> None:
    path = tmp_path / "e.toml"
    for text, says in [
        ("speeed = 1.0", "speeed"),
        ("speed = 0.0", r"\$\.speed"),
        ('[[types]]\nname = "x"', r"\$\.types\[0\]"),
        ("[teams", "TOML"),
    ]:
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
        "uid": "wk-000001",
        "duty": "demo",
        "crew": "feed-ops",
        "shape": "sweep",
        "urgency": "normal",
        "pieces": 3,
        "cpus": 1.0,
        "cards": 0.0,
        "memoryGb": 1.0,
        "kit": "img-1",
        "imageGb": 0.2,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectS": 30.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": 300.0,
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
                            "POST", "/v1/jobs", body, timeout_s=5.0
                        )
                    except Exception:
                        status = 0
                while answer["status"] != "done":
                    await trio.sleep(0.2)
                    status, told, _ = await client.request(
                        "GET", "/v1/jobs/wk-000001", timeout_s=5.0
                    )
                    answer = told if status == 200 else answer
                nursery.cancel_scope.cancel()
        return answer

    assert trio.run(scenario)["done"] == 3
    assert sorted(out.read_text().split()) == [f"wk-000001/{n}" for n in range(3)]


def surrounded(tmp_path: Path, scenario: Callable[[World], Awaitable[Any]]) -> Any:
    """A world without controllers and with time that passes, for what surrounds them."""

    async def run() -> Any:
        world = World(some_controllers(tmp_path, 3), 0)
        async with trio.open_nursery() as nursery:
            world.nursery = world.network.nursery = nursery
            world.network.handlers[world.settings[0].outside.state] = world.state.handle
            result = await scenario(world)
            nursery.cancel_scope.cancel()
        return result

    return simulated(run)


def listen(world: World) -> list[tuple[str, int, int]]:
    """Who reported what to whom: (address, shift, tally), each answered with a token."""
    heard: list[tuple[str, int, int]] = []

    def handler(address: str) -> Any:
        async def handle(method: str, target: str, body: bytes) -> Reply:
            report = decode(body)
            heard.append((address, report["shift"], report["tally"]))
            return Reply(200, {"baton": 1, "orders": []})

        return handle

    for address in world.controllers.values():
        world.network.handlers[address] = handler(address)
    return heard


def test_a_mute_machine_reaches_nobody_and_obeys_direct_commands(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        heard = listen(world)
        worker = world.workers[world.rent("small", "a", True)]
        await trio.sleep(30.0)
        with world.mute([worker.name]):
            await trio.sleep(0.1)  # what was on its way
            count = len(heard)
            for baton, shift, expected in ((1, 1, 200), (0, 1, 409), (1, 2, 409)):
                body = {"baton": baton, "shift": shift, "orders": []}
                assert (
                    expected
                    == (
                        await world.network.call(
                            "10.0.0.1", worker.address, "POST", "/commands", body, 2.0
                        )
                    )[0]
                )
            await trio.sleep(world.lease_s + 1.0)
            assert count > 10
            assert len(heard) == count
            assert worker.session == 2  # a direct answer renews no lease
        await trio.sleep(10.0)
        assert len(heard) > count

    surrounded(tmp_path, scenario)


def test_of_a_lost_write_only_the_answer_is_lost(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        service = world.settings[0].outside.state
        write = {"if": [], "apply": [put("a/1", 1)]}
        with world.late_writes(1.0, at_once=True):
            with pytest.raises(ResponseTimeout):
                await world.network.call("10.0.0.1", service, "POST", "/multi", write, 0.1)
            assert world.state.data["a/1"][1] == 1
            answer = await world.network.call("10.0.0.2", service, "GET", "/kv/a/1", None, 0.1)
            assert answer[0] == 200
            # What is refused is not carried out either.
            with world.refused_by_state(0):
                answer = await world.network.call("10.0.0.1", service, "POST", "/multi", write, 0.1)
                assert (answer[0], world.state.revision) == (503, 1)

    surrounded(tmp_path, scenario)


def test_kept_reports_arrive_at_all_once_a_new_leader_is_on_record(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        heard = listen(world)
        world.rent("small", "a", True)
        with world.late_reports(1.0, for_next=True):
            await trio.sleep(40.0)
        count = len(heard)
        assert len({tally for _, _, tally in heard}) == count  # nothing twice so far
        for expected in (3 * KEPT_REPORTS_PER_SOURCE, 0):
            before = len(heard)
            await call(world.state, "POST", "/multi", {"if": [], "apply": [put("r/l", {})]})
            await trio.sleep(world.report_s)
            old = [one for one in heard[before:] if one[2] <= count]
            assert len(set(old)) == len(old) == expected

    surrounded(tmp_path, scenario)


SPEC: dict[str, Any] = {
    **job_body("wk-1", pieces=1),
    "really": 5.0,
    "broken": False,
}


@pytest.mark.parametrize(
    ("first", "then", "sent", "rule"),
    [
        # Heard at 1, the next answer at 3: what was sent before 1 may be overtaken.
        ((201, "queued"), ("poll", 404, None), 2.0, "forgotten"),
        ((201, "queued"), ("poll", 404, None), 1.0, "forgotten"),
        ((201, "queued"), ("poll", 404, None), 0.5, None),
        ((201, "queued"), ("submit", 422, None), 0.5, "forgotten"),
        ((200, "cancelled"), ("submit", 201, "queued"), 2.0, "went_back"),
        ((200, "cancelled"), ("submit", 201, "queued"), None, "went_back"),
        ((200, "cancelled"), ("submit", 201, "queued"), 0.5, None),
        ((200, "cancelled"), ("poll", 200, "running"), 1.0, "went_back"),
        ((200, "cancelled"), ("cancel", 200, "done"), 0.5, "went_back"),
    ],
)
def test_an_answer_is_held_against_what_was_heard_before_it_was_asked(
    tmp_path: Path,
    first: tuple[int, str],
    then: tuple[str, int, str | None],
    sent: float | None,
    rule: str | None,
) -> None:
    async def scenario(world: World) -> list[str]:
        checker = world.checker
        checker.specs["wk-1"], checker.asked_to_cancel = SPEC, {"wk-1"}
        world.results = {"wk-1/0"}
        await trio.sleep(1.0)
        checker.answered("wk-1", first[0], {"status": first[1]}, "poll", 0.0)
        await trio.sleep(2.0)
        asked, status, says = then
        checker.answered("wk-1", status, says and {"status": says}, asked, sent)
        return checker.broken

    broken = surrounded(tmp_path, scenario)
    assert [line.split()[1].rstrip(":") for line in broken] == ([rule] if rule else [])


def test_a_job_that_cannot_run_is_not_to_be_accepted(tmp_path: Path) -> None:
    async def scenario(world: World) -> list[str]:
        world.checker.unrunnable.add("wk-99")
        for status in (400, 422, 404, 503, 201):
            world.checker.answered("wk-99", status, {"status": "queued"}, "submit", 0.0)
        return world.checker.broken

    assert [line.split()[1] for line in surrounded(tmp_path, scenario)] == ["took_impossible:"]


@pytest.mark.parametrize(
    "why_not",
    [
        "",
        "troubled",
        "soon",
        "over",
        "cancelled",
        "placed",
        "no room",
        "limit",
        "type",
        "zone",
        "spot",
        "needs",
        "hung",
        "down",
    ],
)
def test_a_job_left_waiting_beside_room_is_told(tmp_path: Path, why_not: str) -> None:
    """A machine of four cores, a task of two; each of the reasons for which it may wait."""

    async def scenario(world: World) -> list[str]:
        checker, spec = world.checker, dict(SPEC)
        checker.specs |= {"wk-1": spec, "wk-2": {**SPEC, "cpus": 3.0, "crew": "blue"}}
        checker.accepted.add("wk-1")
        worker, other = (world.workers[world.rent(t, "a", True)] for t in ("small", "large"))
        worker.boot_factor = other.boot_factor = math.inf  # they do nothing by themselves
        worker.up, world.troubles_ended_at = True, 0.0
        match why_not:
            case "troubled":
                world.troubles_ended_at = 60.0
            case "over":
                checker.final["wk-1"] = "done"
            case "cancelled":
                checker.asked_to_cancel.add("wk-1")
            case "placed":
                worker.tasks["wk-1/0"] = Attempt(1)
            case "no room":
                worker.tasks["wk-2/0"] = Attempt(1)
            case "limit":
                checker.specs["wk-2"]["cpus"], checker.specs["wk-2"]["crew"] = 31.0, "red"
                other.tasks["wk-2/0"] = Attempt(1)
            case "type":
                spec["builds"] = ["large"]
            case "zone":
                spec["district"] = "b"
            case "spot":
                spec["loaners"] = False
            case "needs":
                spec["awaits"] = ["wk-2"]
            case "hung":
                worker.hung_until = 50.0
            case "down":
                world.lose(worker)
        waiting = WaitingChecker(world)
        for _ in range(19 if why_not == "soon" else 25):
            waiting.check()
            await trio.sleep(CHECK_INTERVAL_S)
        return checker.broken

    broken = surrounded(tmp_path, scenario)
    told = [line.split()[1] for line in broken]
    assert told == ([] if why_not else ["left_waiting:"])


def test_users_look_closely_ask_oddly_and_cancel_at_the_end(tmp_path: Path) -> None:
    """Each is done when it should be, and controllers keep the rules under it."""
    asked: list[tuple[str, str, float, int]] = []
    hung: set[str] = set()

    async def script(world: World) -> None:
        answered = world.checker.answered

        def heard(uid: str, status: int, body: Any, what: str, sent: float | None = None) -> None:
            asked.append((uid, what, sent or 0.0, status))
            answered(uid, status, body, what, sent)

        world.checker.answered = heard  # type: ignore[method-assign]
        await trio.sleep(10.0)
        with world.close_looks(), world.cancel_at_end(1.0), world.odd_requests():
            await trio.sleep(50.0)
        before = trio.current_time()
        await world.cancel_now(2, 5.0)
        hung.update(w.name for w in world.workers.values() if w.hung_until == before + 5.0)

    jobs = [{"pieces": 2, "cpus": 1.0, "delay": 3.0 * n} for n in range(10)]
    jobs += [{"pieces": 1, "cpus": 1.0, "delay": 30.0, "really": 300.0} for _ in range(4)]
    world = play(some_controllers(tmp_path, 3), 3, jobs, script, 100.0)
    assert world.checker.broken == []
    odd = [
        status
        for uid, what, _, status in asked
        if uid in world.checker.unrunnable and what == "submit"
    ]
    assert len(odd) > 20
    assert set(odd) <= {400, 422}
    ends = {e.uid: e.at for e in world.happened if e.what == "ended" and e.detail == "done"}
    close = [
        uid
        for uid, end in ends.items()
        if 10.0 < end < 60.0
        and sum(
            u == uid and what == "poll" and 0.0 <= sent - end < 0.03 for u, what, sent, _ in asked
        )
        >= 9
    ]
    assert len(close) >= 6
    at_end = {
        u
        for u, what, sent, _ in asked
        if what == "cancel" and u in ends and 0.0 <= sent - ends[u] <= 0.6
    }
    assert len(at_end) >= 6
    at_once = {u for u, what, sent, _ in asked if what == "cancel" and 60.0 <= sent <= 60.3}
    assert len(at_once) == 2
    assert 1 <= len(hung) <= 2
