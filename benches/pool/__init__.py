"""Simulates load patterns of the users' deployments with the pool's decisions in virtual time."""
