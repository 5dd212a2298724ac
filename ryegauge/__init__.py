"""ryegauge: a cluster scheduler that rents its machines from a cloud."""

__version__ = "0.1.0"
