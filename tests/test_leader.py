"""The leader's decisions, with hand-made views of the shards and lists from the cloud."""

import msgspec
import pytest
from conftest import job_body

from ryegauge.bookkeeping.ranges import Ranges
from ryegauge.bookkeeping.state import Event
from ryegauge.bookkeeping.state_replica import (
    Assignment,
    StateReplica,
    assignment_key,
    job_key,
    job_record,
    value_bytes,
)
from ryegauge.config import NextState, Settings
from ryegauge.coordination.demands import unrunnable_reason
from ryegauge.coordination.leader import Leader
from ryegauge.coordination.sharding import ShardMap
from ryegauge.protocol.cloud import ListedMachine, MachineType
from ryegauge.protocol.jobs import parse_job
from ryegauge.protocol.peers import MachineView, ShardView
from ryegauge.scheduling.planner import Rental

SMALL = MachineType("small", 4.0, 16.0, 0.4, 10.0, ["a", "b"], spot_price=0.1)
NOW = 1000.0


class LeaderHarness:
    """A leader with a replica of its own and three shards, whose machines are set by hand."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.replica = StateReplica()
        self.shard_map = ShardMap(settings)
        self.revision = 0
        for shard in range(3):
            self.put(f"r/p/{shard}", {"o": "node-0", "i": "x"})
        self.leader = Leader(9, self.replica, settings, NOW)
        self.leader.fleet.types = {"small": SMALL}
        self.leader.on_machine_list([], NOW)
        self.machines: dict[str, MachineView] = {}
        # Silent machine -> the outcome of probing it, the same from two controllers.
        self.probe_outcomes: dict[str, str] = {}
        self.foreign_reports: list[tuple[str, float]] = []
        self.failing: list[tuple[str, int, int]] = []  # as reported by the owner of shard 0
        self.view_seqs: dict[int, int] = {}  # shard -> sequence number of its latest view
        self.now = NOW

    def shard_of(self, name: str) -> int:
        """The shard that a machine belongs to."""
        # No controller of the test's settings is in zone c, so any shard may get the machine.
        return self.shard_map.shard_of(name, "c")

    def put(self, key: str, value: object) -> None:
        """Writes a record to the replica at the next revision."""
        self.revision += 1
        self.replica.apply([Event(key, value, self.revision)], self.revision)

    def job(self, uid: str, **changes: object) -> None:
        """Records a job that is submitted now."""
        self.put(job_key(uid), job_record(parse_job(job_body(uid, **changes)), self.now, False))

    def assign(self, uid: str, shard: int, tasks: list[int], zone: str = "") -> None:
        """Records that these tasks of a job are assigned to a shard."""
        flat = [bound for i in tasks for bound in (i, i + 1)]
        self.put(assignment_key(uid, shard), {"t": {zone: flat}, "d": []})

    def machine(self, name: str, zone: str = "a", **changes: object) -> None:
        """Adds or replaces a machine in the next views, by default empty and accepting tasks."""
        fields: dict[str, object] = {
            "name": name,
            "type": "small",
            "zone": zone,
            "spot": True,
            "accepts_tasks": True,
            "empty": True,
            "silent_s": 0.0,
            "notice": False,
            "retiring": False,
            "images": [],
            "tasks": [],
        }
        self.machines[name] = MachineView(**{**fields, **changes})  # type: ignore[arg-type]

    def view(
        self, shard: int, machines: list[MachineView], *, base: int = 0, **more: object
    ) -> ShardView:
        """The next view of a shard, by default a full one."""
        self.view_seqs[shard] = seq = self.view_seqs.get(shard, 0) + 1
        return ShardView(
            "node-0",
            shard,
            self.replica.shards[shard].token,
            self.revision,
            machines,
            seq=seq,
            base=base,
            **more,  # type: ignore[arg-type]
        )

    def views(self) -> list[tuple[str, str, int]]:
        """Sends full views of all shards to the leader; returns the evictions it orders."""
        evicted = []
        for shard in range(3):
            shard_machines = [m for n, m in self.machines.items() if self.shard_of(n) == shard]
            silences = [
                (
                    m.name,
                    0.0,
                    [(by, self.probe_outcomes[m.name], 1.0) for by in ("node-0", "node-1")],
                )
                for m in shard_machines
                if m.name in self.probe_outcomes
            ]
            view = self.view(
                shard,
                shard_machines,
                foreign_reports=self.foreign_reports,
                silences=silences,
                failing=self.failing if shard == 0 else [],
            )
            evicted += self.leader.on_shard_view(view, self.now).evict
        return evicted

    def round(self) -> dict[str, int]:
        """Sends all views and plans a round; returns the number of newly assigned tasks by job."""
        self.views()
        result: dict[str, int] = {}
        self.last_result = self.leader.round(self.now, self.now)
        for (uid, shard), assignment in self.last_result.new_assignments.items():
            old = self.replica.jobs[uid].assignments.get(shard)
            before = 0 if old is None else len(old.tasks)
            result[uid] = result.get(uid, 0) + len(assignment.tasks) - before
        return result


@pytest.fixture
def harness(settings: Settings) -> LeaderHarness:
    return LeaderHarness(settings)


def test_a_teams_limit_counts_all_assigned_tasks(harness: LeaderHarness) -> None:
    """Team red may use 32 CPUs. All assigned tasks count, also those of a cancelled job and those
    that are on no known machine."""
    for i in range(12):
        harness.machine(f"m-{i}")
    harness.job("wk-000001", pieces=10)
    harness.assign("wk-000001", 0, list(range(9)))
    harness.job("wk-000002", pieces=30)
    assigned = harness.round()
    assert sum(assigned.values()) == 7
    spec = parse_job(job_body("wk-000001", pieces=10))
    harness.put(job_key("wk-000001"), job_record(spec, NOW, True))
    assert sum(harness.round().values()) == 7


def test_no_task_is_assigned_twice(harness: LeaderHarness) -> None:
    for i in range(6):
        harness.machine(f"m-{i}")
    harness.job("wk-000001", pieces=6)
    harness.assign("wk-000001", 0, [0, 2])
    harness.put(assignment_key("wk-000001", 1), {"t": {}, "d": [4, 5]})
    harness.round()
    newly_assigned: list[int] = []
    for (uid, shard), assignment in harness.last_result.new_assignments.items():
        old = harness.replica.jobs[uid].assignments.get(
            shard, Assignment({}, assignment.done - assignment.done, 0)
        )
        newly_assigned += [i for i in assignment.tasks if i not in old.tasks]
    assert sorted(newly_assigned) == [1, 3, 5]


@pytest.mark.parametrize(
    ("field", "expected"), [("together", {"a": 4}), ("spread", {"a": 2, "b": 2})]
)
def test_tasks_are_placed_in_the_requested_zones(
    harness: LeaderHarness, field: str, expected: dict[str, int]
) -> None:
    for i in range(3):
        harness.machine(f"m-{i}", zone="a")
    harness.machine("m-9", zone="b")
    harness.job("wk-000001", **{field: True})
    harness.round()
    zones: dict[str, int] = {}
    for assignment in harness.last_result.new_assignments.values():
        for zone, tasks in assignment.assigned.items():
            zones[zone] = zones.get(zone, 0) + len(tasks)
    assert zones == expected


def test_a_chosen_zone_is_kept(harness: LeaderHarness) -> None:
    harness.machine("m-1", zone="b")
    harness.job("wk-000001", together=True)
    harness.assign("wk-000001", 0, [0], zone="a")
    assert harness.round() == {}


def test_a_machine_that_never_boots_is_released(harness: LeaderHarness) -> None:
    listed = ListedMachine("m-1", "small", "a", True, "starting", 5.0)
    harness.leader.on_machine_list([listed], harness.now)
    harness.round()
    assert harness.last_result.releases == []
    harness.now += 31.0
    harness.leader.on_machine_list([listed], harness.now)
    harness.round()
    assert harness.last_result.releases == ["m-1"]


def test_idle_machines_are_released_after_their_owner_confirms(harness: LeaderHarness) -> None:
    harness.machine("m-1")
    harness.round()
    harness.now += 61.0
    harness.round()
    assert harness.last_result.releases == []
    # An owner does not send unchanged machines again, and may have started a task there
    # meanwhile: only its confirmation counts.
    harness.round()
    assert harness.last_result.releases == []
    harness.machine("m-1", retiring=True)
    harness.round()
    assert harness.last_result.releases == ["m-1"]
    harness.leader.fleet.on_released(["m-1"], harness.now)
    shard = harness.shard_of("m-1")
    view = harness.view(shard, [], base=harness.view_seqs[shard])
    assert harness.leader.on_shard_view(view, harness.now).gone == ["m-1"]


def test_a_delayed_view_changes_nothing(harness: LeaderHarness) -> None:
    """A full view that was delayed on its way replaced everything received since."""
    harness.machine("m-1", zone="c")
    shard = harness.shard_of("m-1")
    delayed = harness.view(shard, [])
    harness.round()
    assert harness.leader.on_shard_view(delayed, harness.now + 60.0).resync
    harness.job("wk-000001", pieces=1)
    assert harness.leader.round(harness.now, harness.now).new_assignments  # m-1 is still there


def test_silent_machines_are_released_unless_many_are_silent(harness: LeaderHarness) -> None:
    """A lost machine's tasks can restart once its release is confirmed. If half of a shard is
    silent, its owner may be cut off, and releasing the machines would lose all their tasks."""
    names = [f"m-{i}" for i in range(60) if harness.shard_of(f"m-{i}") == 0][:12]
    for name in names:
        harness.machine(name, empty=False)
    harness.machine(names[0], empty=False, accepts_tasks=False, silent_s=5.0)
    harness.round()
    assert harness.last_result.releases == [names[0]]
    for name in names[:6]:
        harness.machine(name, empty=False, accepts_tasks=False, silent_s=5.0)
    harness.round()
    assert harness.last_result.releases == []


def test_dead_machines_are_released_if_a_second_controller_cannot_reach_them(
    harness: LeaderHarness,
) -> None:
    """If more than a quarter of a shard was silent, no machine of it was released until the cloud
    listed the dead ones as failed, 35 to 45 s later. They are released after three missed
    reports if a second controller cannot reach them either and the cloud has no more."""
    names = [f"m-{i}" for i in range(60) if harness.shard_of(f"m-{i}") == 0][:12]
    for name in names:
        harness.machine(name, empty=False)
    harness.round()
    for name in names[:6]:
        harness.machine(name, empty=False, accepts_tasks=False, silent_s=5.0)
        harness.probe_outcomes[name] = "no_connection"
    harness.round()
    assert harness.last_result.releases == []  # the cloud has more, so they are not given up yet
    harness.leader.fleet.on_rental_refused(Rental("small", "a", True, 1), harness.now)
    harness.foreign_reports = [(names[0], 1.0)]
    harness.probe_outcomes[names[1]] = "no_answer"
    harness.round()
    assert sorted(harness.last_result.releases) == sorted(names[2:6])


def listed(name: str, zone: str = "a") -> ListedMachine:
    return ListedMachine(name, "small", zone, True, "running", 100.0, f"{name}:9000")


def test_machines_with_expired_leases_are_released_if_the_cloud_has_no_more(
    harness: LeaderHarness,
) -> None:
    """A machine that its owner had removed at the end of its lease was in no view any more, and
    was kept until the cloud listed it as failed."""
    names = [f"m-{i}" for i in range(60) if harness.shard_of(f"m-{i}") == 0][:12]
    harness.leader.on_machine_list([listed(name) for name in names], harness.now)
    for name in names:
        harness.machine(name, empty=False)
    harness.round()
    for name in names[:9]:
        del harness.machines[name]
    harness.now += 11.0
    harness.round()
    assert harness.last_result.releases == []
    orders = harness.leader.on_shard_view(
        harness.view(0, [], base=harness.view_seqs[0]), harness.now
    )
    assert sorted(orders.unreported) == sorted((name, f"{name}:9000") for name in names[:9])
    harness.leader.fleet.on_rental_refused(Rental("small", "a", True, 1), harness.now)
    harness.round()
    assert sorted(harness.last_result.releases) == sorted(names[:9])


def test_replacements_for_lost_machines_are_rented_within_the_share(harness: LeaderHarness) -> None:
    harness.job("wk-000001", pieces=8)
    names = [f"m-{i}" for i in range(60) if harness.shard_of(f"m-{i}") == 0][:4]
    harness.assign("wk-000001", 0, list(range(8)))
    for n, name in enumerate(names):
        harness.machine(name, empty=False, tasks=[("wk-000001", [2 * n, 2 * n + 2], 20.0)])
    harness.round()
    assert harness.last_result.rentals == []
    for name in names[:3]:
        changed = msgspec.structs.replace(harness.machines[name], accepts_tasks=False, silent_s=5.0)
        harness.machines[name] = changed
        harness.probe_outcomes[name] = "no_connection"
    harness.round()
    # Six tasks with two CPUs each are probably lost; half of the fleet's 16 CPUs, the share for
    # replacements, are two machines.
    assert sum(r.count for r in harness.last_result.rentals) == 2
    assert harness.last_result.new_assignments == {}
    for outcome in ("answered", "no_answer"):
        harness.probe_outcomes = dict.fromkeys(names, outcome)
        harness.round()
        assert harness.last_result.rentals == []


def test_nothing_is_rented_in_a_zone_that_is_cut_off(harness: LeaderHarness) -> None:
    """Its machines come back together, and one rented there meanwhile is cut off as well."""
    cut_off = [f"m-{i}" for i in range(10)]
    for name in cut_off:
        harness.machine(name, zone="b", empty=False)
    for i in range(10, 30):
        harness.machine(f"m-{i}", empty=False)
    harness.job("wk-000001", pieces=4)
    harness.round()
    for name in cut_off:
        harness.machine(name, zone="b", empty=False, accepts_tasks=False, silent_s=9.0)
        harness.probe_outcomes[name] = "no_connection"
    for i in range(10, 30):
        harness.machine(f"m-{i}", empty=False, accepts_tasks=False)
    harness.leader.fleet.on_rental_refused(Rental("small", "b", True, 1), harness.now)
    harness.round()
    assert {r.zone for r in harness.last_result.rentals} == {"a"}
    assert harness.last_result.releases == []


def test_pending_rentals_are_counted(harness: LeaderHarness) -> None:
    harness.job("wk-000001")
    harness.round()
    (rental,) = harness.last_result.rentals
    harness.leader.fleet.on_rental_sent(rental, harness.now)
    harness.round()
    assert harness.last_result.rentals == []
    harness.leader.fleet.on_rental_granted(rental, ["m-1", "m-2"], harness.now)
    harness.round()
    assert harness.last_result.rentals == []


def test_a_guaranteed_job_evicts_tasks_beyond_another_teams_guarantee(
    harness: LeaderHarness,
) -> None:
    """Only tasks that have just begun are evicted."""
    harness.job("wk-000001", crew="blue", pieces=12, cpus=4.0)  # beyond blue's 8 CPUs
    flat = list(range(12))
    harness.assign("wk-000001", 0, flat)
    for i in range(12):
        left_s = 19.5 if i == 3 else 5.0
        harness.machine(f"m-{i}", empty=False, tasks=[("wk-000001", [i, i + 1], left_s)])
    harness.job("wk-000002", pieces=1)
    harness.round()
    assert harness.views() == []  # a new machine may be up sooner
    harness.now += 21.0
    harness.round()
    assert harness.views() == [("m-3", "wk-000001", 1)]
    harness.round()
    assert harness.views() == []


def test_much_higher_priority_evicts_lower_at_once(harness: LeaderHarness) -> None:
    harness.job("wk-000001", crew="blue", pieces=2, cpus=4.0)
    harness.assign("wk-000001", 0, [0, 1])
    for i in range(2):
        harness.machine(f"m-{i}", empty=False, tasks=[("wk-000001", [i, i + 1], 19.5)])
    harness.job("wk-000002", pieces=1, urgency="critical", crew="blue", cpus=4.0)
    harness.round()
    assert harness.views() == []  # the other job is within its guarantee
    harness.job("wk-000003", crew="blue", pieces=2, cpus=4.0)
    harness.assign("wk-000003", 1, [0, 1])
    harness.machine("m-2", empty=False, tasks=[("wk-000003", [0, 2], 19.5)])
    harness.round()
    assert harness.views() == [("m-2", "wk-000003", 1)]


def test_jobs_that_never_run(settings: Settings) -> None:
    teams = {team.name: team for team in settings.settings.teams}
    types = {"small": SMALL}
    cases = [
        ({}, False),
        ({"crew": "green"}, True),
        ({"cpus": 5.0}, True),
        ({"memoryGb": 17.0}, True),
        ({"builds": ["large"]}, True),
        ({"district": "c"}, True),
        ({"cards": 1.0}, True),
        ({"pieces": 100, "cpus": 4.0}, False),
        ({"pieces": 9, "cpus": 4.0, "shape": "standing"}, True),
    ]
    for changes, never in cases:
        spec = parse_job(job_body(**changes))
        assert (unrunnable_reason(spec, types, teams) is not None) == never, changes


# -- pipelines ---------------------------------------------------------------------------


def record_done(harness: LeaderHarness, uid: str, tasks: int = 4) -> None:
    harness.put(assignment_key(uid, 0), {"t": {}, "d": [0, tasks]})


def test_a_job_with_open_dependencies_uses_and_rents_nothing(harness: LeaderHarness) -> None:
    """A job that waits for its dependencies is not assigned, causes no rentals and takes up none
    of its team's guarantee."""
    harness.job("wk-000001", pieces=4, cpus=1.0)
    harness.job("wk-000002", pieces=16, cpus=2.0, awaits=["wk-000001"], urgency="high")
    harness.job("wk-000003", pieces=4, cpus=2.0)
    harness.machine("m-1")
    assert harness.round() == {"wk-000001": 4}
    assert harness.last_result.rentals != []  # for the third job
    harness.assign("wk-000001", 0, [0, 1, 2, 3])
    harness.assign("wk-000003", 0, [0, 1, 2, 3])
    assert harness.round() == {}
    assert harness.last_result.rentals == []
    record_done(harness, "wk-000001")
    for n in range(2, 12):
        harness.machine(f"m-{n}")
    assert harness.round() == {"wk-000002": 12}  # up to the team's limit of 32 CPUs


