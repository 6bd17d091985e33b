"""How often each node of a fleet asks for changes."""

# Part of the calls a second that the platform allows to all nodes together. Some
# hundred registrations change each second; without a pause each change would wake
# every node, and calls would grow with the square of the fleet.
WATCH_SHARE = 0.01
# Part of a change's bound that a node may spend before it asks; the rest is for the
# answer, and for a call that fails.
BOUND_SHARE = 0.5


def compute_watch_pause(nodes: int, allowed: float, bound: float) -> float:
    """Return the seconds between two calls of one node for changes.

    Load pattern: registrations change all the time, and each change is of use to
    all nodes; what has changed meanwhile comes with one answer.

    Parameters
    ----------
    nodes : int
        Nodes that ask, at least 1.
    allowed : float
        Calls a second that the platform allows to all of them.
    bound : float
        Seconds within which a change must be in force.
    """
    return min(nodes / (WATCH_SHARE * allowed), BOUND_SHARE * bound)
