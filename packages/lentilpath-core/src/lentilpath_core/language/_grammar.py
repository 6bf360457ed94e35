"""The grammar, and the words that its terminals stand for.

Keywords are terminals of their own, so that the parser can tell which words could stand where an
error is. A `WORD` is anything without blanks, quotes and comparison signs, so that names, times
and amounts need no quoting.
"""

from __future__ import annotations

KEYWORDS = (
    "submit",
    "service",
    "batch",
    "gang",
    "why",
    "task",
    "history",
    "job",
    "since",
    "stop",
    "drain",
    "undrain",
    "worker",
    "by",
    "usage",
    "customer",
    "on",
    "explain",
    "line",
    "set",
    "quota",
    "policy",
    "team",
    "help",
    "where",
    "and",
    "limit",
    "tasks",
    "jobs",
    "workers",
    "zones",
    "teams",
    "services",
    "audit",
)

_RULES = r"""
start: list_rows | explain_task | show_history | show_usage | explain_line | show_help
     | submit | stop | drain | undrain | set_quota | set_policy

list_rows: table [where] [since] [limit]
table: TASKS | JOBS | WORKERS | ZONES | TEAMS | SERVICES | AUDIT
where: WHERE condition (AND condition)*
condition: WORD COMPARISON values
since: SINCE WORD
limit: LIMIT WORD

explain_task: WHY TASK WORD
show_history: HISTORY JOB WORD [since]
show_usage: USAGE CUSTOMER WORD [on]
on: ON WORD
explain_line: EXPLAIN LINE WORD
show_help: HELP [WORD]

submit: SUBMIT kind WORD assignment*
kind: SERVICE | BATCH | GANG
stop: STOP JOB WORD
drain: DRAIN WORKER WORD [by]
by: BY WORD
undrain: UNDRAIN WORKER WORD
set_quota: SET QUOTA TEAM WORD assignment+
set_policy: SET POLICY SERVICE WORD assignment+

assignment: WORD "=" values
values: value ("," value)*
value: WORD | STRING

COMPARISON: "!=" | "<=" | ">=" | "=" | "<" | ">" | "~"
STRING: /"(?:[^"\\]|\\.)*"/
WORD: /[^\s=<>!~,"']+/
%ignore /\s+/
"""


def make_grammar() -> str:
    """Return the grammar in the notation of lark."""
    keywords = "\n".join(f"{word.upper()}.2: /{word}(?![^\\s=<>!~,])/i" for word in KEYWORDS)
    return _RULES + keywords


def describe_terminal(terminal: str) -> str:
    """Return what an operator would type for `terminal`."""
    names = {
        "WORD": "a name or value",
        "STRING": "a quoted value",
        "COMPARISON": "a comparison",
        "EQUAL": "=",
        "COMMA": ",",
        "$END": "the end",
    }
    return names.get(terminal, terminal.lower())
