# kind: decisions
"""What a controller's sockets are for. Together never more than it may have: once the limit is
passed, new connections fail, those to the state service among them."""

from typing import NamedTuple

from ryegauge.config import Settings

# Of all: direct commands to workers that are under way at once, and attempts to reach silent
# ones: one in so many.
COMMANDS = 24
PROBES = 24
MAX_STATE_CONNECTIONS = 16
MAX_CLOUD_CONNECTIONS = 8
MAX_CONNECTIONS_PER_PEER = 4
# Listening, logs, and what closes while the next opens.
SPARE = 8


class ConnectionLimits(NamedTuple):
    public: int  # users and workers
    inbound_peers: int  # peers that call us
    commands: int
    probes: int


def divide_connections(settings: Settings) -> ConnectionLimits:
    most = settings.settings.quota.max_connections
    peers = MAX_CONNECTIONS_PER_PEER * len(settings.known)
    # A successor connects while its predecessor's connections still stand.
    inbound_peers = 2 * peers + SPARE
    commands, probes = max(2, most // COMMANDS), max(2, most // PROBES)
    # As many connections to workers again are kept open for the next commands.
    ours = (
        MAX_STATE_CONNECTIONS
        + MAX_CLOUD_CONNECTIONS
        + peers
        + inbound_peers
        + 2 * commands
        + probes
        + SPARE
    )
    return ConnectionLimits(max(most // 2, most - ours), inbound_peers, commands, probes)
