"""Starts a router node on the platform from a source checkout."""

import pathlib
import signal
import sys

# The default ends the process. The daemon reads the settings again once it is ready for
# this signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from tarragonrudder.platform.early_listener import open_early_listener  # noqa: E402

listener = open_early_listener()

from tarragonrudder.platform.daemon import main  # noqa: E402

main(listener)
