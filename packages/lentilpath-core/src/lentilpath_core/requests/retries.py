"""Retries, within a budget that keeps them from amplifying an outage."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.requests.messages import CallerRequest, Outcome
from lentilpath_core.requests.policy import RequestPolicy


@dataclass(slots=True)
class RetryBudget:
    """Retry budget of one service; each new request adds a fraction of a retry to it."""

    available: float


def create_retry_budget(policy: RequestPolicy) -> RetryBudget:
    """Return a full budget."""
    return RetryBudget(policy.retry_burst)


def add_retry_credit(budget: RetryBudget, policy: RequestPolicy) -> None:
    """Add the credit for one request that is sent for the first time."""
    budget.available = min(policy.retry_burst, budget.available + policy.retry_ratio)


def try_spend_retry(budget: RetryBudget, request: CallerRequest, outcome: Outcome) -> bool:
    """Return whether `request` may be sent again after `outcome`; charge the budget if so.

    A request that may have run is retried only if its method is idempotent. A request with an
    idempotency key is guaranteed to run at most once, so it is never retried in that case.
    """
    if outcome is Outcome.UNKNOWN and (
        not request.is_idempotent() or request.idempotency_key is not None
    ):
        return False
    if budget.available < 1.0:
        return False
    budget.available -= 1.0
    return True
