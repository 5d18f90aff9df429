"""A former version of the router without indexes, which scans all endpoints; see `brain.py`."""
