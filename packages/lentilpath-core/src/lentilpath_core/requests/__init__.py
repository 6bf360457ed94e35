"""Decisions about callers' requests: admission, routing, shares, retries, keys and delivery."""
