"""The processes that run a fleet's rollouts: controllers and agents.

What they do follows from `decisions/`; here are their calls, their files and the processes of nodes.
"""
