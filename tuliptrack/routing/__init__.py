"""The routing decisions of one node. `router.py` is the table of contents."""
