"""Queues served by whole controllers in simulated time, with the broker, the controllers and
the state service ending: jobs, runs and answers are counted for every message."""

import json
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import trio
from conftest import job_body
from days import Day
from pamqp.commands import Basic
from test_ageing import some

from ryegauge.amqp.client import Broker as BrokerAddress
from ryegauge.coordination.node import Node
from ryegauge.emulator.broker import Broker
from ryegauge.emulator.world import run_simulated
from ryegauge.queues.bindings import Binding, Queues
from ryegauge.queues.front import front_of
from ryegauge.queues.messages import uid_of

MESSAGE = {"pieces": 2, "cpus": 1.0, "memoryGb": 1.0, "kit": "img-1", "imageGb": 0.2,
           "expectS": 4.0}


class Played:
    def __init__(self) -> None:
        self.world: Day
        self.broker: Broker
        self.answers: Counter[str] = Counter()
        self.told: dict[str, set[str]] = {}
        self.starts: Counter[str] = Counter()
        self.left: int = 0


def play(tmp_path: Path, seed: int, count: int, script: Any, seconds: float,
         **changes: Any) -> Played:
    played = Played()
    where = BrokerAddress("amqp://127.0.0.1", timeout_s=3.0)
    fields: dict[str, Any] = {"dead_letter_exchange": "dead.", **changes}
    binding = Binding("picks", "work", "red", "pick", [where], **fields)

    async def main() -> None:
        world = played.world = Day(some(tmp_path, "settled"), seed)
        for n in range(count):
            uid = uid_of("picks", f"id:m-{n}")
            world.checker.specs[uid] = {**job_body(uid, **MESSAGE), "really": 4.0}

        async def day(world: Day) -> None:
            broker = played.broker = Broker(world.nursery, random.Random(seed))
            world.programs = [
                lambda s, n, w, r: Node(s, n, w, r, front_of(
                    Queues([binding]), r, broker.connect))
            ] * len(world.settings)
            world.crash(*range(len(world.settings)))
            for n in range(count):
                broker.put("work", Basic.Properties(
                    message_id=f"m-{n}", reply_to="answers", content_type="application/json",
                ), json.dumps(MESSAGE).encode())
            await script(world, broker)

        await world.play([], day, seconds)

    run_simulated(main, seed)
    for message in played.broker.queues.get("answers", ()):
        body = json.loads(message.body)
        played.answers[body["uid"]] += 1
        played.told.setdefault(body["uid"], set()).add(str(message.properties.message_id))
        assert body["status"] in ("done", "cancelled")
    done = {e.task for e in played.world.happened if e.what == "ended" and e.detail == "done"}
    played.starts = Counter(
        e.task for e in played.world.happened
        if e.what == "started" and e.task in done
    )
    played.left = len(played.broker.queues.get("work", ()))
    return played


def check(played: Played, count: int) -> None:
    """Exactly one job and one outcome for each message, told once or repeated by its id."""
    assert played.world.checker.broken == []
    uids = {uid_of("picks", f"id:m-{n}") for n in range(count)}
    records = {key.split("/")[2] for key, _ in played.world.written
               if key.startswith("r/j/") and key.count("/") == 2}
    assert records == uids
    assert set(played.told) == uids
    assert all(len(ids) == 1 for ids in played.told.values())
    assert played.left == 0
    assert played.world.state.data.keys().isdisjoint(f"r/q/{uid}" for uid in uids)
    assert "dead.work" not in played.broker.queues


async def quiet(world: Day, broker: Broker) -> None:
    return


def test_messages_become_jobs_and_are_answered_once(tmp_path: Path) -> None:
    played = play(tmp_path, 1, 12, quiet, 60.0)
    check(played, 12)
    assert set(played.answers.values()) == {1}
    assert set(played.starts.values()) == {1}


@pytest.mark.parametrize("seed", range(3))
def test_broker_controllers_and_state_end_at_random_moments(tmp_path: Path, seed: int) -> None:
    async def ends(world: Day, broker: Broker) -> None:
        rng = random.Random(seed)
        for _ in range(8):
            await trio.sleep(rng.uniform(0.5, 7.0))
            match rng.choice(["kill", "cut", "cut", "crash", "crash_all", "outage"]):
                case "kill":
                    broker.kill()
                    await trio.sleep(rng.uniform(0.1, 4.0))
                    broker.up = True
                case "cut":
                    broker.frames_left = rng.randrange(30)
                case "crash":
                    world.crash(rng.randrange(3))
                case "crash_all":
                    world.crash(0, 1, 2)
                case "outage":
                    world.state.outage = True
                    await trio.sleep(rng.uniform(0.5, 6.0))
                    world.state.end_outage()

    played = play(tmp_path, seed, 15, ends, 170.0)
    check(played, 15)