def test_deadline_and_priority_propagate_back_to_the_first_stage(harness: LeaderHarness) -> None:
    """Of two equal jobs the one that an urgent job depends on goes first, also if the urgent one
    arrives later. A cancelled dependent no longer counts."""
    harness.machine("m-1")
    for n in (1, 2):
        harness.job(f"wk-00000{n}", pieces=2, urgency="best_effort", dueS=None, crew="blue")
    assert harness.round() == {"wk-000001": 2}
    harness.job("wk-000004", awaits=["wk-000002"], urgency="best_effort", dueS=None, crew="blue")
    assert harness.round() == {"wk-000001": 2}
    harness.job("wk-000005", awaits=["wk-000004"], urgency="high", dueS=90.0, crew="blue")
    assert harness.round() == {"wk-000002": 2}
    assert harness.leader._urgencies.rank(harness.replica.jobs["wk-000002"]) == 1
    finish = harness.leader._urgencies.latest_finish(harness.replica.jobs["wk-000002"])
    assert NOW + 90.0 - 2 * 25.0 < finish < NOW + 90.0 - 2 * 20.0
    spec = parse_job(job_body("wk-000005"))
    harness.put(job_key("wk-000005"), job_record(spec, NOW, True))
    assert harness.round() == {"wk-000001": 2}


