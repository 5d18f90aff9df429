"""Fault injection with real processes: a TCP fault proxy, and what plays and judges randomized faults."""
