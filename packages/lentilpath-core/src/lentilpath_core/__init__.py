"""The pure part of lentilpath: ids, states, typed messages, settings and decisions.

Nothing in this package opens a socket, reads a file or asks for the time. Every function that
decides takes the present time as an argument, so a decision can be replayed from its inputs.
"""
