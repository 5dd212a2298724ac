# kind: decisions
"""How a controller's connections are divided among their purposes. The sum stays within its
limit: beyond it new connections fail, including those to the state service."""

from typing import NamedTuple

from ryegauge.config import Settings

# Direct commands in flight, and probes of silent workers in flight: at most one connection in
# so many of the limit, each.
COMMANDS = 24
PROBES = 24
STATE = 16
CLOUD = 8
PER_PEER = 4
# For listening sockets, log files, and connections that close while their successors open.
SPARE = 8


class Sockets(NamedTuple):
    """The most connections at a time, by purpose."""

    public: int  # from users and workers
    mesh: int  # from peers
    commands: int  # direct commands in flight
    probes: int  # probes in flight


def sockets_of(settings: Settings) -> Sockets:
    """Divides `max_connections` of the settings; at least half of it is for users and workers."""
    most = settings.settings.quota.max_connections
    peers = PER_PEER * len(settings.known)
    # A restarted peer connects while the connections of its previous process are still open.
    mesh = 2 * peers + SPARE
    commands, probes = max(2, most // COMMANDS), max(2, most // PROBES)
    # Commands count twice: as many idle connections to workers are kept open for later commands.
    ours = STATE + CLOUD + peers + mesh + 2 * commands + probes + SPARE
    return Sockets(max(most // 2, most - ours), mesh, commands, probes)
