"""Costs of what operators see."""
