"""The leader, part owners, leases and roles, and the loops of a controller."""
