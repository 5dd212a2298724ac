"""The order of old: work within its team's guarantee first, whatever its priority.

Nothing ages. Stopping others for whatever waits lost more than it gained
(docs/design.md): priority stops others from two steps down, a guarantee once its job has
waited, and only what has just begun is stopped.
"""

from collections.abc import Sequence

from ryegauge.ordering.model import Claim, Entry, Holding, Running, Spare, Waiting

STEPS = 2


class Settled:
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
