"""Retries, within a budget that keeps them from amplifying an outage."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.requests.messages import CallerRequest, Outcome
from lentilpath_core.requests.policy import RequestPolicy


@dataclass(slots=True)
class RetryBudget:
    """Retries that one service may still make; each of its requests earns a part of one."""

    available: float


def create_retry_budget(policy: RequestPolicy) -> RetryBudget:
    """Return a full budget."""
    return RetryBudget(policy.retry_burst)


def earn_retry(budget: RetryBudget, policy: RequestPolicy) -> None:
    """Count one request that is sent for the first time."""
    budget.available = min(policy.retry_burst, budget.available + policy.retry_ratio)


def take_retry(budget: RetryBudget, request: CallerRequest, outcome: Outcome) -> bool:
    """Return whether `request` may be sent again after `outcome`, and pay for it.

    One that may have run is repeated only if running twice does no harm; one with an idempotency
    key was promised to run once, so it never is.
    """
    if outcome is Outcome.UNKNOWN and (not request.is_idempotent() or request.key is not None):
        return False
    if budget.available < 1.0:
        return False
    budget.available -= 1.0
    return True
