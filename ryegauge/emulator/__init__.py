"""Emulators of everything a controller communicates with, implemented from the protocol: the
state service, the cloud, workers, users, the network and a message broker, and a checker of the
protocol's rules. `world` runs scenarios in simulated time, `live` serves on real loopback
sockets. Controllers import nothing from this package.
"""
