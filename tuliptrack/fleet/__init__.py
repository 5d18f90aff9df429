"""The processes that run a fleet's rollouts: controllers and agents.

The decisions are made in `decisions/`; this package has the calls, the files and the processes of nodes.
"""
