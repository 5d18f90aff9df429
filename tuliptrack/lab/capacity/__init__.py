"""Costs of each role at a size, from measured slopes: measuring, fitting, the tables of
`docs/CAPACITY.md`.
"""
