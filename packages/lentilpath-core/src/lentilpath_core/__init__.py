"""The part of lentilpath without I/O: ids, states, typed messages, settings and decisions.

Nothing in this package opens a socket, reads a file or reads the clock. Decision functions take the
current time as an argument, so a decision can be replayed from its inputs.
"""
