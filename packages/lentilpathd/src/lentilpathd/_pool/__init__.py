"""The parts of a pool's host."""
