"""Hollow nodes and engines: a node's real discovery client, list and decisions with drawn traffic, many to a
process.
"""
