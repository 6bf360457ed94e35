"""Callers' requests: from the callers' edge through a fair share of each runner and back."""

from lentilpathd._requests.part import Requests, create_requests

__all__ = ["Requests", "create_requests"]
