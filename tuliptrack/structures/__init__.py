"""Data structures of the routing decisions and budgets; the standard library alone.

`bench/structures.py` and `bench/ledger.py` compare them with plain ones.
"""
