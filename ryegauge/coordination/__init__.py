"""The leader, shard owners, leases and roles, and the loops of a controller."""
