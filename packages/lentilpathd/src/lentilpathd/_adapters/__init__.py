"""Adapters for external systems, one module each; external formats appear only in this package."""
