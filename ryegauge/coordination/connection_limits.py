# kind: decisions
"""How a controller's connections are divided among their purposes.

The sum stays within the controller's limit, beyond which new connections fail, including those to
the state service. Only a limit so small that the other purposes need more than half of it is
exceeded, since users and workers get half of it in any case.
"""

from typing import NamedTuple

from ryegauge.config import Settings

# Direct commands in flight, and probes of silent workers in flight: at most one connection in
# so many of the limit, each.
COMMANDS_DIVISOR = 24
PROBES_DIVISOR = 24
MAX_STATE_CONNECTIONS = 16
MAX_CLOUD_CONNECTIONS = 8
MAX_CONNECTIONS_PER_PEER = 4
# For listening sockets, log files, and connections that close while their successors open.
SPARE_CONNECTIONS = 8


class ConnectionLimits(NamedTuple):
    """The most connections at a time, by purpose."""

    public: int  # from users and workers
    inbound_peers: int  # connections that peers open to this controller
    commands: int  # direct commands in flight
    probes: int  # probes in flight


def divide_connections(settings: Settings) -> ConnectionLimits:
    """Divides `max_connections` of the settings; at least half of it is for users and workers."""
    limit = settings.settings.quota.max_connections
    outbound_peers = MAX_CONNECTIONS_PER_PEER * len(settings.known)
    # A restarted peer connects while the connections of its previous process are still open.
    inbound_peers = 2 * outbound_peers + SPARE_CONNECTIONS
    commands, probes = max(2, limit // COMMANDS_DIVISOR), max(2, limit // PROBES_DIVISOR)
    # Commands count twice: as many idle connections to workers are kept open for later commands.
    reserved = (
        MAX_STATE_CONNECTIONS
        + MAX_CLOUD_CONNECTIONS
        + outbound_peers
        + inbound_peers
        + 2 * commands
        + probes
        + SPARE_CONNECTIONS
    )
    return ConnectionLimits(max(limit // 2, limit - reserved), inbound_peers, commands, probes)
