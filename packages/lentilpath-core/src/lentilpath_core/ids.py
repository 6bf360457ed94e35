"""Identifiers and units that cross module boundaries."""

from typing import NewType

RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
HostId = NewType("HostId", str)
"""An entry host. Each start of its process is a new `Incarnation`."""
Incarnation = NewType("Incarnation", str)
"""One process lifetime of an entry host. Ids of incarnations are never reused."""
WorkerId = NewType("WorkerId", str)
RackId = NewType("RackId", str)
TeamId = NewType("TeamId", str)
CustomerId = NewType("CustomerId", str)
ServiceId = NewType("ServiceId", str)
UpstreamId = NewType("UpstreamId", str)
"""One runner of a service, reached over HTTP."""
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
"""A task of a job, written `JOB/INDEX`."""
WriteId = NewType("WriteId", str)
"""Id of one conditional write, by which a writer recognises its own write if the answer is lost."""
RequestId = NewType("RequestId", str)

Epoch = NewType("Epoch", int)
"""Number of a zone's leadership term; rises with each new leader, from 1."""
FencingToken = NewType("FencingToken", int)
"""Order of the commands to a worker, which refuses a lower token than it has seen."""
RowVersion = NewType("RowVersion", int)
"""Version of a table row; 0 means that the row is absent."""
JournalSequence = NewType("JournalSequence", int)
"""Position of a batch in a zone's journal, from 1."""
ConfigVersion = NewType("ConfigVersion", int)
"""Version of the cell's configuration; 0 means that none has been accepted yet."""

Instant = NewType("Instant", int)
"""Milliseconds on a process's own clock, which also counts suspended time. Never sent elsewhere."""
WallTime = NewType("WallTime", int)
"""Milliseconds since 1970-01-01 UTC. For records that people read, never for safety."""
WorkerTime = NewType("WorkerTime", int)
"""Milliseconds on one worker's own clock. Compared only with other readings of that clock."""


def make_task_id(job: JobId, index: int) -> TaskId:
    """Return the id of task number `index` of `job`."""
    return TaskId(f"{job}/{index}")


def get_job_of_task(task: TaskId) -> JobId:
    """Return the job that `task` belongs to."""
    return JobId(task.rpartition("/")[0])
