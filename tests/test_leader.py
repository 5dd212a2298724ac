"""The leader's decisions, with parts and cloud described by hand."""

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
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.replica = StateReplica()
        self.parting = ShardMap(settings)
        self.revision = 0
        for shard in range(3):
            self.put(f"r/p/{shard}", {"o": "node-0", "i": "x"})
        self.leader = Leader(9, self.replica, settings, NOW)
        self.leader.fleet.types = {"small": SMALL}
        self.leader.on_machine_list([], NOW)
        self.machines: dict[str, MachineView] = {}
        self.probe_outcomes: dict[
            str, str
        ] = {}  # silent machine -> what became of asking it, twice
        self.foreign_reports: list[tuple[str, float]] = []
        self.failing: list[tuple[str, int, int]] = []  # as the owner of part 0 tells
        self.shown: dict[int, int] = {}  # part -> number of its latest view
        self.now = NOW

    def shard_of(self, name: str) -> int:
        # No controller of the test's settings is in zone c: all parts take part.
        return self.parting.shard_of(name, "c")

    def put(self, key: str, value: object) -> None:
        self.revision += 1
        self.replica.apply([Event(key, value, self.revision)], self.revision)

    def job(self, uid: str, **changes: object) -> None:
        self.put(job_key(uid), job_record(parse_job(job_body(uid, **changes)), self.now, False))

    def allot(self, uid: str, shard: int, tasks: list[int], zone: str = "") -> None:
        flat = [bound for i in tasks for bound in (i, i + 1)]
        self.put(assignment_key(uid, shard), {"t": {zone: flat}, "d": []})

    def machine(self, name: str, zone: str = "a", **changes: object) -> None:
        fields: dict[str, object] = {
            "name": name,
            "type": "small",
            "zone": zone,
            "spot": True,
            "open": True,
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
        self.shown[shard] = seq = self.shown.get(shard, 0) + 1
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
        evicted = []
        for shard in range(3):
            mine = [m for n, m in self.machines.items() if self.shard_of(n) == shard]
            silences = [
                (
                    m.name,
                    0.0,
                    [(by, self.probe_outcomes[m.name], 1.0) for by in ("node-0", "node-1")],
                )
                for m in mine
                if m.name in self.probe_outcomes
            ]
            view = self.view(
                shard,
                mine,
                foreign_reports=self.foreign_reports,
                silences=silences,
                failing=self.failing if shard == 0 else [],
            )
            evicted += self.leader.on_shard_view(view, self.now).evict
        return evicted

    def round(self) -> dict[str, int]:
        """Tasks newly allotted, by job."""
        self.views()
        result: dict[str, int] = {}
        self.last_result = self.leader.round(self.now, self.now)
        for (uid, shard), assignment in self.last_result.new_assignments.items():
            old = self.replica.jobs[uid].assignments.get(shard)
            before = 0 if old is None else len(old.tasks)
            result[uid] = result.get(uid, 0) + len(assignment.tasks) - before
        return result


@pytest.fixture
def lead(settings: Settings) -> LeaderHarness:
    return LeaderHarness(settings)


def test_a_teams_limit_counts_everything_allotted(lead: LeaderHarness) -> None:
    """Team red may use 32 CPUs: what is on a lost part, unseen or stopping counts."""
    for i in range(12):
        lead.machine(f"m-{i}")
    lead.job("wk-000001", pieces=10)
    lead.allot("wk-000001", 0, list(range(9)))
    lead.job("wk-000002", pieces=30)
    assigned = lead.round()
    assert sum(assigned.values()) == 7
    spec = parse_job(job_body("wk-000001", pieces=10))
    lead.put(job_key("wk-000001"), job_record(spec, NOW, True))
    assert sum(lead.round().values()) == 7


def test_no_task_is_allotted_twice(lead: LeaderHarness) -> None:
    for i in range(6):
        lead.machine(f"m-{i}")
    lead.job("wk-000001", pieces=6)
    lead.allot("wk-000001", 0, [0, 2])
    lead.put(assignment_key("wk-000001", 1), {"t": {}, "d": [4, 5]})
    lead.round()
    given: list[int] = []
    for (uid, shard), assignment in lead.last_result.new_assignments.items():
        old = lead.replica.jobs[uid].assignments.get(
            shard, Assignment({}, assignment.done - assignment.done, 0)
        )
        given += [i for i in assignment.tasks if i not in old.tasks]
    assert sorted(given) == [1, 3, 5]


@pytest.mark.parametrize(
    ("field", "expected"), [("together", {"a": 4}), ("spread", {"a": 2, "b": 2})]
)
def test_zones_of_a_job(lead: LeaderHarness, field: str, expected: dict[str, int]) -> None:
    for i in range(3):
        lead.machine(f"m-{i}", zone="a")
    lead.machine("m-9", zone="b")
    lead.job("wk-000001", **{field: True})
    lead.round()
    zones: dict[str, int] = {}
    for assignment in lead.last_result.new_assignments.values():
        for zone, tasks in assignment.assigned.items():
            zones[zone] = zones.get(zone, 0) + len(tasks)
    assert zones == expected


def test_a_zone_once_chosen_stays(lead: LeaderHarness) -> None:
    lead.machine("m-1", zone="b")
    lead.job("wk-000001", together=True)
    lead.allot("wk-000001", 0, [0], zone="a")
    assert lead.round() == {}


def test_what_never_boots_is_released(lead: LeaderHarness) -> None:
    listed = ListedMachine("m-1", "small", "a", True, "starting", 5.0)
    lead.leader.on_machine_list([listed], lead.now)
    lead.round()
    assert lead.last_result.releases == []
    lead.now += 31.0
    lead.leader.on_machine_list([listed], lead.now)
    lead.round()
    assert lead.last_result.releases == ["m-1"]


def test_idle_machines_are_returned_after_their_owner_agrees(lead: LeaderHarness) -> None:
    lead.machine("m-1")
    lead.round()
    lead.now += 61.0
    lead.round()
    assert lead.last_result.releases == []
    # An unchanged view is not shown again: only the owner's word counts, since it may
    # have placed something meanwhile.
    lead.round()
    assert lead.last_result.releases == []
    lead.machine("m-1", retiring=True)
    lead.round()
    assert lead.last_result.releases == ["m-1"]
    lead.leader.fleet.released(["m-1"], lead.now)
    shard = lead.shard_of("m-1")
    view = lead.view(shard, [], base=lead.shown[shard])
    assert lead.leader.on_shard_view(view, lead.now).gone == ["m-1"]


def test_a_view_that_comes_late_changes_nothing(lead: LeaderHarness) -> None:
    """Held on its way, a whole view took the place of all that was shown since."""
    lead.machine("m-1", zone="c")
    shard = lead.shard_of("m-1")
    old = lead.view(shard, [])
    lead.round()
    assert lead.leader.on_shard_view(old, lead.now + 60.0).resync
    lead.job("wk-000001", pieces=1)
    assert lead.leader.round(lead.now, lead.now).new_assignments  # m-1 is still there


def test_silent_machines_are_released_unless_many_are_silent(lead: LeaderHarness) -> None:
    """A taken machine's tasks start anew once its release is certain. If a whole part
    is silent, its owner is cut off, and releasing would lose everything."""
    names = [f"m-{i}" for i in range(60) if lead.shard_of(f"m-{i}") == 0][:12]
    for name in names:
        lead.machine(name, empty=False)
    lead.machine(names[0], empty=False, open=False, silent_s=5.0)
    lead.round()
    assert lead.last_result.releases == [names[0]]
    for name in names[:6]:
        lead.machine(name, empty=False, open=False, silent_s=5.0)
    lead.round()
    assert lead.last_result.releases == []


def test_the_dead_are_told_from_a_deaf_owner_by_others(lead: LeaderHarness) -> None:
    """Found by days of mass loss: a part of which a quarter was silent returned nothing until
    the cloud listed the dead as failed, 35 to 45 s later. Where others tried in vain as well,
    and no more machines are to be had, they are returned after three reports."""
    names = [f"m-{i}" for i in range(60) if lead.shard_of(f"m-{i}") == 0][:12]
    for name in names:
        lead.machine(name, empty=False)
    lead.round()
    for name in names[:6]:
        lead.machine(name, empty=False, open=False, silent_s=5.0)
        lead.probe_outcomes[name] = "no_connection"
    lead.round()
    assert lead.last_result.releases == []  # more can be had: no need to give up what they hold
    lead.leader.fleet.on_rental_refused(Rental("small", "a", True, 1), lead.now)
    lead.foreign_reports = [(names[0], 1.0)]
    lead.probe_outcomes[names[1]] = "no_answer"
    lead.round()
    assert sorted(lead.last_result.releases) == sorted(names[2:6])


def listed(name: str, zone: str = "a") -> ListedMachine:
    return ListedMachine(name, "small", zone, True, "running", 100.0, f"{name}:9000")


def test_machines_whose_lease_is_over_are_returned_where_they_hold_the_last_room(
    lead: LeaderHarness,
) -> None:
    """Found by days of mass loss: what its owner had given up at the end of its lease was in
    nobody's view any more, and was kept until the cloud listed it as failed."""
    names = [f"m-{i}" for i in range(60) if lead.shard_of(f"m-{i}") == 0][:12]
    lead.leader.on_machine_list([listed(name) for name in names], lead.now)
    for name in names:
        lead.machine(name, empty=False)
    lead.round()
    for name in names[:9]:
        del lead.machines[name]
    lead.now += 11.0
    lead.round()
    assert lead.last_result.releases == []
    orders = lead.leader.on_shard_view(lead.view(0, [], base=lead.shown[0]), lead.now)
    assert sorted(orders.unreported) == sorted((name, f"{name}:9000") for name in names[:9])
    lead.leader.fleet.on_rental_refused(Rental("small", "a", True, 1), lead.now)
    lead.round()
    assert sorted(lead.last_result.releases) == sorted(names[:9])


def test_tasks_on_missed_machines_are_rented_ahead_within_the_share(lead: LeaderHarness) -> None:
    lead.job("wk-000001", pieces=8)
    names = [f"m-{i}" for i in range(60) if lead.shard_of(f"m-{i}") == 0][:4]
    lead.allot("wk-000001", 0, list(range(8)))
    for n, name in enumerate(names):
        lead.machine(name, empty=False, tasks=[("wk-000001", [2 * n, 2 * n + 2], 20.0)])
    lead.round()
    assert lead.last_result.rentals == []
    for name in names[:3]:
        changed = msgspec.structs.replace(lead.machines[name], open=False, silent_s=5.0)
        lead.machines[name] = changed
        lead.probe_outcomes[name] = "no_connection"
    lead.round()
    # Six tasks of two CPUs are missed; half of the fleet's 16 CPUs are two machines.
    assert sum(r.count for r in lead.last_result.rentals) == 2
    assert lead.last_result.new_assignments == {}
    for outcome in ("answered", "no_answer"):
        lead.probe_outcomes = dict.fromkeys(names, outcome)
        lead.round()
        assert lead.last_result.rentals == []


def test_nothing_is_rented_in_a_zone_that_is_cut_off(lead: LeaderHarness) -> None:
    """They come back together, and what is rented there meanwhile is cut off as well."""
    far = [f"m-{i}" for i in range(10)]
    for name in far:
        lead.machine(name, zone="b", empty=False)
    for i in range(10, 30):
        lead.machine(f"m-{i}", empty=False)
    lead.job("wk-000001", pieces=4)
    lead.round()
    for name in far:
        lead.machine(name, zone="b", empty=False, open=False, silent_s=9.0)
        lead.probe_outcomes[name] = "no_connection"
    for i in range(10, 30):
        lead.machine(f"m-{i}", empty=False, open=False)
    lead.leader.fleet.on_rental_refused(Rental("small", "b", True, 1), lead.now)
    lead.round()
    assert {r.zone for r in lead.last_result.rentals} == {"a"}
    assert lead.last_result.releases == []


def test_rentals_under_way_are_counted_on(lead: LeaderHarness) -> None:
    lead.job("wk-000001")
    lead.round()
    (rental,) = lead.last_result.rentals
    lead.leader.fleet.on_rental_sent(rental, lead.now)
    lead.round()
    assert lead.last_result.rentals == []
    lead.leader.fleet.rented(rental, ["m-1", "m-2"], lead.now)
    lead.round()
    assert lead.last_result.rentals == []


def test_work_within_its_guarantee_stops_what_others_run_beyond_theirs(lead: LeaderHarness) -> None:
    """Only what has just begun is stopped, and not for work of the same team."""
    lead.job("wk-000001", crew="blue", pieces=12, cpus=4.0)  # beyond blue's 8 CPUs
    flat = list(range(12))
    lead.allot("wk-000001", 0, flat)
    for i in range(12):
        left_s = 19.5 if i == 3 else 5.0
        lead.machine(f"m-{i}", empty=False, tasks=[("wk-000001", [i, i + 1], left_s)])
    lead.job("wk-000002", pieces=1)
    lead.round()
    assert lead.views() == []  # a new machine may be up first
    lead.now += 21.0
    lead.round()
    assert lead.views() == [("m-3", "wk-000001", 1)]
    lead.round()
    assert lead.views() == []


def test_much_higher_priority_stops_lower_at_once(lead: LeaderHarness) -> None:
    lead.job("wk-000001", crew="blue", pieces=2, cpus=4.0)
    lead.allot("wk-000001", 0, [0, 1])
    for i in range(2):
        lead.machine(f"m-{i}", empty=False, tasks=[("wk-000001", [i, i + 1], 19.5)])
    lead.job("wk-000002", pieces=1, urgency="critical", crew="blue", cpus=4.0)
    lead.round()
    assert lead.views() == []  # the other job is within its guarantee
    lead.job("wk-000003", crew="blue", pieces=2, cpus=4.0)
    lead.allot("wk-000003", 1, [0, 1])
    lead.machine("m-2", empty=False, tasks=[("wk-000003", [0, 2], 19.5)])
    lead.round()
    assert lead.views() == [("m-2", "wk-000003", 1)]


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


def done(lead: LeaderHarness, uid: str, tasks: int = 4) -> None:
    lead.put(assignment_key(uid, 0), {"t": {}, "d": [0, tasks]})


def test_what_waits_for_others_holds_and_causes_nothing(lead: LeaderHarness) -> None:
    """No allotments, rentals or part of the guarantee before its time."""
    lead.job("wk-000001", pieces=4, cpus=1.0)
    lead.job("wk-000002", pieces=16, cpus=2.0, awaits=["wk-000001"], urgency="high")
    lead.job("wk-000003", pieces=4, cpus=2.0)
    lead.machine("m-1")
    assert lead.round() == {"wk-000001": 4}
    assert lead.last_result.rentals != []  # for the third job
    lead.allot("wk-000001", 0, [0, 1, 2, 3])
    lead.allot("wk-000003", 0, [0, 1, 2, 3])
    assert lead.round() == {}
    assert lead.last_result.rentals == []
    done(lead, "wk-000001")
    for n in range(2, 12):
        lead.machine(f"m-{n}")
    assert lead.round() == {"wk-000002": 12}  # the limit of the team, 32 CPUs


def test_deadline_and_priority_pass_back_to_the_first_stage(lead: LeaderHarness) -> None:
    """Of two jobs alike the one goes first that an urgent job waits for, also when that
    one arrives later; one that is cancelled passes nothing back."""
    lead.machine("m-1")
    for n in (1, 2):
        lead.job(f"wk-00000{n}", pieces=2, urgency="best_effort", dueS=None, crew="blue")
    assert lead.round() == {"wk-000001": 2}
    lead.job("wk-000004", awaits=["wk-000002"], urgency="best_effort", dueS=None, crew="blue")
    assert lead.round() == {"wk-000001": 2}
    lead.job("wk-000005", awaits=["wk-000004"], urgency="high", dueS=90.0, crew="blue")
    assert lead.round() == {"wk-000002": 2}
    assert lead.leader._urgencies.rank(lead.replica.jobs["wk-000002"]) == 1
    finish = lead.leader._urgencies.latest_finish(lead.replica.jobs["wk-000002"])
    assert NOW + 90.0 - 2 * 25.0 < finish < NOW + 90.0 - 2 * 20.0
    spec = parse_job(job_body("wk-000005"))
    lead.put(job_key("wk-000005"), job_record(spec, NOW, True))
    assert lead.round() == {"wk-000001": 2}


def test_a_share_is_given_no_more_than_its_record_can_hold(lead: LeaderHarness) -> None:
    """Each task may come to be a range of its own; a record that has become too large
    could never be written again, and its tasks would be lost to the job."""
    team = msgspec.structs.replace(lead.settings.settings.teams[0], cpus_max=1e6)
    state = msgspec.structs.replace(
        lead.settings.settings.state, next=NextState(value_kb=2.0, txn_ops=4)
    )
    shared = msgspec.structs.replace(
        lead.settings.settings, teams=[team, lead.settings.settings.teams[1]], state=state
    )
    settings = msgspec.structs.replace(lead.settings, settings=shared)
    lead.leader = Leader(9, lead.replica, settings, NOW)
    huge = MachineType("huge", 1e5, 1e6, 0.4, 10.0, ["a"], spot_price=0.1)
    lead.leader.fleet.types = {"huge": huge}
    lead.machine("m-1", type="huge")
    lead.job("wk-000001", pieces=100_000, cpus=1.0, memoryGb=0.1)
    lead.round()
    ((_, shard),) = lead.last_result.new_assignments
    held = list(lead.last_result.new_assignments["wk-000001", shard].tasks)
    assert len(held) > 80
    limit = settings.state_limits.value_bytes
    worst = Assignment(
        {"a": Ranges.of(n + 99_000 for n in held[::2])},
        Ranges.of(n + 99_000 for n in held[1::2]),
        0,
    )
    assert value_bytes(worst.to_record()) <= limit
    # What is held and what is done count already.
    lead.put(assignment_key("wk-000001", shard), {"t": {"": [0, 60]}, "d": [100, 101, 102, 103]})
    lead.round()
    again = lead.last_result.new_assignments["wk-000001", shard]
    assert len(again.tasks) + 2 == len(held)


def test_room_of_tasks_that_have_ended_is_free_before_they_are_written(lead: LeaderHarness) -> None:
    """Found by measurement: what a part held by the book took its room until the outcome
    was written, and writes were scarce: hundreds of tasks waited beside free machines."""
    lead.machine("m-1", zone="c")
    shard = lead.shard_of("m-1")
    lead.job("wk-000001", pieces=4, cpus=2.0)
    lead.allot("wk-000001", shard, [0, 1])
    lead.job("wk-000002", pieces=4, cpus=2.0, crew="blue")
    assert lead.round() == {}
    view = lead.view(shard, [lead.machines["m-1"]], pending_removal=[("wk-000001", 2)])
    lead.leader.on_shard_view(view, lead.now)
    assert next(iter(lead.leader.round(lead.now, lead.now).new_assignments))[0] in (
        "wk-000001",
        "wk-000002",
    )


def test_a_leader_that_begins_knows_the_types_and_what_it_learnt_before(
    lead: LeaderHarness, settings: Settings
) -> None:
    """Found by measurement: after fencing off its own allotment a leader had no types until
    it could read the catalogue, and the cloud was away for a minute: no round at all."""
    new = Leader(10, lead.replica, settings, NOW, {"small": SMALL})
    assert new.fleet.types == {"small": SMALL}
    assert not new.fleet.has_listing
    lead.leader.fleet.released(["m-1"], NOW)
    again = Leader(11, lead.replica, settings, NOW, {}, previous_leader=lead.leader)
    assert again.fleet.gone == {"m-1": NOW}
    assert again.fleet.has_listing
    assert again.estimates is lead.leader.estimates


def test_a_mistaken_job_is_tried_by_one_task_and_nothing_is_rented_for_it(
    lead: LeaderHarness,
) -> None:
    lead.job("wk-000001", pieces=12)
    lead.job("wk-000002", pieces=2)
    lead.failing = [("wk-000001", 3, 9)]
    lead.round()
    assert [rental.count for rental in lead.last_result.rentals] == [1]  # for the other one
    for i in range(6):
        lead.machine(f"m-{i}")
    lease_s = lead.settings.settings.workers.lease_s
    assert set(lead.round()) == {"wk-000002"}
    lead.allot("wk-000002", 0, [0, 1])
    lead.now += lease_s + 0.1
    assert lead.round() == {"wk-000001": 1}
    lead.leader.assigned(["wk-000001"], lead.now)
    assert lead.round() == {}
    # A task that is done shows that it was not the job's fault.
    lead.put(assignment_key("wk-000001", 1), {"t": {}, "d": [0, 1]})
    assert lead.round() == {"wk-000001": 10}


def test_a_limit_of_zero_is_none(lead: LeaderHarness) -> None:
    """With much work waiting as well: nothing is divided by what has no end."""
    teams = lead.leader._teams
    teams["guest"] = msgspec.structs.replace(teams["red"], name="guest", cpus=0.0, cpus_max=0.0)
    for i in range(20):
        lead.machine(f"m-{i}")
    lead.job("wk-000001", pieces=100, crew="guest", cpus=0.25, memoryGb=0.5)
    lead.job("wk-000002", pieces=2)
    assigned = lead.round()
    assert assigned == {"wk-000001": 100, "wk-000002": 2}
    spec = parse_job(job_body("wk-000009", crew="guest", cpus=4.0))
    assert unrunnable_reason(spec, {"small": SMALL}, teams) is None
