"""The grammar, and descriptions of its terminals for operators.

Each keyword is a terminal of its own, so that the parser can list the words it expected at the
position of an error. A `WORD` is any text without whitespace, quotes, commas and comparison
operators, so that names, times and amounts need no quoting.
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
    """Return the grammar in Lark's notation."""
    keywords = "\n".join(f"{word.upper()}.2: /{word}(?![^\\s=<>!~,])/i" for word in KEYWORDS)
    return _RULES + keywords


def describe_terminal(terminal: str) -> str:
    """Return the text that describes `terminal` in an error message."""
    names = {
        "WORD": "a name or value",
        "STRING": "a quoted value",
        "COMPARISON": "a comparison",
        "EQUAL": "=",
        "COMMA": ",",
        "$END": "the end",
    }
    return names.get(terminal, terminal.lower())
