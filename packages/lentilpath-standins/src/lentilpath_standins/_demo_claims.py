"""What the demo claims, held against the logs of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lentilpath_standins import truth
from lentilpath_standins._control import read_log
from lentilpath_standins._demo_steps import Submitted, list_rows
from lentilpath_standins.deployment import Deployment


@dataclass(frozen=True, slots=True)
class Claim:
    """One claim and whether it holds."""

    text: str
    evidence: str
    holds: bool


def check_claims(deployment: Deployment, submitted: list[Submitted], calls: int) -> list[Claim]:
    """Return the claims on requests and tasks of a running deployment."""
    facts = deployment.read_facts()
    runs = truth.list_runs(facts, deployment.killed_at)
    capacities = {worker.name: worker.capacity for worker in deployment.cell.workers}
    return [
        _check_calls(deployment, calls),
        _check_every_task_ran_once(runs, submitted),
        _check_places(runs, list_rows(deployment.cell, "tasks limit 1000")),
        _check_gangs(runs, submitted),
        _check_list("no worker held more than it has", facts, capacities),
        *_check_usage(deployment, runs, submitted),
    ]


def check_exit_codes(exit_codes: dict[str, int]) -> Claim:
    """Return the claim that every process stopped gracefully."""
    bad = {name: code for name, code in exit_codes.items() if code != 0}
    evidence = f"{len(exit_codes)} processes, exit codes other than 0: {bad or 'none'}"
    return Claim("SIGTERM stopped every process gracefully", evidence, not bad)


def _check_calls(deployment: Deployment, calls: int) -> Claim:
    logs = [read_log(runner.address) for runner in deployment.cell.runners]
    handled = sum(len(log["requests"]) for log in logs)
    evidence = f"{handled} requests at {len(logs)} runners, {calls} sent"
    return Claim("each caller's request ran once", evidence, handled == calls)


def _check_every_task_ran_once(runs: list[truth.Run], submitted: list[Submitted]) -> Claim:
    expected = sorted(task for job in submitted for task in job.list_tasks())
    ran = sorted(run.task for run in runs)
    evidence = f"{len(ran)} runs of {len(expected)} accepted tasks"
    return Claim("every accepted task ran once", evidence, ran == expected)


def _check_places(runs: list[truth.Run], rows: list[dict[str, Any]]) -> Claim:
    truly = {run.task: run.worker for run in runs}
    told = {row["task"]: row["worker"] for row in rows}
    wrong = sorted(task for task, worker in truly.items() if told.get(task) != worker)
    evidence = f"{len(truly)} tasks on {len(set(truly.values()))} workers, wrong: {wrong or 'none'}"
    return Claim("every task ran where `tasks` says", evidence, not wrong)


def _check_gangs(runs: list[truth.Run], submitted: list[Submitted]) -> Claim:
    gangs = [job for job in submitted if job.kind == "gang"]
    apart = []
    for gang in gangs:
        own = [run for run in runs if run.task in gang.list_tasks()]
        if max(run.started_at for run in own) >= min(run.ended_at for run in own):
            apart.append(gang.job)
    evidence = f"{len(gangs)} jobs, apart: {apart or 'none'}"
    return Claim("all tasks of an all-at-once job ran together", evidence, not apart)


def _check_list(text: str, facts: dict[str, list[dict[str, Any]]], capacities: Any) -> Claim:
    found = truth.find_overcommitted_workers(facts, capacities)
    return Claim(text, f"{len(facts)} workers, overcommitted: {found or 'none'}", not found)


def _check_usage(
    deployment: Deployment, runs: list[truth.Run], submitted: list[Submitted]
) -> list[Claim]:
    claims = []
    for customer in sorted({job.customer for job in submitted}):
        tasks = {task for job in submitted if job.customer == customer for task in job.list_tasks()}
        ended = sorted(run.task for run in runs if run.task in tasks and run.outcome)
        rows = list_rows(deployment.cell, f"usage customer {customer} on today")
        billed = sorted(row["task"] for row in rows if row["task"] in ended)
        evidence = f"{len(billed)} lines, {len(ended)} runs ended"
        text = f"usage of {customer} has one line for each run"
        claims.append(Claim(text, evidence, billed == ended))
    return claims
