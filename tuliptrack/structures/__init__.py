"""Data structures made for the decisions' questions, each measured against a plain one
(`bench/ledger.py`).
"""
