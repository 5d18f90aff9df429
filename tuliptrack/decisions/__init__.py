"""Decision logic shared by routing, nodes and the fleet: limits, budgets, bills, consensus and rollouts."""
