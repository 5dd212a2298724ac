"""The emulators follow the protocol, inject faults as described and detect violations."""

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
from test_world import controller_settings

from ryegauge.cli import main
from ryegauge.config import ConfigError, read_toml
from ryegauge.emulator.live import Emulation, Installation, parse_loopback_address
from ryegauge.emulator.network import KEPT_REPORTS_PER_SOURCE
from ryegauge.emulator.state import StateService
from ryegauge.emulator.waiting import CHECK_INTERVAL_S, WaitingChecker
from ryegauge.emulator.workers import Attempt
from ryegauge.emulator.world import World
from ryegauge.transport.http import Reply, ResponseTimeout, TcpNetwork, decode, encode


def run_in_simulated_time(scenario: Callable[[], Awaitable[Any]]) -> Any:
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

    run_in_simulated_time(scenario)


def test_watches_wait_time_out_and_fail_after_compaction() -> None:
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

    assert run_in_simulated_time(scenario) == [
        (7, 200, 1),
        (10, 200, 0),
        (10, 410, 0),
        (10, 200, 10_000),
    ]


def test_leases_expire_with_their_keys_after_the_full_ttl() -> None:
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

    run_in_simulated_time(scenario)


def test_the_state_service_answers_429_above_its_limits() -> None:
    async def scenario() -> None:
        state = StateService(rps=10.0, write_rps=4.0)
        write = {"if": [], "apply": [put("a", 1), put("b", 1), put("c", 1)]}
        assert (await call(state, "POST", "/multi", write))[0] == 200
        assert (await call(state, "POST", "/multi", write))[0] == 429
        statuses = [(await call(state, "GET", "/kv/a"))[0] for _ in range(20)]
        assert 6 <= statuses.count(200) <= 9
        assert statuses[-1] == 429
        await trio.sleep(1.0)
        assert (await call(state, "POST", "/multi", write))[0] == 200

    run_in_simulated_time(scenario)


def test_only_loopback_addresses_are_accepted(tmp_path: Path) -> None:
    assert parse_loopback_address("127.0.0.1:8080") == ("127.0.0.1", 8080)
    for bad in ("0.0.0.0:80", "10.0.0.1:80", "localhost:80", "127.0.0.1"):
        with pytest.raises(ConfigError):
            parse_loopback_address(bad)
    result = CliRunner().invoke(main, ["emulate", "--listen", "192.168.0.1:80"])
    assert result.exit_code == 2
    assert "loopback" in result.output


def test_a_configuration_error_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "e.toml"
    for text, expected_error in [
        ("speeed = 1.0", "speeed"),
        ("speed = 0.0", r"\$\.speed"),
        ('[[types]]\nname = "x"', r"\$\.types\[0\]"),
        ("[teams", "TOML"),
    ]:
        path.write_text(text)
        with pytest.raises(ConfigError, match=expected_error):
            read_toml(path, Emulation)


def test_a_job_runs_to_its_end_on_loopback_sockets(tmp_path: Path) -> None:
    """The first example in the README: a job whose tasks run a command, from its submission until
    it is done. Uses ports that no other test uses; waits for up to 90 s."""
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
                    status, body_or_none, _ = await client.request(
                        "GET", "/v1/jobs/wk-000001", timeout_s=5.0
                    )
                    answer = body_or_none if status == 200 else answer
                nursery.cancel_scope.cancel()
        return answer

    assert trio.run(scenario)["done"] == 3
    assert sorted(out.read_text().split()) == [f"wk-000001/{n}" for n in range(3)]


def run_with_world(tmp_path: Path, scenario: Callable[[World], Awaitable[Any]]) -> Any:
    """Runs the scenario in a simulated installation without controllers."""

    async def run() -> Any:
        world = World(controller_settings(tmp_path, 3), 0)
        async with trio.open_nursery() as nursery:
            world.nursery = world.network.nursery = nursery
            world.network.handlers[world.settings[0].outside.state] = world.state.handle
            result = await scenario(world)
            nursery.cancel_scope.cancel()
        return result

    return run_in_simulated_time(run)