@pytest.mark.parametrize("frames", [0, 1, 2, 3, 5, 7, 9, 11, 13])
def test_the_connection_drops_at_each_step_in_turn(tmp_path: Path, frames: int) -> None:
    """Counted from when the first message may come: in the middle of login, subscription,
    acknowledgements, answers and their confirms."""
    async def cut(world: Day, broker: Broker) -> None:
        await trio.sleep(6.0)
        broker.frames_left = frames
        await trio.sleep(8.0)
        broker.frames_left = frames

    check(play(tmp_path, frames, 4, cut, 70.0), 4)


def test_what_can_never_run_goes_to_the_dead_letters_with_its_reason(tmp_path: Path) -> None:
    async def bad(world: Day, broker: Broker) -> None:
        for n, body in enumerate([b"[", b'{"pieces": 1}', json.dumps(
                {**MESSAGE, "cpus": 99.0}).encode(), b'{"cancel": "nobody"}']):
            broker.put("work", Basic.Properties(message_id=f"bad-{n}"), body)

    played = play(tmp_path, 4, 2, bad, 60.0)
    dead = {str(m.properties.message_id): m.properties.headers
            for m in played.broker.queues["dead.work"]}
    reasons = {name: str((h or {})["x-ryegauge-reason"]) for name, h in dead.items()}
    assert set(reasons) == {f"bad-{n}" for n in range(4)}
    for name, word in (("bad-0", "JSON"), ("bad-1", "cpus"), ("bad-2", "limit"),
                       ("bad-3", "no such message")):
        assert word in reasons[name]
    assert set(played.answers.values()) == {1}
    assert played.left == 0


def test_a_message_waits_for_one_that_is_recorded_after_it(tmp_path: Path) -> None:
    """Several consumers: the second of two messages may be recorded first."""
    async def swapped(world: Day, broker: Broker) -> None:
        last = uid_of("picks", "id:last")
        world.checker.specs[last] = {**job_body(last, **MESSAGE), "really": 4.0,
                                     "awaits": [uid_of("picks", "id:m-50")]}
        broker.put("work", Basic.Properties(message_id="last", reply_to="answers"),
                   json.dumps({**MESSAGE, "awaits": ["m-50"]}).encode())
        await trio.sleep(12.0)
        first = uid_of("picks", "id:m-50")
        world.checker.specs[first] = {**job_body(first, **MESSAGE), "really": 4.0}
        broker.put("work", Basic.Properties(message_id="m-50"), json.dumps(MESSAGE).encode())

    played = play(tmp_path, 7, 2, swapped, 70.0)
    assert played.world.checker.broken == []
    assert played.told[uid_of("picks", "id:last")] == {uid_of("picks", "id:last") + "/done"}
    assert "dead.work" not in played.broker.queues


def test_a_cancelled_message_is_answered_so(tmp_path: Path) -> None:
    async def cancel(world: Day, broker: Broker) -> None:
        await trio.sleep(10.0)
        broker.put("work", Basic.Properties(message_id="c-1"), b'{"cancel": "m-0"}')

    played = play(tmp_path, 5, 40, cancel, 50.0, prefetch=60)
    uid = uid_of("picks", "id:m-0")
    assert played.told[uid] in ({f"{uid}/cancelled"}, {f"{uid}/done"})
    assert played.world.checker.broken == []


def test_no_more_is_taken_than_the_prefetch_limit_while_nothing_can_be_recorded(
    tmp_path: Path,
) -> None:
    async def outage(world: Day, broker: Broker) -> None:
        await trio.sleep(9.0)
        world.state.outage = True
        for n in range(100):
            broker.put("work", Basic.Properties(message_id=f"late-{n}"), b"{}")
        for n in range(100, 400):
            broker.put("work", Basic.Properties(message_id=f"m-{n}"),
                       json.dumps(MESSAGE).encode())
        await trio.sleep(15.0)
        played_left.append(len(broker.queues["work"]))
        world.state.end_outage()

    played_left: list[int] = []
    played = play(tmp_path, 6, 3, outage, 28.0, prefetch=5)
    assert played.world.checker.broken == []
    assert played_left[0] >= 300 - 3 * 5  # what can never run is gone, the rest waits there
