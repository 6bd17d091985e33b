"""Starts a router node on the platform from a source checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from tarragonrudder.platform.daemon import main  # noqa: E402

main()
