"""The routing decisions of one node. The docstring of `router.py` lists the modules."""
