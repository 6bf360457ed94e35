"""Completion of partly typed commands."""

from __future__ import annotations

import re

from lentilpath_core.language._help import HELP_TOPICS
from lentilpath_core.language._parser import QUOTA_KEYS, list_next_keywords
from lentilpath_core.language._submission import LIST_VALUES, SINGLE_VALUES
from lentilpath_core.language._tables import TABLE_COLUMNS
from lentilpath_core.states import TaskState
from lentilpath_core.workloads import PriorityClass, Strategy, WorkloadKind

_LAST_WORD_PATTERN = re.compile(r"[^\s=<>!~,]*$")
_PRECEDING_FIELD_PATTERN = re.compile(r"([\w.]+)\s*(?:=|!=)\s*$")
FIELD_VALUES = {
    "state": tuple(state.value for state in TaskState),
    "kind": tuple(kind.value for kind in WorkloadKind),
    "priority": tuple(priority.value for priority in PriorityClass),
    "strategy": tuple(strategy.value for strategy in Strategy),
    "idempotent": ("yes", "no"),
    "checkpointable": ("yes", "no"),
}


def complete_command(text: str) -> tuple[str, ...]:
    """Return the completions of the last, possibly empty, word of `text`, sorted."""
    match = _LAST_WORD_PATTERN.search(text)
    partial = match[0] if match else ""
    before = text[: len(text) - len(partial)]
    candidates = {*list_next_keywords(before), *_list_value_candidates(before)}
    return tuple(sorted(word for word in candidates if word.startswith(partial.lower())))


def _list_value_candidates(before: str) -> tuple[str, ...]:
    field = _PRECEDING_FIELD_PATTERN.search(before)
    if field is not None:
        return FIELD_VALUES.get(field[1], ())
    words = before.lower().split()
    if not words:
        return ()
    if words[-1] in ("where", "and"):
        return TABLE_COLUMNS.get(words[0], ())
    if words == ["help"]:
        return tuple(HELP_TOPICS)
    if words[0] == "submit" and len(words) >= 3:
        return tuple(f"{key}=" for key in (*SINGLE_VALUES, *LIST_VALUES))
    if words[:3] == ["set", "quota", "team"] and len(words) >= 4:
        return tuple(f"{key}=" for key in QUOTA_KEYS)
    return ()
