"""The command `lentilpathd`: runs an entry host or checks its settings."""

from __future__ import annotations

import asyncio
import logging as python_logging
import os
import sys
from pathlib import Path
from typing import Annotated

import typer
from absl import logging

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.settings import HostSettings, parse_settings
from lentilpathd._daemon import run_daemon
from lentilpathd._tls import create_server_tls

EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1
EXIT_STOPPED = 0

app = typer.Typer(add_completion=False, no_args_is_help=True, help="The entry host daemon.")


@app.command("run")
def run_entry_host(settings: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Run an entry host until SIGTERM or SIGINT, then finish its requests and stop."""
    checked = _load_settings(settings)
    _set_up_log(checked.log_level)
    planned = asyncio.run(run_daemon(checked))
    # All requests are finished and the host stores nothing locally. A normal exit would still wait
    # for the threads of libraries, and some daemons never ended there.
    python_logging.shutdown()
    sys.stderr.flush()
    os._exit(EXIT_STOPPED if planned else EXIT_FAILED)


@app.command("check")
def check_settings(settings: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Check a settings file and report what is wrong with it."""
    checked = _load_settings(settings)
    typer.echo(
        f"{settings}: settings of entry host {checked.host} in zone {checked.zone} are valid"
    )


def run() -> None:
    """Run the command."""
    app()


def _load_settings(path: Path) -> HostSettings:
    try:
        settings = parse_settings(path.read_text(), str(path))
        create_server_tls(settings.tls)
        return settings
    except OSError as error:
        typer.echo(f"{path}: cannot be read: {error.strerror}", err=True)
    except (UnicodeDecodeError, InvalidSettings) as error:
        typer.echo(str(error), err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)


def _set_up_log(level: str) -> None:
    handler = python_logging.StreamHandler(sys.stderr)
    logging.get_absl_logger().propagate = False
    logging.get_absl_logger().handlers = [handler]
    handler.setFormatter(python_logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logging.set_verbosity(level)
