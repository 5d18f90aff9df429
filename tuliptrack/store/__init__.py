"""Storage that survives a crash: the ledger of usage records, and small files with a checksum.

Calls block; a node makes those to its ledger outside the event loop.
"""
