"""ryegauge: a cluster scheduler that rents its machines."""

__version__ = "0.1.0"
