"""Boot-time estimates against simulated boots, and simulated days on which boots are late."""

import math
import random
from pathlib import Path

import pytest
import trio
from days import play
from test_world import MIXED_JOBS, controller_settings

from ryegauge.emulator.world import World
from ryegauge.scheduling.boot_times import BootTimes, MachineKind, PendingBoot

NOMINAL_S = 25.0
ZONE_A: MachineKind = ("mid", "a", True)
ZONE_B: MachineKind = ("mid", "b", True)


class SimulatedRentals:
    """Rents one machine after the other. Their boot times follow a given factor by kind and time,
    and a share of them never comes up. Records the age at which each was given up."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.boots = BootTimes()
        self.up_at: dict[str, float] = {}
        self.booting: dict[str, tuple[MachineKind, float]] = {}
        self.given_up: dict[str, float] = {}  # name -> age at which it was given up
        self.no_longer_expected: dict[str, float] = {}

    def play(
        self,
        factor_at: dict[MachineKind, list[tuple[float, float]]],
        failure_share: float,
        seconds: float,
        every_s: float = 1.0,
    ) -> None:
        """Rents one machine every `every_s` seconds. `factor_at` gives for each kind the factors on
        the nominal boot time as (from when, factor), and `failure_share` the share of machines
        that never come up."""
        now, next_rental_at = 0.0, 0.0
        while now < seconds:
            while next_rental_at <= now:
                next_rental_at += every_s
                kind = self.rng.choice(list(factor_at))
                factor = [f for since, f in factor_at[kind] if since <= now][-1]
                name = f"m-{len(self.up_at)}"
                took_s = NOMINAL_S * self.rng.uniform(0.6, 1.5) * factor
                self.booting[name] = kind, now
                self.up_at[name] = math.inf if self.rng.random() < failure_share else now + took_s
            pending = []
            for name, (kind, rented_at) in list(self.booting.items()):
                if self.up_at[name] <= now:
                    self.boots.record_boot(kind, NOMINAL_S, self.up_at[name] - rented_at, now)
                    del self.booting[name]
                elif name in self.given_up:
                    del self.booting[name]
                else:
                    pending.append(PendingBoot(name, kind, NOMINAL_S, now - rented_at))
            for name, expected in self.boots.assess(pending, now).items():
                age_s = now - self.booting[name][1]
                if expected.is_given_up:
                    self.given_up[name] = age_s
                if not expected.is_expected:
                    self.no_longer_expected.setdefault(name, age_s)
            now += 1.0


@pytest.mark.parametrize("seed", range(4))
def test_machines_that_never_boot_are_given_up(seed: int) -> None:
    rentals = SimulatedRentals(seed)
    rentals.play({ZONE_A: [(0.0, 1.0)]}, 0.05, 600.0)
    never_up = {name for name, up_at in rentals.up_at.items() if up_at == math.inf}
    rented_early = {name for name in never_up if int(name[2:]) < 500}
    assert set(rentals.given_up) <= never_up
    assert rented_early <= set(rentals.given_up)
    assert max(rentals.given_up.values()) <= 3.0 * NOMINAL_S + 1
    # Replacements are rented sooner than that, and seldom needlessly.
    assert all(age_s <= 2.2 * NOMINAL_S for age_s in rentals.no_longer_expected.values())
    assert len(set(rentals.no_longer_expected) - never_up) <= 0.01 * len(rentals.up_at)


@pytest.mark.parametrize("seed", range(4))
def test_slow_boots_of_all_machines_are_waited_for(seed: int) -> None:
    """New machines would be no faster, so the slow ones are waited for and expected late."""
    rentals = SimulatedRentals(seed)
    rentals.play({ZONE_A: [(0.0, 4.0)]}, 0.0, 300.0)
    assert rentals.given_up == {}
    assert len(rentals.no_longer_expected) <= 0.05 * len(rentals.up_at)
    assert rentals.boots.boot_s(ZONE_A, NOMINAL_S, 300.0) > 2.5 * NOMINAL_S
    # After the slow phase the estimates soon return to normal.
    for n in range(20):
        rentals.boots.record_boot(ZONE_A, NOMINAL_S, 25.0, 420.0 + 5 * n)
    rentals.boots.assess([], 520.0)
    assert rentals.boots.boot_s(ZONE_A, NOMINAL_S, 520.0) < 1.5 * NOMINAL_S


def test_only_one_zone_is_slow() -> None:
    rentals = SimulatedRentals(1)
    rentals.play({ZONE_A: [(0.0, 1.0)], ZONE_B: [(0.0, 3.0)]}, 0.0, 300.0)
    assert rentals.given_up == {}
    zone_a_s, zone_b_s = (rentals.boots.boot_s(kind, NOMINAL_S, 300.0) for kind in (ZONE_A, ZONE_B))
    assert zone_a_s < 1.6 * NOMINAL_S
    assert zone_b_s > 2.0 * NOMINAL_S


def test_a_phase_of_fast_boots_ends() -> None:
    """Machines rented after a phase of fast boots are not taken for lost, and during it the
    expected boot time does not fall below its lower bound."""
    rentals = SimulatedRentals(2)
    rentals.play({ZONE_A: [(0.0, 0.05), (120.0, 1.0)]}, 0.0, 300.0)
    assert rentals.given_up == {}
    assert len(rentals.no_longer_expected) <= 0.05 * len(rentals.up_at)
    boots = BootTimes()
    for n in range(50):
        boots.record_boot(ZONE_A, NOMINAL_S, 1.0, float(n))
    assert boots.boot_s(ZONE_A, NOMINAL_S, 50.0) == 0.5 * NOMINAL_S


def test_remaining_boot_time_is_never_zero() -> None:
    """An overdue machine was expected to come up at once, for as long as three boot times."""
    boots = BootTimes()
    ages = [0.0, 10.0, 25.0, 40.0, 60.0, 100.0]
    left = [
        boots.assess([PendingBoot("m", ZONE_A, NOMINAL_S, age)], 0.0)["m"].remaining_s
        for age in ages
    ]
    assert left[0] == pytest.approx(NOMINAL_S)
    assert left[0] > left[1] > left[2]
    assert min(left) >= 0.04 * NOMINAL_S
    # If both of two are overdue, each is expected to need as long again.
    both = [PendingBoot(name, ZONE_A, NOMINAL_S, 60.0) for name in ("m-1", "m-2")]
    assert {e.remaining_s for e in boots.assess(both, 0.0).values()} == {60.0}


@pytest.mark.parametrize(
    ("factor", "failure_share", "zones"),
    [
        (4.0, 0.0, "ab"),
        (1.0, 0.4, "ab"),
        (3.0, 0.3, "b"),
        (0.05, 0.0, "ab"),
    ],
)
def test_days_with_late_boots(
    tmp_path: Path, factor: float, failure_share: float, zones: str
) -> None:
    async def script(world: World) -> None:
        world.slow_zones, world.boot_factor, world.boot_failure_share = (
            set(zones),
            factor,
            failure_share,
        )
        await trio.sleep(40.0)
        world.crash(0)
        for worker in [w for w in world.workers.values() if w.alive and w.up][:2]:
            world.fail_machine(worker)
        await trio.sleep(80.0)
        world.slow_zones = set()

    world = play(controller_settings(tmp_path, 3), 7, MIXED_JOBS, script, 330.0)
    assert world.checker.broken == []
    assert world.unfinished == set()
    # No more than needed is rented, however late the machines come: the small fleet has 12.
    assert sum(e.what == "rented" for e in world.recorded_events) < 70
