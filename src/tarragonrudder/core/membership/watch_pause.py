"""Pause between the calls with which a node watches for changes."""

# Part of the platform's call rate limit that all nodes together use to watch. Some
# hundred registrations change each second; without a pause each change would wake
# every node, and the call rate would grow with the square of the fleet size.
WATCH_SHARE = 0.01
# Part of the time limit of a change that a node may pause; the rest is for the
# response, and for a failed call.
BOUND_SHARE = 0.5


def compute_watch_pause(nodes: int, allowed: float, bound: float) -> float:
    """Return the seconds between two calls of one node for changes.

    Load pattern: registrations change all the time and every node needs each change;
    all changes made during a pause arrive in one response.

    Parameters
    ----------
    nodes : int
        Nodes that watch, at least 1.
    allowed : float
        Calls per second that the platform allows to all of them.
    bound : float
        Seconds within which a change must take effect.
    """
    return min(nodes / (WATCH_SHARE * allowed), BOUND_SHARE * bound)
