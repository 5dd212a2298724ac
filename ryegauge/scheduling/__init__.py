"""The planner: pure functions from a snapshot to decisions."""
