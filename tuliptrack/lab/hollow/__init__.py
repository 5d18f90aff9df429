"""Hollow nodes and engines for scale tests: each node has the real discovery client, endpoint list and
decisions, but synthetic traffic, and many nodes share a process.
"""
