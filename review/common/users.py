"""A stand-in for the users behind the load balancer."""

import random
from typing import Any

import trio

from common.platform import Platform
from ryegauge.transport.http import Unreachable

SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0


def job(uid: str, **fields: Any) -> dict[str, Any]:
    """A job's description: a sweep of one task, with the given fields changed."""
    return {
        "uid": uid,
        "duty": "fault-sweep",
        "crew": "fault-watch",
        "shape": "sweep",
        "urgency": "normal",
        "pieces": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "memoryGb": 1.0,
        "kit": "img-1",
        "imageGb": 0.5,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectS": 10.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        **fields,
    }


class Users:
    """Submits, polls and cancels as PROTOCOL says, on a new connection each time."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def request(
        self, method: str, target: str, body: Any, timeout_s: float, node: str | None = None
    ) -> tuple[int, Any]:
        """One request to a controller, a random one unless named; status 0 without an answer."""
        platform = self._platform
        name = node or random.choice(list(platform.controllers))
        client = platform.network.client(platform.controllers[name], max_connections=1, idle_s=1.0)
        try:
            status, answer, _ = await client.request(method, target, body, timeout_s=timeout_s)
        except Unreachable:
            status, answer = 0, None
        finally:
            client.close()
        platform.record.note(f"user: {method} {target} at {name}: {status} {answer}")
        return status, answer

    async def wait_until_healthy(self) -> None:
        """Waits until every controller answers `/healthz` with 200."""
        for name in self._platform.controllers:
            while (await self.request("GET", "/healthz", None, 1.0, name))[0] != 200:
                await trio.sleep(0.3)

    async def submit(self, spec: dict[str, Any]) -> tuple[int, Any]:
        """Submits a job, with retries for up to 60 s; the last status and answer."""
        self._platform.jobs[spec["uid"]] = spec
        retry_until = trio.current_time() + 60.0
        while True:
            status, answer = await self.request("POST", "/v1/jobs", spec, SUBMIT_TIMEOUT_S)
            if status in (200, 201, 400, 422) or trio.current_time() > retry_until:
                return status, answer
            await trio.sleep(1.0)

    async def poll(self, uid: str, node: str | None = None) -> tuple[int, Any]:
        """Asks for a job's state once."""
        return await self.request("GET", f"/v1/jobs/{uid}", None, POLL_TIMEOUT_S, node)

    async def wait_until_done(self, uid: str, within_s: float) -> bool:
        """Polls until a job is done; whether it was within the time."""
        with trio.move_on_after(within_s):
            while True:
                status, answer = await self.poll(uid)
                if status == 200 and answer["status"] == "done":
                    return True
                await trio.sleep(2.0)
        return False

    async def cancel(self, uid: str, node: str | None = None) -> tuple[int, Any]:
        """Cancels a job, repeating the request until it gets one of its answers."""
        while True:
            status, answer = await self.request(
                "POST", f"/v1/jobs/{uid}/cancel", {}, SUBMIT_TIMEOUT_S, node
            )
            if status in (200, 404):
                return status, answer
            await trio.sleep(1.0)
