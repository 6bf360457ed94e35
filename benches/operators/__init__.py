"""Measurements of operators' functions: configuration changes and the usage ledger."""
