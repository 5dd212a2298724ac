"""The policy `settled`, the default: jobs within their team's guarantee go first, whatever their
priority.

There is no ageing. Preempting for every waiting job lost more work than it gained
(docs/design.md). So a job preempts tasks at least two priorities below its own, or, if it is
within its team's guarantee and has waited, tasks of teams over theirs; and only tasks that have
just begun are preempted.
"""

from collections.abc import Sequence

from ryegauge.ordering.model import Claim, Entry, Holding, Running, Spare, Waiting

# A job may preempt tasks whose priority is at least this many ranks below its own.
STEPS = 2


class Settled:
    """Guarantees first, then priority, then the latest finish."""

    stops_any = False
    stop_pause = 1.0
    ages = False

    def order(
        self,
        waiting: Sequence[Waiting],
        holding: Sequence[Holding],
        spare: dict[str, Spare],
        now: float,
    ) -> list[Entry]:
        ranked = sorted(
            waiting, key=lambda j: (not j.within, j.rank, j.finish, j.submitted_at, j.uid)
        )
        return [Entry(job.uid) for job in ranked]

    def claims(self, claim: Claim, lowest: int) -> bool:
        return claim.guaranteed or lowest >= claim.rank + STEPS

    def may_stop(self, claim: Claim, running: Running) -> bool:
        lower = running.rank >= claim.rank + STEPS
        yields = claim.guaranteed and running.team != claim.team and running.beyond
        return (lower or yields) and not running.within

    def stop_key(self, running: Running) -> tuple[float, ...]:
        return (running.elapsed_s,)

    def aged(self, holding: Holding, now: float) -> bool:
        return False
