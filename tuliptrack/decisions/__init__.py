"""Decisions that routing, nodes and the fleet share: limits, budgets, bills, consensus and rollouts."""
