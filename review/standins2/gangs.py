"""Plays the gangs of all runners: members wait for each other, work together and end together."""

from __future__ import annotations

import asyncio
import time

from standins2.runner import Run, Runner
from standins2.system import System

Member = tuple[Runner, tuple[str, int], Run]
GangKey = tuple[str, int]


async def play_gangs(
    system: System, spec: str, count: int, work_seconds: float, wait_seconds: float
) -> None:
    """Play the gangs of `count` members whose tasks have this `spec`, until cancelled."""
    complete: set[GangKey] = set()
    while True:
        now = time.monotonic()
        for gang, members in _list_gangs(system, spec).items():
            if gang in complete:
                continue
            if len(members) == count:
                complete.add(gang)
                system.note(f"all {count} members of {gang[0]} run {gang[1]} are present")
                for _, _, run in members:
                    run.work_seconds = run.worked + work_seconds
                continue
            for runner, key, run in members:
                if now > run.began + wait_seconds and not run.stopping:
                    runner.end(key, "alone")
        await asyncio.sleep(0.02)


def _list_gangs(system: System, spec: str) -> dict[GangKey, list[Member]]:
    gangs: dict[GangKey, list[Member]] = {}
    for runner in system.runners:
        for key, run in runner.running.items():
            if run.spec == spec:
                gang = run.task.rpartition(".")[0], run.number
                gangs.setdefault(gang, []).append((runner, key, run))
    return gangs
