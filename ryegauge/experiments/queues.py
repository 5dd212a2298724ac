"""Controllers that serve queues of the emulated broker in simulated time, under failures.

The broker, the controllers and the state service fail; the jobs, runs and answers of every message
are counted.
"""

import json
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import trio
from pamqp.commands import Basic

from ryegauge.amqp.client import Broker as BrokerAddress
from ryegauge.coordination.node import Node
from ryegauge.emulator.broker import Broker
from ryegauge.emulator.fleet import FleetType
from ryegauge.emulator.network import ProcessorTimeMeter
from ryegauge.emulator.state import StateService
from ryegauge.emulator.world import World, run_simulated
from ryegauge.experiments.day import Day, Installation, TeamQuota, controller_settings
from ryegauge.queues.bindings import Binding, Delivery, Queues
from ryegauge.queues.front import front_of
from ryegauge.queues.messages import uid_of
from ryegauge.queues.meter import Meter

MESSAGE_BODY: dict[str, Any] = {
    "pieces": 2,
    "cpus": 1.0,
    "memoryGb": 1.0,
    "kit": "img-1",
    "imageGb": 0.2,
    "expectS": 4.0,
}
TASK_RUN_S = 4.0
MACHINE_TYPE = FleetType("small", 4.0, 16.0, ["a"], 0.4, 0.1, 10.0, steady=4, spot=8)


def make_binding(name: str = "picks", queue: str = "work", **changes: Any) -> Binding:
    """A binding of the queue to team red and class pick; `changes` are further fields of it."""
    address = BrokerAddress("amqp://127.0.0.1", timeout_s=3.0)
    fields: dict[str, Any] = {"dead_letter_exchange": "dead.", **changes}
    return Binding(name, queue, "red", "pick", [address], **fields)


class QueueDay:
    """A day that is being played or is over, with what is counted of it."""

    def __init__(self, world: World, broker: Broker) -> None:
        self.world = world
        self.broker = broker
        self.recorded_jobs: set[str] = set()  # jobs that were ever recorded
        # Binding -> its meter, one mapping for each start of a controller.
        self.meters: list[dict[str, Meter]] = []
        self.processor_s = 0.0  # processor time of the controllers' code

    @property
    def answers_by_job(self) -> dict[str, list[tuple[str, str]]]:
        """The (message id, status) of each answer in the queue `answers`, by job."""
        answers: dict[str, list[tuple[str, str]]] = {}
        for message in self.broker.queues.get("answers", ()):
            body = json.loads(message.body)
            entry = (str(message.properties.message_id), str(body["status"]))
            answers.setdefault(body["uid"], []).append(entry)
        return answers

    @property
    def restarts_after_done(self) -> Counter[str]:
        """How often each task was started after it was done.

        Restarts of tasks that were lost with their machine or lease are correct and not counted.
        """
        done: set[str] = set()
        restarts: Counter[str] = Counter()
        for event in self.world.recorded_events:
            if event.what == "ended" and event.detail == "done":
                done.add(event.task)
            elif event.what == "started" and event.task in done:
                restarts[event.task] += 1
        return restarts


# Runs beside a day: puts messages and injects failures.
Script = Callable[[QueueDay], Awaitable[None]]


def put(
    broker: Broker, queue: str, name: str, body: dict[str, Any] = MESSAGE_BODY, **properties: Any
) -> None:
    """Put a message with the id `name` onto the queue."""
    properties = {
        "message_id": name,
        "reply_to": "answers",
        "content_type": "application/json",
        **properties,
    }
    broker.put(queue, Basic.Properties(**properties), json.dumps(body).encode())


def play(
    seed: int,
    bindings: Iterable[Binding],
    script: Script,
    seconds: float,
    *,
    controllers: int = 3,
    write_rps: float = 100.0,
    known: Iterable[str] = (),
) -> QueueDay:
    """Simulate `seconds` of a day with the bindings, with `script` running beside it.

    `known` are the jobs whose description workers can fetch, as if users had uploaded them.
    """
    queues = Queues(list(bindings))
    installation = Installation(
        [TeamQuota("red", 16.0, 32.0), TeamQuota("blue", 8.0, 48.0)],
        controllers,
        write_rps=write_rps,
    )
    day = Day("queues", seconds, installation, [MACHINE_TYPE], [])
    played_days: list[QueueDay] = []
    processors = ProcessorTimeMeter()

    async def main() -> None:
        trio.lowlevel.add_instrument(processors)
        state = StateService(write_rps=write_rps, rps=installation.rps)
        world = World(controller_settings(day, "settled"), seed, fleet=(MACHINE_TYPE,), state=state)
        for uid in known:
            world.checker.specs[uid] = job_description(uid)

        async def run(world: World) -> None:
            broker = Broker(world.nursery, random.Random(seed))
            for binding in queues.bindings:
                broker.queues.setdefault(binding.queue, deque())
            queue_day = QueueDay(world, broker)
            played_days.append(queue_day)
            state.on_write.append(lambda key, value: _note_write(queue_day, key))

            def program(settings: Any, network: Any, wall_clock: Any, rng: Any) -> Node:
                meters: dict[str, Meter] = {}
                queue_day.meters.append(meters)
                return Node(
                    settings,
                    network,
                    wall_clock,
                    rng,
                    front_of(queues, rng, broker.connect, meters),
                )

            # Restarts all controllers, so that they run `program`.
            world.node_factories = [program] * controllers
            world.crash(*range(controllers))
            await script(queue_day)

        await world.play([], run, seconds)

    run_simulated(main, seed)
    hosts = {f"10.0.0.{n + 1}" for n in range(controllers)}
    played_days[0].processor_s = sum(s for host, s in processors.seconds.items() if host in hosts)
    return played_days[0]


