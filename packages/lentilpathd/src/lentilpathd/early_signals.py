"""Handles the signals that reach a process before its host is there to handle them.

Imports only the standard library, and little of it: a process that is starting calls this first.
A signal that comes before that, while the interpreter starts, still ends the process.
"""

from __future__ import annotations

import os
import signal

EXIT_STOPPED = 0


def handle_early_signals() -> None:
    """End the process with code 0 on SIGTERM or SIGINT, and ignore SIGHUP.

    For the time before a process has answered or stored anything. The handlers of a running host
    replace these one by one, and each signal is handled by either.
    """
    # The settings file is read later in the start, and then periodically.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit_stopped)


def _exit_stopped(*_: object) -> None:
    # An exception could be caught by the import that it interrupts.
    os._exit(EXIT_STOPPED)
