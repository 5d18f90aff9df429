"""Data structures for routing decisions and budgets, built on the standard library only.

`bench/structures.py` and `bench/ledger.py` benchmark them against simpler implementations.
"""