def job_description(uid: str, team: str = "red", tasks: int = 2) -> dict[str, Any]:
    """The description of a job, of a message or of a user, as the emulator keeps it."""
    return {
        **MESSAGE_BODY,
        "uid": uid,
        "duty": "pick",
        "crew": team,
        "pieces": tasks,
        "shape": "sweep",
        "urgency": "normal",
        "cards": 0.0,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        "really": TASK_RUN_S,
        "broken": False,
    }


def _note_write(queue_day: QueueDay, key: str) -> None:
    match key.split("/"):
        case ["r", "j", uid]:
            queue_day.recorded_jobs.add(uid)


# -- delivery guarantees ---------------------------------------------------------------------


class DeliveryCounts(NamedTuple):
    """What became of the messages of one day; the field names are the columns of the report."""

    delivery: str
    trouble: str
    days: int
    messages: int
    jobs: int
    waiting: int  # messages without a job that are still at the broker when the day ends
    lost: int  # messages without a job that are in no queue any more
    # Starts of tasks that were done but whose outcome was lost with their lease; the task's result,
    # which is stored outside of the machines, ends it at once.
    told_again: int
    unanswered: int  # jobs that are over and for which no answer was sent
    two_answers: int  # jobs with answers under more than one id or status
    repeats: int  # answers sent again under the same id
    broken: int  # violations of protocol rules


async def inject_random_failures(queue_day: QueueDay, rng: random.Random) -> None:
    """Inject eight random failures of broker, connections, controllers or state service.

    They follow each other within about a minute.
    """
    world, broker = queue_day.world, queue_day.broker
    for _ in range(8):
        await trio.sleep(rng.uniform(0.5, 7.0))
        match rng.choice(["kill", "cut", "cut", "crash", "crash_all", "outage"]):
            case "kill":
                broker.kill()
                await trio.sleep(rng.uniform(0.1, 4.0))
                broker.up = True
            case "cut":
                broker.frames_until_close = rng.randrange(30)
            case "crash":
                world.crash(rng.randrange(len(world.settings)))
            case "crash_all":
                world.crash(*range(len(world.settings)))
            case "outage":
                world.state.outage = True
                await trio.sleep(rng.uniform(0.5, 6.0))
                world.state.end_outage()


async def drop_connections_after(queue_day: QueueDay, frames: int) -> None:
    """Drop the connection of the consuming controller after `frames` frames, twice."""
    for pause_s in (6.0, 8.0):
        await trio.sleep(pause_s)
        queue_day.broker.frames_until_close = frames


def count_deliveries(delivery: Delivery, trouble: str, seed: int, messages: int) -> DeliveryCounts:
    """Play one day and count what became of its messages.

    `trouble` is "ends" for random failures, or the number of frames after which connections drop.
    """
    names = [f"m-{n}" for n in range(messages)]
    uids = {uid_of("picks", f"id:{name}"): name for name in names}

    async def script(queue_day: QueueDay) -> None:
        for name in names:
            put(queue_day.broker, "work", name)
        if trouble == "ends":
            await inject_random_failures(queue_day, random.Random(seed))
        else:
            await drop_connections_after(queue_day, int(trouble))

    queue_day = play(seed, [make_binding(delivery=delivery)], script, 170.0, known=uids)
    answers_of_job = queue_day.answers_by_job
    waiting = {str(m.properties.message_id) for m in queue_day.broker.queues.get("work", ())}
    waiting |= {str(m.properties.message_id) for m in queue_day.broker.queues.get("dead.work", ())}
    without_job = [name for uid, name in uids.items() if uid not in queue_day.recorded_jobs]
    completed = [
        uid
        for uid in queue_day.recorded_jobs
        if all(f"{uid}/{n}" in queue_day.world.results for n in range(MESSAGE_BODY["pieces"]))
    ]
    return DeliveryCounts(
        delivery,
        "ends" if trouble == "ends" else "drops",
        1,
        messages,
        len(queue_day.recorded_jobs),
        sum(name in waiting for name in without_job),
        sum(name not in waiting for name in without_job),
        queue_day.restarts_after_done.total(),
        sum(uid not in answers_of_job for uid in completed),
        sum(len(set(answers)) > 1 for answers in answers_of_job.values()),
        sum(len(answers) - len(set(answers)) for answers in answers_of_job.values()),
        len(queue_day.world.checker.broken),
    )


