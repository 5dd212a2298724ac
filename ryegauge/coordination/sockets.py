# kind: decisions
"""What a controller's sockets are for. Together never more than it may have: once the limit is
passed, new connections fail, those to the state service among them."""

from typing import NamedTuple

from ryegauge.config import Settings

# Of all: direct commands to workers that are under way at once, and attempts to reach silent
# ones: one in so many.
COMMANDS = 24
PROBES = 24
STATE = 16
CLOUD = 8
PER_PEER = 4
# Listening, logs, and what closes while the next opens.
SPARE = 8


class Sockets(NamedTuple):
    public: int  # users and workers
    mesh: int  # peers that call us
    commands: int
    probes: int


def sockets_of(settings: Settings) -> Sockets:
    most = settings.settings.quota.max_connections
    peers = PER_PEER * len(settings.known)
    # A successor connects while its predecessor's connections still stand.
    mesh = 2 * peers + SPARE
    commands, probes = max(2, most // COMMANDS), max(2, most // PROBES)
    # As many connections to workers again are kept open for the next commands.
    ours = STATE + CLOUD + peers + mesh + 2 * commands + probes + SPARE
    return Sockets(max(most // 2, most - ours), mesh, commands, probes)
