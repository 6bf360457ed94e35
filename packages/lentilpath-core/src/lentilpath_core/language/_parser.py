"""Parsing of text into commands. Errors name the column and suggest the closest words."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

from lentilpath_core.errors import InvalidCommand
from lentilpath_core.ids import CustomerId, JobId, ServiceId, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.language._commands import (
    Command,
    Comparison,
    Condition,
    Drain,
    ExplainLine,
    ExplainTask,
    ListRows,
    SetPolicy,
    SetQuota,
    ShowHelp,
    ShowHistory,
    ShowUsage,
    Stop,
    Submit,
    Undrain,
)
from lentilpath_core.language._grammar import describe_terminal, make_grammar
from lentilpath_core.language._submission import (
    LIST_VALUES,
    PARAMETER_PREFIX,
    SINGLE_VALUES,
    SUBMIT_KEYS,
    JobDraft,
    add_submit_value,
    make_job_spec,
)
from lentilpath_core.language._tables import TABLE_COLUMNS
from lentilpath_core.language._units import (
    InvalidValue,
    parse_count,
    parse_day_start,
    parse_future_time,
    parse_memory_mib,
    parse_millicores,
    parse_past_time,
)
from lentilpath_core.workloads import WorkloadKind

MAX_COMMAND_LENGTH = 16_384
QUOTA_KEYS = {
    "cpu": ("millicores", parse_millicores),
    "memory": ("memory_mib", parse_memory_mib),
    "accelerators": ("accelerators", parse_count),
}

_parser = Lark(make_grammar(), parser="lalr", lexer="contextual", maybe_placeholders=True)


class UnreadableCommand(InvalidCommand):
    """A command cannot be parsed; `column` is the position of the error."""

    def __init__(self, text: str, column: int, problem: str, suggestions: tuple[str, ...]) -> None:
        self.column = column
        """Column of the error, from 1."""
        self.problem = problem
        self.suggestions = suggestions
        hint = f"; did you mean {' or '.join(suggestions)}?" if suggestions else ""
        line = text.replace("\n", " ").replace("\t", " ")
        pointer = " " * (column - 1) + "^"
        super().__init__(f"column {column}: {problem}{hint}\n  {line}\n  {pointer}")


def parse_command(text: str, now: WallTime) -> Command:
    """Return the command in `text`, with times relative to `now`; raises `UnreadableCommand`."""
    if len(text) > MAX_COMMAND_LENGTH:
        problem = f"the command has {len(text)} characters; give at most {MAX_COMMAND_LENGTH}"
        raise UnreadableCommand(text[:60], 1, problem, ())
    if not text.strip():
        raise UnreadableCommand(text, 1, "the command is empty", ("help",))
    try:
        tree: Any = _parser.parse(text)
    except UnexpectedInput as error:
        raise _describe_syntax_error(text, error) from error
    return _CommandBuilder(text, now).build(tree.children[0])


def list_next_keywords(text: str) -> tuple[str, ...]:
    """Return the keywords that may follow `text`, sorted; none if `text` is already invalid."""
    interactive = _parser.parse_interactive(text)
    try:
        interactive.exhaust_lexer()
    except UnexpectedInput:
        return ()
    terminals: set[str] = interactive.accepts()  # type: ignore[no-untyped-call]
    special = {"WORD", "STRING", "COMPARISON", "EQUAL", "COMMA", "$END"}
    return tuple(sorted(terminal.lower() for terminal in terminals - special))


def _describe_syntax_error(text: str, error: UnexpectedInput) -> UnreadableCommand:
    expected: Iterable[str] = ()
    found = ""
    column = len(text.rstrip()) + 2
    if isinstance(error, UnexpectedToken):
        expected = error.accepts or error.expected
        if error.token.type != "$END":
            found = str(error.token)
            column = error.token.start_pos + 1 if error.token.start_pos is not None else 1
    elif isinstance(error, UnexpectedCharacters):
        expected = error.allowed or ()
        column = (error.pos_in_stream or 0) + 1
        found = text[column - 1 :].split()[0] if text[column - 1 :].split() else ""
    elif isinstance(error, UnexpectedEOF):
        expected = error.expected
    words = sorted(describe_terminal(terminal) for terminal in expected)
    known = ", ".join(words) or "nothing more"
    problem = f"{found!r} cannot stand here" if found else "the command ends too early"
    suggestions = _find_similar(found, words)
    return UnreadableCommand(text, column, f"{problem}; expected {known}", suggestions)


def _find_similar(word: str, candidates: Iterable[str]) -> tuple[str, ...]:
    return tuple(difflib.get_close_matches(word.lower(), tuple(candidates), n=2, cutoff=0.6))


class _CommandBuilder:
    """Builds a command from the parse tree; errors name the column of the invalid value."""

    def __init__(self, text: str, now: WallTime) -> None:
        self._text = text
        self._now = now

    def build(self, tree: Tree[Token]) -> Command:
        parts: list[Any] = [part for part in tree.children if not self._is_keyword(part)]
        command: Command = getattr(self, f"_read_{tree.data}")(parts)
        return command

    def _is_keyword(self, part: Any) -> bool:
        return isinstance(part, Token) and part.type not in ("WORD", "STRING", "COMPARISON")

    def _read_list_rows(self, parts: list[Any]) -> ListRows:
        table = str(parts[0].children[0]).lower()
        where, since, limit = parts[1:]
        conditions = where.children if where is not None else ()
        return ListRows(
            table,
            tuple(
                self._read_condition(table, part) for part in conditions if isinstance(part, Tree)
            ),
            self._read_since(since),
            self._convert(limit.children[1], parse_count) if limit is not None else None,
        )

    def _read_condition(self, table: str, tree: Any) -> Condition:
        name, comparison, values = tree.children
        columns = TABLE_COLUMNS[table]
        if str(name) not in columns:
            known = ", ".join(columns)
            raise self._make_error(
                name, f"{table} have no column {name!s}; they have {known}", columns
            )
        return Condition(str(name), Comparison(str(comparison)), self._read_values(values))

    def _read_since(self, tree: Any) -> WallTime | None:
        if tree is None:
            return None
        return WallTime(self._convert(tree.children[1], self._parse_past))

    def _read_explain_task(self, parts: list[Any]) -> ExplainTask:
        task = parts[0]
        job, slash, index = str(task).rpartition("/")
        if not slash or not job or not index.isdigit():
            raise self._make_error(task, f"{task!s} is no task; tasks are named JOB/INDEX", ())
        return ExplainTask(TaskId(str(task)))

    def _read_show_history(self, parts: list[Any]) -> ShowHistory:
        return ShowHistory(JobId(str(parts[0])), self._read_since(parts[1]))

    def _read_show_usage(self, parts: list[Any]) -> ShowUsage:
        start = parse_day_start("today", self._now)
        if parts[1] is not None:
            day = parts[1].children[1]
            start = self._convert(day, lambda text: parse_day_start(text, self._now))
        return ShowUsage(CustomerId(str(parts[0])), start)

    def _read_explain_line(self, parts: list[Any]) -> ExplainLine:
        return ExplainLine(str(parts[0]))

    def _read_show_help(self, parts: list[Any]) -> ShowHelp:
        return ShowHelp(str(parts[0]) if parts and parts[0] is not None else None)

    def _read_submit(self, parts: list[Any]) -> Submit:
        kind = WorkloadKind(str(parts[0].children[0]).lower())
        draft = JobDraft()
        for assignment in parts[2:]:
            key, values = assignment.children
            self._check_key(key, (*SINGLE_VALUES, *LIST_VALUES), SUBMIT_KEYS)
            self._convert(
                key, lambda text, v=values: add_submit_value(draft, text, self._read_values(v))
            )
        return Submit(self._convert(parts[1], lambda text: make_job_spec(kind, text, draft)))

    def _check_key(self, key: Token, keys: tuple[str, ...], shown: tuple[str, ...]) -> None:
        if str(key) in keys or (PARAMETER_PREFIX + "NAME" in shown and _is_parameter(key)):
            return
        raise self._make_error(key, f"unknown key {key!s}; the keys are {', '.join(shown)}", keys)

    def _read_stop(self, parts: list[Any]) -> Stop:
        return Stop(JobId(str(parts[0])))

    def _read_drain(self, parts: list[Any]) -> Drain:
        by = parts[1]
        until = self._convert(by.children[1], self._parse_future) if by is not None else None
        return Drain(WorkerId(str(parts[0])), until)

    def _read_undrain(self, parts: list[Any]) -> Undrain:
        return Undrain(WorkerId(str(parts[0])))

    def _read_set_quota(self, parts: list[Any]) -> SetQuota:
        amounts: list[tuple[str, int]] = []
        for assignment in parts[1:]:
            key, values = assignment.children
            self._check_key(key, tuple(QUOTA_KEYS), tuple(QUOTA_KEYS))
            name, parse = QUOTA_KEYS[str(key)]
            text = self._read_single(key, values)
            amounts.append((name, self._convert(key, lambda _, p=parse, t=text: p(t))))
        return SetQuota(TeamId(str(parts[0])), tuple(amounts))

    def _read_set_policy(self, parts: list[Any]) -> SetPolicy:
        values = tuple(
            (str(part.children[0]), ",".join(self._read_values(part.children[1])))
            for part in parts[1:]
        )
        return SetPolicy(ServiceId(str(parts[0])), values)

    def _read_values(self, tree: Any) -> tuple[str, ...]:
        return tuple(_read_value(value.children[0]) for value in tree.children)

    def _read_single(self, key: Token, tree: Any) -> str:
        values = self._read_values(tree)
        if len(values) > 1:
            raise self._make_error(key, f"{key!s} takes one value, not {len(values)}", ())
        return values[0]

    def _parse_past(self, text: str) -> WallTime:
        return parse_past_time(text, self._now)

    def _parse_future(self, text: str) -> WallTime:
        return parse_future_time(text, self._now)

    def _convert(self, token: Token, parse: Any) -> Any:
        try:
            return parse(str(token))
        except InvalidValue as error:
            raise self._make_error(token, str(error), ()) from error

    def _make_error(self, token: Token, problem: str, known: Iterable[str]) -> UnreadableCommand:
        column = (token.start_pos or 0) + 1
        return UnreadableCommand(self._text, column, problem, _find_similar(str(token), known))


def _is_parameter(key: Token) -> bool:
    return str(key).startswith(PARAMETER_PREFIX) and len(key) > len(PARAMETER_PREFIX)


def _read_value(token: Token) -> str:
    if token.type != "STRING":
        return str(token)
    try:
        return str(json.loads(str(token)))
    except ValueError:
        return str(token)[1:-1]