def test_no_more_tasks_are_assigned_than_a_record_can_hold(harness: LeaderHarness) -> None:
    """Each task may become a range of its own in the record. A record that has grown too large
    can never be written again, and the job would lose its tasks."""
    team = msgspec.structs.replace(harness.settings.settings.teams[0], cpus_max=1e6)
    state = msgspec.structs.replace(
        harness.settings.settings.state, next=NextState(value_kb=2.0, txn_ops=4)
    )
    shared = msgspec.structs.replace(
        harness.settings.settings, teams=[team, harness.settings.settings.teams[1]], state=state
    )
    settings = msgspec.structs.replace(harness.settings, settings=shared)
    harness.leader = Leader(9, harness.replica, settings, NOW)
    huge = MachineType("huge", 1e5, 1e6, 0.4, 10.0, ["a"], spot_price=0.1)
    harness.leader.fleet.types = {"huge": huge}
    harness.machine("m-1", type="huge")
    harness.job("wk-000001", pieces=100_000, cpus=1.0, memoryGb=0.1)
    harness.round()
    ((_, shard),) = harness.last_result.new_assignments
    held = list(harness.last_result.new_assignments["wk-000001", shard].tasks)
    assert len(held) > 80
    limit = settings.state_limits.value_bytes
    worst = Assignment(
        {"a": Ranges.of(n + 99_000 for n in held[::2])},
        Ranges.of(n + 99_000 for n in held[1::2]),
        0,
    )
    assert value_bytes(worst.to_record()) <= limit
    # Assigned and done tasks in the record count too.
    harness.put(assignment_key("wk-000001", shard), {"t": {"": [0, 60]}, "d": [100, 101, 102, 103]})
    harness.round()
    renewed = harness.last_result.new_assignments["wk-000001", shard]
    assert len(renewed.tasks) + 2 == len(held)


