"""Scheduling policies: the order in which jobs get capacity, and which running tasks may be
preempted for which jobs.

Policies are pure functions of plain values; `docs/design/ageing.md` compares them. Only the one
that the property `ordering` names is loaded.
"""

from ryegauge.config import Settings
from ryegauge.ordering.guarantee_first import GuaranteeFirst
from ryegauge.ordering.model import Policy


def create_policy(settings: Settings) -> Policy:
    """Returns the policy that the property `ordering` names, with its parameters."""
    props = settings.properties
    if props.ordering == "settled":
        return GuaranteeFirst()
    from ryegauge.ordering.ageing import Ageing, Strict

    lease_s = settings.settings.workers.lease_s
    stop_after_s = props.ageing_stop_reports * settings.report_gap_s
    if props.ordering == "strict":
        return Strict(stop_after_s)
    return Ageing(
        patience_s=props.ageing_patience_leases * lease_s,
        factor=props.ageing_rank_factor,
        floor=props.ageing_floor,
        ceiling=props.ageing_ceiling,
        reserve_s=props.ageing_hold_leases * lease_s,
        stop_after_s=stop_after_s,
    )