def record_reports(world: World) -> list[tuple[str, int, int]]:
    """Serves all controllers' addresses; the returned list receives (address, session, sequence
    number) of each report."""
    reports: list[tuple[str, int, int]] = []

    def handler(address: str) -> Any:
        async def handle(method: str, target: str, body: bytes) -> Reply:
            report = decode(body)
            reports.append((address, report["shift"], report["tally"]))
            return Reply(200, {"baton": 1, "orders": []})

        return handle

    for address in world.controllers.values():
        world.network.handlers[address] = handler(address)
    return reports


def test_a_mute_machine_sends_no_reports_and_accepts_commands(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        reports = record_reports(world)
        worker = world.workers[world.rent("small", "a", True)]
        await trio.sleep(30.0)
        with world.outbound_loss([worker.name]):
            await trio.sleep(0.1)  # reports in flight arrive
            count = len(reports)
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
            assert len(reports) == count
            assert worker.session == 2  # a direct answer renews no lease
        await trio.sleep(10.0)
        assert len(reports) > count

    run_with_world(tmp_path, scenario)


def test_a_lost_write_is_executed_without_an_answer(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        service = world.settings[0].outside.state
        write = {"if": [], "apply": [put("a/1", 1)]}
        with world.late_writes(1.0, at_once=True):
            with pytest.raises(ResponseTimeout):
                await world.network.call("10.0.0.1", service, "POST", "/multi", write, 0.1)
            assert world.state.data["a/1"][1] == 1
            answer = await world.network.call("10.0.0.2", service, "GET", "/kv/a/1", None, 0.1)
            assert answer[0] == 200
            # A transaction that is answered 503 is not executed.
            with world.refused_by_state(0):
                answer = await world.network.call("10.0.0.1", service, "POST", "/multi", write, 0.1)
                assert (answer[0], world.state.revision) == (503, 1)

    run_with_world(tmp_path, scenario)


def test_kept_reports_reach_all_controllers_after_a_leader_change(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        reports = record_reports(world)
        world.rent("small", "a", True)
        with world.late_reports(1.0, for_next=True):
            await trio.sleep(40.0)
        count = len(reports)
        assert len({tally for _, _, tally in reports}) == count  # no duplicates so far
        for expected in (3 * KEPT_REPORTS_PER_SOURCE, 0):
            before = len(reports)
            await call(world.state, "POST", "/multi", {"if": [], "apply": [put("r/l", {})]})
            await trio.sleep(world.report_s)
            old = [one for one in reports[before:] if one[2] <= count]
            assert len(set(old)) == len(old) == expected

    run_with_world(tmp_path, scenario)


def record_commands(world: World, address: str) -> list[tuple[float, int]]:
    """Serves a worker's address; the returned list receives (time, token) of each request."""
    requests: list[tuple[float, int]] = []

    async def handle(method: str, target: str, body: bytes) -> Reply:
        requests.append((trio.current_time(), decode(body)["baton"]))
        return Reply(200, {})

    world.network.handlers[address] = handle
    return requests


@pytest.mark.parametrize("late", [False, True])
def test_direct_commands_come_late_and_again(tmp_path: Path, late: bool) -> None:
    """A late command is not answered and comes once, 2 to 16 s late; of an answered or a late one
    a copy follows."""

    async def scenario(world: World) -> None:
        requests = record_commands(world, "m-9:9000")
        began = trio.current_time()
        share = 1.0 if late else 0.0
        with world.late_commands(share), world.command_copies(1.0):
            for token in range(1, 11):
                body = {"baton": token, "shift": 1, "orders": []}
                sent = world.network.call("10.0.0.1", "m-9:9000", "POST", "/commands", body, 0.1)
                if late:
                    with pytest.raises(ResponseTimeout):
                        await sent
                else:
                    assert (await sent)[0] == 200
        await trio.sleep(80.0)
        for token in range(1, 11):
            first, copy = (at - began for at, other in requests if other == token)
            assert (1.9 < first < 17.1) == late
            assert first + 1.9 < copy < first + 1.5 * 35.0 + 0.1
        count = len(requests)
        body = {"baton": 99, "shift": 1, "orders": []}
        await world.network.call("10.0.0.1", "m-9:9000", "POST", "/commands", body, 0.1)
        await trio.sleep(80.0)
        assert len(requests) == count + 1  # none is late or copied any more

    run_with_world(tmp_path, scenario)


def test_a_worker_keeps_each_attempt_until_it_is_forgotten(tmp_path: Path) -> None:
    """`run` has no effect for an attempt in any state, and starts it again once it is forgotten;
    beside a living attempt of its task it is refused as `busy`, beside an ended one it starts."""

    async def scenario(world: World) -> None:
        record_reports(world)
        world.checker.specs["wk-1"] = dict(SPEC)
        worker = world.workers[world.rent("small", "a", True)]
        await trio.sleep(30.0)

        async def command(verb: str, number: int) -> dict[int, tuple[str, str | None]]:
            order = {"verb": verb, "piece": "wk-1/0", "try": number, "leewayS": 0.0}
            body = {"baton": 1, "shift": worker.session, "orders": [order]}
            _, report, _ = await world.network.call(
                "10.0.0.1", worker.address, "POST", "/commands", body, 2.0
            )
            return {entry["try"]: (entry["status"], entry["cause"]) for entry in report["pieces"]}

        stopped = ("ended", "stopped")
        assert await command("run", 1) == {1: ("fetching", None)}
        assert await command("run", 2) == {1: ("fetching", None), 2: ("ended", "busy")}
        assert await command("kill", 1) == {1: stopped, 2: ("ended", "busy")}
        assert await command("forget", 2) == {1: stopped}
        assert await command("run", 1) == {1: stopped}
        assert await command("run", 3) == {1: stopped, 3: ("fetching", None)}
        assert await command("forget", 3) == {1: stopped, 3: ("fetching", None)}
        assert await command("kill", 3) == {1: stopped, 3: stopped}
        assert await command("forget", 1) == {3: stopped}
        assert await command("run", 1) == {3: stopped, 1: ("fetching", None)}

    run_with_world(tmp_path, scenario)


SPEC: dict[str, Any] = {
    **job_body("wk-1", pieces=1),
    "really": 5.0,
    "broken": False,
}


@pytest.mark.parametrize(
    ("first", "then", "sent", "rule"),
    [
        # The first answer comes at 1 s, the next at 3 s: a request that was sent before 1 s may
        # be answered with an older status.
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
def test_an_answer_is_checked_against_answers_before_its_request(
    tmp_path: Path,
    first: tuple[int, str],
    then: tuple[str, int, str | None],
    sent: float | None,
    rule: str | None,
) -> None:
    async def scenario(world: World) -> list[str]:
        checker = world.checker
        checker.specs["wk-1"], checker.cancel_requested = SPEC, {"wk-1"}
        world.results = {"wk-1/0"}
        await trio.sleep(1.0)
        checker.answered("wk-1", first[0], {"status": first[1]}, "poll", 0.0)
        await trio.sleep(2.0)
        action, status, job_status = then
        checker.answered("wk-1", status, job_status and {"status": job_status}, action, sent)
        return checker.broken

    broken = run_with_world(tmp_path, scenario)
    assert [line.split()[1].rstrip(":") for line in broken] == ([rule] if rule else [])


def test_accepting_an_unrunnable_job_is_a_violation(tmp_path: Path) -> None:
    async def scenario(world: World) -> list[str]:
        world.checker.unrunnable.add("wk-99")
        for status in (400, 422, 404, 503, 201):
            world.checker.answered("wk-99", status, {"status": "queued"}, "submit", 0.0)
        return world.checker.broken

    assert [line.split()[1] for line in run_with_world(tmp_path, scenario)] == ["took_impossible:"]


@pytest.mark.parametrize(
    "obstacle",
    [
        "",
        "troubled",
        "soon",
        "over",
        "cancelled",
        "placed",
        "no capacity",
        "limit",
        "type",
        "zone",
        "spot",
        "needs",
        "hung",
        "down",
    ],
)
def test_a_job_left_waiting_beside_free_capacity_is_reported(tmp_path: Path, obstacle: str) -> None:
    """A task of two cores fits on a machine of four: with no `obstacle` the wait is reported, with
    each of the obstacles it is legitimate."""

    async def scenario(world: World) -> list[str]:
        checker, spec = world.checker, dict(SPEC)
        checker.specs |= {"wk-1": spec, "wk-2": {**SPEC, "cpus": 3.0, "crew": "blue"}}
        checker.accepted.add("wk-1")
        worker, other = (world.workers[world.rent(t, "a", True)] for t in ("small", "large"))
        worker.boot_factor = other.boot_factor = math.inf  # neither boots by itself
        worker.up, world.troubles_ended_at = True, 0.0
        match obstacle:
            case "troubled":
                world.troubles_ended_at = 60.0
            case "over":
                checker.final["wk-1"] = "done"
            case "cancelled":
                checker.cancel_requested.add("wk-1")
            case "placed":
                worker.attempts["wk-1/0", 1] = Attempt(1)
            case "no capacity":
                worker.attempts["wk-2/0", 1] = Attempt(1)
            case "limit":
                checker.specs["wk-2"]["cpus"], checker.specs["wk-2"]["crew"] = 31.0, "red"
                other.attempts["wk-2/0", 1] = Attempt(1)
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
                world.fail_machine(worker)
        waiting = WaitingChecker(world)
        for _ in range(19 if obstacle == "soon" else 25):
            waiting.check()
            await trio.sleep(CHECK_INTERVAL_S)
        return checker.broken

    broken = run_with_world(tmp_path, scenario)
    reported = [line.split()[1] for line in broken]
    assert reported == ([] if obstacle else ["left_waiting:"])


def test_users_poll_closely_send_odd_requests_and_cancel_jobs(tmp_path: Path) -> None:
    """Each behaviour shows in the requests at its time, and no rule is violated under it."""
    requests: list[tuple[str, str, float, int]] = []
    hung: set[str] = set()

    async def script(world: World) -> None:
        check_answer = world.checker.answered

        def record_answer(
            uid: str, status: int, body: Any, what: str, sent: float | None = None
        ) -> None:
            requests.append((uid, what, sent or 0.0, status))
            check_answer(uid, status, body, what, sent)

        world.checker.answered = record_answer  # type: ignore[method-assign]
        await trio.sleep(10.0)
        with world.close_looks(), world.cancel_at_end(1.0), world.odd_requests():
            await trio.sleep(50.0)
        before = trio.current_time()
        await world.cancel_now(2, 5.0)
        hung.update(w.name for w in world.workers.values() if w.hung_until == before + 5.0)

    jobs = [{"pieces": 2, "cpus": 1.0, "delay": 3.0 * n} for n in range(10)]
    jobs += [{"pieces": 1, "cpus": 1.0, "delay": 30.0, "really": 300.0} for _ in range(4)]
    world = play(controller_settings(tmp_path, 3), 3, jobs, script, 100.0)
    assert world.checker.broken == []
    odd_statuses = [
        status
        for uid, what, _, status in requests
        if uid in world.checker.unrunnable and what == "submit"
    ]
    assert len(odd_statuses) > 20
    assert set(odd_statuses) <= {400, 422}
    ends = {e.uid: e.at for e in world.recorded_events if e.what == "ended" and e.detail == "done"}
    closely_polled = [
        uid
        for uid, end in ends.items()
        if 10.0 < end < 60.0
        and sum(
            u == uid and what == "poll" and 0.0 <= sent - end < 0.03
            for u, what, sent, _ in requests
        )
        >= 9
    ]
    assert len(closely_polled) >= 6
    cancelled_at_end = {
        u
        for u, what, sent, _ in requests
        if what == "cancel" and u in ends and 0.0 <= sent - ends[u] <= 0.6
    }
    assert len(cancelled_at_end) >= 6
    cancelled_at_once = {
        u for u, what, sent, _ in requests if what == "cancel" and 60.0 <= sent <= 60.3
    }
    assert len(cancelled_at_once) == 2
    assert 1 <= len(hung) <= 2