def test_capacity_of_ended_tasks_is_free_before_their_outcome_is_written(
    harness: LeaderHarness,
) -> None:
    """Tasks that had ended took capacity until their outcome was written. While writes were
    scarce, hundreds of tasks waited although machines were free."""
    harness.machine("m-1", zone="c")
    shard = harness.shard_of("m-1")
    harness.job("wk-000001", pieces=4, cpus=2.0)
    harness.assign("wk-000001", shard, [0, 1])
    harness.job("wk-000002", pieces=4, cpus=2.0, crew="blue")
    assert harness.round() == {}
    view = harness.view(shard, [harness.machines["m-1"]], pending_removal=[("wk-000001", 2)])
    harness.leader.on_shard_view(view, harness.now)
    assert next(iter(harness.leader.round(harness.now, harness.now).new_assignments))[0] in (
        "wk-000001",
        "wk-000002",
    )


def test_a_new_leader_knows_the_types_and_what_its_predecessor_learnt(
    harness: LeaderHarness, settings: Settings
) -> None:
    """A leader that had renewed its token, to fence off an assignment, knew no machine types
    until it could read the catalogue. While the cloud was unreachable it planned no round."""
    new = Leader(10, harness.replica, settings, NOW, {"small": SMALL})
    assert new.fleet.types == {"small": SMALL}
    assert not new.fleet.has_listing
    harness.leader.fleet.on_released(["m-1"], NOW)
    renewed = Leader(11, harness.replica, settings, NOW, {}, previous_leader=harness.leader)
    assert renewed.fleet.released_at == {"m-1": NOW}
    assert renewed.fleet.has_listing
    assert renewed.estimates is harness.leader.estimates


