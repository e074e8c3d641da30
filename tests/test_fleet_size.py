"""The number of instances by which limits are divided."""

from __future__ import annotations

from msgspec import structs

from garnetusher.membership import fleet_size
from garnetusher.model import plan
from garnetusher.model.simulation import Simulation
from garnetusher.policy.balancer import Balancer
from tests.experiment import small
from tests.membership_fleet import SECOND_US, joined_fleet
from tests.policy_host import settings


def test_fleet_size_counts_a_member_for_the_hold_time_when_it_has_left() -> None:
    members, nodes = joined_fleet(5)
    assert members.fleet_size(nodes[0]).instances == 5
    members.leave(nodes[4])
    members.run(2 * SECOND_US)
    assert members.fleet_size(nodes[0]).instances == 5
    members.run(fleet_size.HOLD_US)
    assert members.fleet_size(nodes[0]).instances == 4


def test_sidecars_divide_limits_by_the_present_members_when_membership_is_enabled() -> None:
    experiment = small(seconds=8)
    sidecars = structs.replace(experiment.sidecars, per_zone={"a": 3, "b": 2}, told=50, membership=True)
    experiment = structs.replace(experiment, sidecars=sidecars)
    simulation = Simulation(experiment, plan.make(experiment, 1))

    def instance_counts() -> list[int]:
        return [
            sidecar.balancer.zones.fleet_size
            for sidecar in simulation.sidecars.values()
            if isinstance(sidecar.balancer, Balancer)
        ]

    counts_at_start = instance_counts()
    simulation.run()
    assert (counts_at_start, instance_counts()) == ([50] * 5, [5] * 5)


def test_zones_check_health_ten_times_as_often_when_membership_counts_a_tenth_of_the_instances() -> None:
    zones = Balancer(settings(fleet_size=50), 1, 0).zones
    zones.get(0).endpoint_count = 2
    gap_without_members_us = zones.trial_gap_us(zones.get(0))
    zones.member_count = 5
    assert zones.trial_gap_us(zones.get(0)) == gap_without_members_us / 10
