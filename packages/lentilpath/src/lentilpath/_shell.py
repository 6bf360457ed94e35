"""The interactive shell, with history and completion."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import typer
from prompt_toolkit import PromptSession
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document
from prompt_toolkit.history import FileHistory, History, InMemoryHistory

from lentilpath._client import CallFailed, Client
from lentilpath._output import format_answer
from lentilpath_core.language import complete_command

HISTORY_FILE = "~/.lentilpath_history"
EXIT_COMMANDS = ("exit", "quit")
PROMPT = "lentilpath> "


class CommandCompleter(Completer):
    """Completes the words that the grammar allows next."""

    def get_completions(
        self, document: Document, complete_event: CompleteEvent
    ) -> Iterable[Completion]:
        """Yield the completions of the word before the cursor."""
        text = document.text_before_cursor
        for word in complete_command(text):
            yield Completion(word, start_position=-_count_typed_chars(text, word))


def run_shell(client: Client, session: PromptSession[str] | None = None) -> None:
    """Run one command per line until the end of input; errors are printed and do not end it."""
    session = session or PromptSession(history=_open_history(), completer=CommandCompleter())
    typer.echo("`help` lists the commands; end with exit or Ctrl-D.")
    while True:
        try:
            text = session.prompt(PROMPT).strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return
        if text in EXIT_COMMANDS:
            return
        if text:
            _run_line(client, text)


def _run_line(client: Client, text: str) -> None:
    try:
        typer.echo(format_answer(client.run_command({"command": text})))
    except CallFailed as error:
        typer.echo(f"error: {error}")


def _open_history() -> History:
    path = Path(HISTORY_FILE).expanduser()
    try:
        path.touch(mode=0o600)
    except OSError:
        return InMemoryHistory()
    return FileHistory(str(path))


def _count_typed_chars(text: str, word: str) -> int:
    max_length = min(len(text), len(word))
    return max(
        length for length in range(max_length + 1) if text.lower().endswith(word[:length].lower())
    )
