"""Authority, parting, the leader and the loops that reconcile."""
