"""Help texts, with examples that a test parses."""

from __future__ import annotations

import difflib
from dataclasses import dataclass

from lentilpath_core.language._submission import SUBMIT_KEYS
from lentilpath_core.language._tables import TABLE_COLUMNS, Table


@dataclass(frozen=True, slots=True)
class HelpTopic:
    """Syntax, meaning and example of one command."""

    form: str
    meaning: str
    example: str


HELP_TOPICS: dict[str, HelpTopic] = {
    "tasks": HelpTopic(
        "tasks [where COLUMN = VALUE and ...] [since TIME] [limit N]",
        "list tasks; columns: " + ", ".join(TABLE_COLUMNS["tasks"]),
        "tasks where team = packing and state = waiting",
    ),
    "jobs": HelpTopic(
        "jobs [where ...] [since TIME] [limit N]",
        "list jobs; columns: " + ", ".join(TABLE_COLUMNS["jobs"]),
        "jobs where kind = batch and open > 0 since 2h",
    ),
    "workers": HelpTopic(
        "workers [where ...] [limit N]",
        "list workers; columns: " + ", ".join(TABLE_COLUMNS["workers"]),
        "workers where state = draining",
    ),
    "zones": HelpTopic("zones", "list availability zones and their leaders", "zones"),
    "teams": HelpTopic("teams [where ...]", "list teams, quotas and open tasks", "teams"),
    "services": HelpTopic("services [where ...]", "list services and upstreams", "services"),
    "audit": HelpTopic(
        "audit [where ...] [since TIME] [limit N]",
        "list commands: who, what, when and outcome",
        "audit where operator = mira since 05:00 limit 20",
    ),
    "why": HelpTopic(
        "why task JOB/INDEX",
        "say why a task waits, or runs where it does",
        "why task nightly/3",
    ),
    "history": HelpTopic(
        "history job JOB [since TIME]",
        "list what happened to a job, oldest first",
        "history job nightly since 05:00",
    ),
    "usage": HelpTopic(
        "usage customer CUSTOMER [on DAY]",
        "list the usage lines of a customer on one day (UTC)",
        "usage customer harbor-spoon on 2026-12-01",
    ),
    "explain": HelpTopic(
        "explain line LINE",
        "show the chain behind a usage line: task, worker, interval, decision, price",
        "explain line portland-dock:nightly/3:1@w-07",
    ),
    "submit": HelpTopic(
        "submit service|batch|gang JOB KEY=VALUE ...",
        "accept a job durably; keys: " + ", ".join(SUBMIT_KEYS),
        "submit batch nightly tasks=4 cpu=1 memory=1GiB run=2s team=packing customer=harbor-spoon",
    ),
    "stop": HelpTopic("stop job JOB", "end a job and all its tasks", "stop job nightly"),
    "drain": HelpTopic(
        "drain worker WORKER [by TIME]",
        "give a worker nothing new",
        "drain worker w-07 by 06:00",
    ),
    "undrain": HelpTopic(
        "undrain worker WORKER", "give a worker new tasks again", "undrain worker w-07"
    ),
    "set": HelpTopic(
        "set quota team TEAM cpu=.. memory=.. accelerators=..; "
        "set policy service SERVICE KEY=VALUE ...",
        "change the configuration",
        "set quota team packing cpu=64 memory=256GiB",
    ),
}


def make_help(topic: str | None) -> Table:
    """Return the help on the topic closest to `topic`; on all topics for `None` or no match."""
    columns = ("form", "meaning", "example")
    if topic is not None:
        near = difflib.get_close_matches(topic.lower(), HELP_TOPICS, n=1, cutoff=0.5)
        if near:
            entry = HELP_TOPICS[near[0]]
            return Table(columns, ((entry.form, entry.meaning, entry.example),))
    rows = tuple((entry.form, entry.meaning, entry.example) for entry in HELP_TOPICS.values())
    return Table(columns, rows)
