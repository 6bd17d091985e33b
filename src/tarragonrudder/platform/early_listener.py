"""The callers' listener, opened before the rest of the program is loaded.

Load pattern: all nodes restart at once while callers keep coming. Loading the program
takes about a second of a small VM's processor, in which connections would be refused;
in the queue of a listener they are served right after.

Imports nothing but the standard library's light modules, as it runs first.
"""

import os
import pathlib
import socket
import tomllib

from tarragonrudder.platform import protocol

BACKLOG = 512  # connections queued for accept during a burst


def open_early_listener() -> socket.socket | None:
    """Return a listening socket at the callers' address of the settings file.

    Returns
    -------
    socket.socket or None
        None if the settings can't be used or the address is taken; the daemon then
        reports why, as it reads the settings and opens the listener itself.
    """
    path = os.environ.get(protocol.SETTINGS_VARIABLE, "")
    try:
        settings = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
        host, _, port = str(settings["listen"]["front"]).rpartition(":")
        return listen(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an IPv4 address; raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        raise
    return listener
