"""Entry point of the deployed service: `python3 run.py [--properties FILE] --config FILE` runs a
controller.

All other arguments go to the command line, so that `python3 run.py status ...` works from a
checkout too.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(_ROOT), str(_ROOT / "target" / "deps")]

if __name__ == "__main__":
    arguments = sys.argv[1:]
    options = dict(zip(arguments[::2], arguments[1::2], strict=False))
    if (
        "--config" in options
        and 2 * len(options) == len(arguments)
        and (options.keys() <= {"--config", "--properties"})
    ):
        # The libraries come with compiled files, and the build makes those of ryegauge, so that
        # no time is lost compiling at a start: workers' leases expire meanwhile.
        import cbor2  # noqa: F401
        import h11  # noqa: F401
        import msgspec  # noqa: F401
        import trio  # noqa: F401

        sys.pycache_prefix = str(_ROOT / "target" / "pycache")
        from ryegauge.service import serve

        sys.pycache_prefix = None
        serve(options["--config"], options.get("--properties"))
    else:
        from ryegauge.cli import main

        if arguments[:1] in (["--config"], ["--properties"]):
            arguments = ["serve", *arguments]
        main(arguments, prog_name="ryegauge")
