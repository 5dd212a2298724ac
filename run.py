"""Entry point of the deployed service: `python3 run.py --config FILE` serves.

Any other first argument is handed to the command line as it is, so that
`python3 run.py status ...` works from a checkout as well.
"""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(_ROOT / "target" / "deps"))
sys.path.insert(0, str(_ROOT))

from ryegauge.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments[:1] == ["--config"]:
        arguments = ["serve", *arguments]
    main(arguments, prog_name="ryegauge")
