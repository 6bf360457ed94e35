"""Answers operators' questions about where a job would be placed, without submitting it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lentilpath_core.errors import InvalidJob, LentilpathError, NoLeader, Unavailable, UnknownName
from lentilpath_core.ids import CustomerId, HostId, Instant, JobId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.pool import JobExplanation, JobRecord, QueueId, StepSpec, check_job
from lentilpath_http import HttpRequest, HttpResponse
from lentilpathd._clock import read_instant
from lentilpathd._peers import PeerBus
from lentilpathd._pool._term import Term

EXPLAIN_TOPIC = "pool.explain"
EXPLAIN_PATH = "/explain"
ANSWER_TIMEOUT_SECONDS = 2.0
"""The leader may be in the middle of a placement pass, which takes up to half a second."""
MIN_INTERVAL_MS = 200
"""A leader answers at most five questions a second. A usual one takes 1 to 3 ms, so they take
1.5% of its time, and the largest ones about 30 ms."""
MAX_STEPS = 100
"""Bounds the work for one answer; the deployments' jobs have up to four steps."""
MAX_TASKS = 10_000
"""Bounds the work for one answer; the deployments' jobs have some hundreds of tasks."""
QUESTION_JOB = JobId("0" * 16)
HTTP_OK, HTTP_BAD_REQUEST, HTTP_NOT_FOUND = 200, 400, 404
HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE = 429, 503


class TooManyQuestions(Unavailable):
    """The leader has answered another question a moment ago."""

    code = "too-many-questions"


_STATUS_BY_CODE = {
    InvalidJob.code: HTTP_BAD_REQUEST,
    UnknownName.code: HTTP_BAD_REQUEST,
    TooManyQuestions.code: HTTP_TOO_MANY_REQUESTS,
}


class Question(msgspec.Struct, frozen=True):
    """A job to explain."""

    queue: QueueId
    steps: tuple[StepSpec, ...]
    customer: CustomerId = CustomerId("")


class Explainer:
    """Answers questions on the leader, and passes them on to it from the other hosts."""

    def __init__(
        self,
        bus: PeerBus,
        get_term: Callable[[], Term | None],
        get_leader: Callable[[], HostId | None],
    ) -> None:
        self._bus = bus
        self._get_term = get_term
        self._get_leader = get_leader
        self._next_answer_at = Instant(0)
        bus.handle(EXPLAIN_TOPIC, self._handle_peer)

    async def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Answer a question in JSON."""
        if request.method != "POST":
            return HttpResponse(HTTP_NOT_FOUND, (), b"")
        try:
            question = msgspec.json.decode(request.body, type=Question)
            _make_record(question)
            explanation = await self._explain(question)
        except (msgspec.DecodeError, RecursionError) as error:
            return _make_error(HTTP_BAD_REQUEST, InvalidJob.code, error)
        except LentilpathError as error:
            # The leader's errors arrive from another host with their code alone.
            status = _STATUS_BY_CODE.get(error.code, HTTP_SERVICE_UNAVAILABLE)
            return _make_error(status, error.code, error)
        body = msgspec.json.encode(explanation)
        return HttpResponse(HTTP_OK, (("content-type", "application/json"),), body)

    async def _explain(self, question: Question) -> JobExplanation:
        if self._get_term() is not None:
            return self._answer(question, read_instant())
        leader = self._get_leader()
        if leader is None or leader == self._bus.host:
            raise NoLeader("no host leads at the moment; repeat the question in a second")
        return await self._bus.ask(
            leader, EXPLAIN_TOPIC, question, JobExplanation, ANSWER_TIMEOUT_SECONDS
        )

    async def _handle_peer(self, request: PeerRequest) -> JobExplanation:
        question = msgspec.convert(request.body, Question)
        return self._answer(question, read_instant())

    def _answer(self, question: Question, now: Instant) -> JobExplanation:
        record = _make_record(question)
        term = self._get_term()
        if term is None:
            raise NoLeader(f"{self._bus.host} does not lead; repeat the question in a second")
        if now < self._next_answer_at:
            raise TooManyQuestions("another question was answered a moment ago; repeat it later")
        self._next_answer_at = Instant(now + MIN_INTERVAL_MS)
        return term.explain(record, now)


def _make_record(question: Question) -> JobRecord:
    """Return the question's job; raises `InvalidJob` if it could not be submitted or is large."""
    if len(question.steps) > MAX_STEPS:
        raise InvalidJob(f"{len(question.steps)} steps; give at most {MAX_STEPS}")
    record = JobRecord(QUESTION_JOB, question.queue, "", question.steps, customer=question.customer)
    check_job(record)
    tasks = sum(step.count for step in question.steps)
    if tasks > MAX_TASKS:
        raise InvalidJob(f"{tasks} tasks; give at most {MAX_TASKS}")
    return record


def _make_error(status: int, code: str, error: Exception) -> HttpResponse:
    body = msgspec.json.encode({"error": code, "message": str(error)})
    return HttpResponse(status, (("content-type", "application/json"),), body)