def test_a_failing_job_is_retried_with_one_task_and_without_rentals(
    harness: LeaderHarness,
) -> None:
    harness.job("wk-000001", pieces=12)
    harness.job("wk-000002", pieces=2)
    harness.failing = [("wk-000001", 3, 9)]
    harness.round()
    assert [rental.count for rental in harness.last_result.rentals] == [1]  # for the other one
    for i in range(6):
        harness.machine(f"m-{i}")
    lease_s = harness.settings.settings.workers.lease_s
    assert set(harness.round()) == {"wk-000002"}
    harness.assign("wk-000002", 0, [0, 1])
    harness.now += lease_s + 0.1
    assert harness.round() == {"wk-000001": 1}
    harness.leader.on_assigned(["wk-000001"], harness.now)
    assert harness.round() == {}
    # A task that succeeds shows that the job was not at fault.
    harness.put(assignment_key("wk-000001", 1), {"t": {}, "d": [0, 1]})
    assert harness.round() == {"wk-000001": 10}


def test_a_team_limit_of_zero_means_unlimited(harness: LeaderHarness) -> None:
    """A limit of 0 in the settings means no limit, for the planner and for admission. Counts
    derived from an infinite limit must not fail, even with many waiting tasks."""
    teams = harness.leader._teams
    teams["guest"] = msgspec.structs.replace(teams["red"], name="guest", cpus=0.0, cpus_max=0.0)
    for i in range(20):
        harness.machine(f"m-{i}")
    harness.job("wk-000001", pieces=100, crew="guest", cpus=0.25, memoryGb=0.5)
    harness.job("wk-000002", pieces=2)
    assigned = harness.round()
    assert assigned == {"wk-000001": 100, "wk-000002": 2}
    spec = parse_job(job_body("wk-000009", crew="guest", cpus=4.0))
    assert unrunnable_reason(spec, {"small": SMALL}, teams) is None
