"""The planner and its models of run times, boot times, pipelines and reclaimed spot time.

It does no I/O: the current time and a snapshot of the cluster are passed in."""
