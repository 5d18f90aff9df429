"""The decisions as they were before the indexes, scanning every server: what `tuliptrack.brain` is compared
with.
"""
