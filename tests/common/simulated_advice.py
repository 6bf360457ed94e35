"""An advice service with few calling hosts, and a check that no task waits beside free workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from lentilpath_core.ids import HostId, Instant
from lentilpath_core.pool import AdvicePolicy, PoolState, StepKey
from lentilpath_core.pool._crashes import list_startable
from lentilpath_core.pool._state import Step
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool._advice import AdviceReply, AdviceRequest
from tests.common.simulated_workers import SLOTS, SimulatedCluster, read_time

POLICY = AdvicePolicy(30.0, 2.0, 2_000)
ALLOWED_SHARE = 0.5
LONGEST_WAIT_SECONDS = 3.0
"""A task that could start does not wait longer, by the rule LOST."""
SETTLING_SECONDS = 4.0
"""Work of an earlier leader may wait this long before, by the same rule."""
CHECK_SECONDS = 0.25


class SimulatedAdvice:
    """Stands for the members and the peers, each of which may call the service."""

    host = HostId("leader")

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._allowed: dict[tuple[object, object], bool] = {}

    def list_hosts(self, now: Instant) -> tuple[HostId, ...]:
        return tuple(HostId(f"a{each}") for each in range(self._cluster.advice_hosts))

    async def ask(
        self, host: HostId, topic: str, body: AdviceRequest, reply: object, timeout: float
    ) -> AdviceReply:
        await asyncio.sleep(POLICY.estimate_call_ms(len(body.workers)) / MS_PER_SECOND)
        draw = self._cluster.random.random
        for worker in body.workers:
            self._allowed.setdefault((body.step, worker), draw() < ALLOWED_SHARE)
        allowed = tuple((each, "t") for each in body.workers if self._allowed[(body.step, each)])
        return AdviceReply(allowed, POLICY.valid_ms)


async def watch_startable(
    cluster: SimulatedCluster,
    list_states: Callable[[], Iterable[PoolState]],
    disturbed_until: float,
    problems: list[str],
) -> None:
    """Add the steps that wait too long while most workers are free, with room for them twice."""
    since: dict[StepKey, float] = {}
    settled_at = disturbed_until + SETTLING_SECONDS
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        if cluster.split is not None:
            settled_at = read_time() + SETTLING_SECONDS
        answering = [each for each in cluster.workers.values() if each.is_up and not each.is_cut()]
        slots, used = SLOTS * len(answering), sum(len(each.running) for each in answering)
        machines = {each.machine for each in cluster.workers.values() if not each.is_lost()}
        is_free = 2 * used < slots and 2 * len(answering) > len(machines)
        waiting: set[StepKey] = set()
        for state in list_states():
            for step in state.open_steps.values():
                is_settling = step.job.is_recovered and read_time() < settled_at
                has_room = is_free and 2 * step.spec.count <= slots - used
                if has_room and not is_settling and _is_idle(state, step):
                    waiting.add(step.key)
        since = {key: since.get(key, read_time()) for key in waiting}
        for key, at in since.items():
            if read_time() - at > LONGEST_WAIT_SECONDS:
                problems.append(f"IDLE: {key} waits since {at:.3f}, {used} of {slots} slots used")


def _is_idle(state: PoolState, step: Step) -> bool:
    """Return whether none of the step's tasks runs."""
    if _is_held_by_quota(state, step):
        return False
    now = Instant(int(read_time() * 1_000))
    return bool(list_startable(step, now)) and not step.attempts


def _is_held_by_quota(state: PoolState, step: Step) -> bool:
    """Return whether the customer holds half of its quota, or the quota is too small for the step.

    Such a step may wait however much room there is.
    """
    usage = state.customers.get(step.job.record.customer)
    quota = usage.policy.quota.millicores if usage is not None and usage.policy is not None else 0
    if usage is None or not quota:
        return False
    least = step.spec.room.millicores * (step.spec.count if step.spec.gang else 1)
    held = usage.held.millicores + usage.unseen.millicores
    return least > quota or 2 * held >= quota
