"""Identifiers and units that cross module boundaries."""

from typing import NewType

RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
HostId = NewType("HostId", str)
"""An entry host. Its processes come and go; each one is an `Incarnation`."""
Incarnation = NewType("Incarnation", str)
"""One process of an entry host, from its start to its end. Never used again."""
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
"""Names one conditional write, so that a writer can recognise its own after a lost answer."""
RequestId = NewType("RequestId", str)

Epoch = NewType("Epoch", int)
"""Counts the leaders of a zone, from 1."""
RowVersion = NewType("RowVersion", int)
"""Version of a table row; 0 says that the row is absent."""
JournalSequence = NewType("JournalSequence", int)
"""Place of a batch in a zone's journal, from 1."""
ConfigVersion = NewType("ConfigVersion", int)
"""Version of the cell's configuration; 0 says that none was accepted yet."""

Instant = NewType("Instant", int)
"""Milliseconds on one process's own clock that counts suspended time. Never sent elsewhere."""
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
