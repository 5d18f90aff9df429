"""Capacity model: measures the costs of each role by size, fits curves to them, and renders the tables of
`docs/CAPACITY.md`.
"""
