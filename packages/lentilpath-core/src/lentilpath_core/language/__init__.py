"""The operators' query and command language: parsing into typed commands, answers as tables."""

from lentilpath_core.language._commands import (
    CHANGE_COMMANDS,
    ChangeCommand,
    Command,
    Comparison,
    Condition,
    Drain,
    ExplainLine,
    ExplainTask,
    ListRows,
    ReadCommand,
    SetPolicy,
    SetQuota,
    ShowHelp,
    ShowHistory,
    ShowUsage,
    Stop,
    Submit,
    Undrain,
)
from lentilpath_core.language._completion import complete_command
from lentilpath_core.language._filters import filter_table
from lentilpath_core.language._help import HELP_TOPICS, make_help
from lentilpath_core.language._parser import UnreadableCommand, list_next_keywords, parse_command
from lentilpath_core.language._queries import count_open_tasks, list_history, list_zone_rows
from lentilpath_core.language._submission import SUBMIT_KEYS
from lentilpath_core.language._tables import TABLE_COLUMNS, Cell, Table
from lentilpath_core.language._units import format_time

__all__ = [
    "CHANGE_COMMANDS",
    "HELP_TOPICS",
    "SUBMIT_KEYS",
    "TABLE_COLUMNS",
    "Cell",
    "ChangeCommand",
    "Command",
    "Comparison",
    "Condition",
    "Drain",
    "ExplainLine",
    "ExplainTask",
    "ListRows",
    "ReadCommand",
    "SetPolicy",
    "SetQuota",
    "ShowHelp",
    "ShowHistory",
    "ShowUsage",
    "Stop",
    "Submit",
    "Table",
    "Undrain",
    "UnreadableCommand",
    "complete_command",
    "count_open_tasks",
    "filter_table",
    "format_time",
    "list_history",
    "list_next_keywords",
    "list_zone_rows",
    "make_help",
    "parse_command",
]
