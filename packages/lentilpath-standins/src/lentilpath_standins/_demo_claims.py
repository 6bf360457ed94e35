"""Checks the claims of the demo against the logs of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lentilpath_standins import truth
from lentilpath_standins._control import read_log
from lentilpath_standins._demo_steps import SubmittedJob, list_rows
from lentilpath_standins.deployment import Deployment


@dataclass(frozen=True, slots=True)
class Claim:
    """One checked claim, the evidence for it and whether it holds."""

    text: str
    evidence: str
    holds: bool


def check_claims(
    deployment: Deployment, submitted: list[SubmittedJob], request_count: int
) -> list[Claim]:
    """Check requests, tasks, capacity and usage lines of a running deployment."""
    facts = deployment.read_facts()
    runs = truth.list_runs(facts, deployment.killed_at)
    capacities = {worker.name: worker.capacity for worker in deployment.cell.workers}
    return [
        _check_requests(deployment, request_count),
        _check_every_task_ran_once(runs, submitted),
        _check_workers(runs, list_rows(deployment.cell, "tasks limit 1000")),
        _check_gangs(runs, submitted),
        _check_capacity("no worker exceeded its capacity", facts, capacities),
        *_check_usage(deployment, runs, submitted),
    ]


def check_exit_codes(exit_codes: dict[str, int]) -> Claim:
    """Check that every process exited with code 0 after SIGTERM."""
    failed = {name: code for name, code in exit_codes.items() if code != 0}
    evidence = f"{len(exit_codes)} processes, exit codes other than 0: {failed or 'none'}"
    return Claim("SIGTERM stopped every process gracefully", evidence, not failed)


def _check_requests(deployment: Deployment, request_count: int) -> Claim:
    logs = [read_log(runner.address) for runner in deployment.cell.runners]
    handled = sum(len(log["requests"]) for log in logs)
    evidence = f"{handled} requests at {len(logs)} runners, {request_count} sent"
    return Claim("each caller's request ran once", evidence, handled == request_count)


def _check_every_task_ran_once(runs: list[truth.Run], submitted: list[SubmittedJob]) -> Claim:
    expected = sorted(task for job in submitted for task in job.list_tasks())
    ran = sorted(run.task for run in runs)
    evidence = f"{len(ran)} runs of {len(expected)} accepted tasks"
    return Claim("every accepted task ran once", evidence, ran == expected)


def _check_workers(runs: list[truth.Run], rows: list[dict[str, Any]]) -> Claim:
    actual_workers = {run.task: run.worker for run in runs}
    listed_workers = {row["task"]: row["worker"] for row in rows}
    mismatched = sorted(
        task for task, worker in actual_workers.items() if listed_workers.get(task) != worker
    )
    evidence = (
        f"{len(actual_workers)} tasks on {len(set(actual_workers.values()))} workers, "
        f"mismatched: {mismatched or 'none'}"
    )
    return Claim("every task ran on the worker that `tasks` lists", evidence, not mismatched)


def _check_gangs(runs: list[truth.Run], submitted: list[SubmittedJob]) -> Claim:
    gangs = [job for job in submitted if job.kind == "gang"]
    non_overlapping = []
    for gang in gangs:
        gang_runs = [run for run in runs if run.task in gang.list_tasks()]
        if max(run.started_at for run in gang_runs) >= min(run.ended_at for run in gang_runs):
            non_overlapping.append(gang.job)
    evidence = f"{len(gangs)} gangs, not together: {non_overlapping or 'none'}"
    return Claim("all tasks of a gang ran at the same time", evidence, not non_overlapping)


def _check_capacity(text: str, facts: dict[str, list[dict[str, Any]]], capacities: Any) -> Claim:
    overcommitted = truth.find_overcommitted_workers(facts, capacities)
    return Claim(
        text, f"{len(facts)} workers, overcommitted: {overcommitted or 'none'}", not overcommitted
    )


def _check_usage(
    deployment: Deployment, runs: list[truth.Run], submitted: list[SubmittedJob]
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
