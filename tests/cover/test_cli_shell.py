# mypy: no-check-untyped-defs
from types import SimpleNamespace

from prompt_toolkit import PromptSession
from prompt_toolkit.document import Document
from prompt_toolkit.input import create_pipe_input
from prompt_toolkit.output import DummyOutput

from lentilpath._client import CallFailed
from lentilpath._exits import ExitCode
from lentilpath._shell import CommandCompleter, run_shell
from lentilpath.main import insert_default_command
from lentilpath_core.language import complete_command


def test_completes_keywords_columns_values_and_keys():
    assert complete_command("st") == ("stop",)
    assert complete_command("stop ") == ("job",)
    assert complete_command("tasks where te") == ("team",)
    assert "waiting" in complete_command("tasks where state = ")
    assert complete_command("submit batch j acc") == ("accelerators=",)
    assert complete_command("submit batch j priority=u") == ("urgent",)


def test_offers_completions_in_place_of_the_partial_word():
    completions = list(CommandCompleter().get_completions(Document("tasks whe"), None))
    assert [(item.text, item.start_position) for item in completions] == [("where", -3)]


def test_a_failed_line_does_not_end_the_shell(capsys):
    sent = []

    def run_command(fields):
        sent.append(fields["command"])
        if fields["command"] == "bad":
            raise CallFailed(ExitCode.INVALID, "column 1", {})
        return {"outcome": "done", "message": "fine"}

    with create_pipe_input() as keys:
        keys.send_text("bad\njobs\nexit\n")
        session = PromptSession(input=keys, output=DummyOutput())
        run_shell(SimpleNamespace(run_command=run_command), session)
    assert sent == ["bad", "jobs"]
    assert "column 1" in capsys.readouterr().out


def test_words_without_a_subcommand_are_a_command_of_the_language():
    assert insert_default_command(["stop", "job", "j"]) == ["run", "stop", "job", "j"]
    assert insert_default_command(["shell"]) == ["shell"]
    assert insert_default_command(["--json", "jobs"]) == ["run", "--json", "jobs"]
    assert insert_default_command(["explain", "line", "7"]) == ["run", "explain", "line", "7"]
    assert insert_default_command(["explain", "job.json"]) == ["explain", "job.json"]
