"""Serves callers' requests: admission, queueing, sending to runners, retries and answers."""

from lentilpathd._requests.part import Requests, create_requests

__all__ = ["Requests", "create_requests"]