def summarize(counted: Iterable[DeliveryCounts]) -> list[dict[str, Any]]:
    """One row of sums per delivery guarantee and kind of trouble."""
    rows: dict[tuple[str, str], dict[str, Any]] = {}
    for counts in counted:
        row = rows.setdefault(
            (counts.delivery, counts.trouble),
            {
                "delivery": counts.delivery,
                "trouble": counts.trouble,
                **dict.fromkeys(DeliveryCounts._fields[2:], 0),
            },
        )
        for name in DeliveryCounts._fields[2:]:
            row[name] += getattr(counts, name)
    return list(rows.values())


# -- overload --------------------------------------------------------------------------------


class OverloadMetrics(NamedTuple):
    """Metrics of a flood of messages on two bindings with weights 1 and 3.

    Users submit jobs directly meanwhile. The field names are the columns of the report.
    """

    queues: bool  # whether there were messages at all, or only the direct submissions
    direct_median_ms: float  # from a user's first attempt to the accepted submission
    direct_p99_ms: float
    recorded_1: int  # messages recorded as jobs, of the binding with weight 1
    recorded_3: int
    share_3: float  # of the messages recorded; 0.75 by the weights
    most_in_hand: int  # maximum of delivered and unacknowledged messages
    left: int  # messages still in the queues at the end
    per_s: float  # messages recorded per second
    processor_ms: float  # per job recorded, of all controllers, without HTTP
    broken: int  # violations of protocol rules


def measure_overload(seed: int, seconds: float, queues: bool) -> OverloadMetrics:
    """Play a day of `seconds`, with the flood if `queues`, and measure it."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 60_000, 3)
    most_in_hand = 0
    messages_per_queue = 4000
    max_open_jobs = 4000
    bindings = [
        make_binding(name, name, weight=weight, prefetch=40, open_jobs=max_open_jobs)
        for name, weight in (("one", 1.0), ("three", 3.0))
    ]
    direct_uids = [f"wk-{n:06d}" for n in range(1, int(seconds * 2))]

    async def user(world: World, uid: str, at_s: float) -> None:
        await trio.sleep(at_s)
        began_at = trio.current_time()
        world.checker.specs[uid] = spec = job_description(uid, "blue", 1)
        body = {k: v for k, v in spec.items() if k not in ("really", "broken")}
        while True:
            status, answer = await world.ask("POST", "/v1/jobs", body)
            world.checker.answered(uid, status, answer, "submit")
            if status in (200, 201):
                break
            await trio.sleep(1.0)
        histogram.record_value(max(1, round(1000 * (trio.current_time() - began_at))))

    async def script(queue_day: QueueDay) -> None:
        nonlocal most_in_hand
        world, broker = queue_day.world, queue_day.broker
        if queues:
            for name in ("one", "three"):
                for n in range(messages_per_queue):
                    put(broker, name, f"m-{n}", reply_to=None)
        async with trio.open_nursery() as nursery:
            rng = random.Random(seed)
            for uid in direct_uids:
                nursery.start_soon(user, world, uid, rng.uniform(15.0, seconds - 5.0))
            while True:
                await trio.sleep(0.25)
                in_hand = sum(
                    len(c.unacknowledged)
                    for link in broker.client_connections
                    for c in link.channels.values()
                )
                most_in_hand = max(most_in_hand, in_hand)

    known = [uid_of(b, f"id:m-{n}") for b in ("one", "three") for n in range(messages_per_queue)]
    queue_day = play(seed, bindings, script, seconds, write_rps=40.0, known=known if queues else [])
    recorded = {
        name: sum(meters[name].fates["recorded"] for meters in queue_day.meters if name in meters)
        for name in ("one", "three")
    }
    recorded_total = sum(recorded.values())
    left = sum(len(queue_day.broker.queues.get(name, ())) for name in ("one", "three"))
    return OverloadMetrics(
        queues,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        recorded["one"],
        recorded["three"],
        round(recorded["three"] / max(1, recorded_total), 3),
        most_in_hand,
        left,
        round(recorded_total / seconds, 1),
        round(1000 * queue_day.processor_s / max(1, len(queue_day.recorded_jobs)), 2),
        len(queue_day.world.checker.broken),
    )
