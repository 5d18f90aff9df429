"""The processes that run a fleet: controllers and agents. They ask `decisions/` and decide nothing
themselves.
"""
