"""What an upstream's answer asks of those who send it requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backpressure:
    """What one answer of an upstream says of the load that it takes.

    Attributes
    ----------
    limit : float or None
        Requests a second that it takes from all nodes together, if it names a limit.
    has_no_limit : bool
        Whether it shows that no limit holds any more.
    rest : float or None
        Seconds for which it wants no request of this node, if it asks for a rest.
    is_leaving : bool
        Whether it is about to end, and wants no further request.
    """

    limit: float | None = None
    has_no_limit: bool = False
    rest: float | None = None
    is_leaving: bool = False
