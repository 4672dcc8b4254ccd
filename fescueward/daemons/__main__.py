"""Entry point of `python -m fescueward.daemons`, which runs the agent on the users' platform."""

from __future__ import annotations

import gc
import signal
import sys


def _main() -> int:
    # Until the handler is set, SIGHUP would end the process. The settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The modules create many objects that live as long as the process and nearly no garbage, so
    # collections would only delay each start. `run_until_stopped` enables them again.
    gc.disable()
    from .platform_agent import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
