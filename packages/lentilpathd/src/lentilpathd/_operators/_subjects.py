"""Row versions of jobs and workers, which detect concurrent changes by several operators."""

from __future__ import annotations

from lentilpath_core.errors import Conflict
from lentilpath_core.ids import JobId, RowVersion, WorkerId
from lentilpath_core.language import format_time
from lentilpathd._operators._acceptance import Effect
from lentilpathd._operators._messages import Subject, decode_subject, encode_subject
from lentilpathd._ports import ABSENT, Row


def get_job_key(job: JobId) -> str:
    """Return the table key of a job's subject row."""
    return f"job/{job}"


def get_worker_key(worker: WorkerId) -> str:
    """Return the table key of a worker's subject row."""
    return f"worker/{worker}"


def check_expected_version(row: Row, expected: int | None) -> None:
    """Raise `Conflict`, which describes the last change, if `row` has another version."""
    if expected is None or row.version == expected:
        return
    raise Conflict(
        f"{row.key} has version {row.version}, not {expected}: {describe_last_change(row)}; look "
        "at it again and repeat with the present version"
    )


def describe_last_change(row: Row) -> str:
    """Return a description of the subject's last change: operator, time and command."""
    if row.version == ABSENT:
        return "no command has changed it"
    subject = decode_subject(row.value)
    return f"changed by {subject.operator} at {format_time(subject.at)} with {subject.text!r}"


def make_subject_effect(key: str, version: RowVersion, subject: Subject) -> Effect:
    """Return the effect that writes `subject` if the row still has `version`."""
    return Effect(checks=((key, version),), puts=((key, encode_subject(subject)),))


def make_name_conflict(row: Row) -> Conflict:
    """Return the error for a submission whose job name is already in use."""
    subject = decode_subject(row.value)
    return Conflict(
        f"job {row.key.removeprefix('job/')!r} exists in zone {subject.zone}: "
        f"{describe_last_change(row)} (command {subject.command}); choose another name"
    )
