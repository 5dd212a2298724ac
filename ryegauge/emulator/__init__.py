"""Stand-ins for all that controllers deal with, written after the protocol: a state service,
a cloud, workers, users, a network and the rules. `world` plays days in simulated time,
`live` serves on real loopback sockets. Nothing here is loaded by a controller.
"""
