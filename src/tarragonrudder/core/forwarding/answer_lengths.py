"""Lengths of answers, learned by service and route from answers that have ended."""

import math
import typing as t
from dataclasses import dataclass

MAX_KEYS = 256  # routes of which answers are remembered
MAX_SHARED = 32  # routes that a message tells of
MAX_PEERS = 64  # nodes whose sums are kept
PEER_LENGTHS_PERIOD = 60.0  # seconds for which a peer's sums count
SHARE_PERIOD = 2.0  # seconds between two messages that tell the sums
HALF_LIFE = 120.0  # seconds in which an answer loses half of its weight
MIN_WEIGHT = 20.0  # answers from which on a route's lengths are learned
REFIT_PERIOD = 2.0  # seconds for which sums over all nodes and fits are kept
PRIOR_WEIGHT = 8.0  # answers that the prior is worth
PRIOR_SPREAD = 0.7  # standard deviation of a logarithm, of declared and real lengths
PRIOR_VARIANCE = 0.25  # of the logarithm of declared lengths
MAX_SPREAD = 2.5  # larger ones come from a few odd answers
RESERVED_QUANTILE = 1.2816  # standard deviations; nine of ten answers are shorter
MAX_EVENTS = 1 << 24  # of one answer; more is a mistake
MAX_WEIGHT = 1e5  # answers of one node, aged; more is a mistake
MAX_SUM = 1e12  # of a node; more is a mistake


@dataclass(frozen=True, slots=True)
class LengthKey:
    """Answers that are learned together.

    Attributes
    ----------
    is_declared : bool
        Whether the requests tell the length that they expect.
    """

    service: str
    route: str
    is_declared: bool


@dataclass(frozen=True, slots=True)
class LengthSums:
    """Sums over answers; `x` is the logarithm of the declared tokens, `y` of events."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    yy: float = 0.0
    events: float = 0.0

    @property
    def values(self) -> tuple[float, ...]:
        """All sums, in the order of the fields."""
        return (
            self.weight,
            self.x,
            self.y,
            self.xx,
            self.xy,
            self.yy,
            self.events,
        )

    @property
    def is_valid(self) -> bool:
        """Whether answers may have given such sums."""
        if not all(math.isfinite(v) and abs(v) <= MAX_SUM for v in self.values):
            return False
        if not 0.0 < self.weight <= MAX_WEIGHT or self.events < 0.0:
            return False
        # A mean of logarithms lies between those of one event and of the most.
        limit = self.weight * math.log(MAX_EVENTS)
        if not (0.0 <= self.x <= limit and 0.0 <= self.y <= limit):
            return False
        least = (self.x * self.x / self.weight, self.y * self.y / self.weight)
        slack = 1e-3 * self.weight + 1e-6
        return self.xx + slack >= least[0] and self.yy + slack >= least[1]

    def add(self, other: "LengthSums") -> "LengthSums":
        """Return the sums over the answers of both."""
        pairs = zip(self.values, other.values, strict=True)
        return LengthSums(*(own + new for own, new in pairs))

    def scale(self, factor: float) -> "LengthSums":
        """Return the sums with another weight of each answer."""
        return LengthSums(*(factor * value for value in self.values))


@dataclass(frozen=True, slots=True)
class Declared:
    """The length is known from the request or the configuration only, in tokens."""

    tokens: int


@dataclass(frozen=True, slots=True)
class Learned:
    """The logarithm of an answer's events has a normal distribution.

    Attributes
    ----------
    center, spread : float
        Mean and standard deviation of that logarithm.
    max_events : float
        Events at which the request ends its answer.
    tokens_per_event : float
        Tokens of one event.
    """

    center: float
    spread: float
    max_events: float
    tokens_per_event: float


AnswerLength: t.TypeAlias = Declared | Learned


def compute_mean(length: AnswerLength) -> int:
    """Return the tokens that an answer is expected to have."""
    match length:
        case Declared(tokens=tokens):
            return tokens
        case Learned():
            mean = _compute_limited_mean(length, length.max_events)
            return max(1, round(mean * length.tokens_per_event))


def compute_mean_events(length: AnswerLength) -> float | None:
    """Return the events that an answer is expected to have, None if not learned."""
    match length:
        case Declared():
            return None
        case Learned():
            return _compute_limited_mean(length, length.max_events)


def compute_reserve(length: AnswerLength) -> int:
    """Return the tokens that nine of ten such answers stay below."""
    match length:
        case Declared(tokens=tokens):
            return tokens
        case Learned():
            events = math.exp(length.center + RESERVED_QUANTILE * length.spread)
            return round(min(events, length.max_events) * length.tokens_per_event)


def compute_remaining(length: AnswerLength, events: int) -> int:
    """Return the tokens that are expected to come after `events` events."""
    match length:
        case Declared(tokens=tokens):
            return max(0, tokens - events)
        case Learned():
            if events >= length.max_events:
                return 0
            reached = _compute_survival(length, events)
            left = _compute_limited_mean(length, length.max_events)
            left -= _compute_limited_mean(length, events)
            # Far beyond all that was seen both are too small to be divided.
            if reached < 1e-6:
                return round((length.max_events - events) * length.tokens_per_event)
            return max(0, round(left / reached * length.tokens_per_event))


def compute_held(length: AnswerLength, events: int) -> int:
    """Return the tokens of an answer that a cache holds on average until its end.

    Load pattern: streams of very different lengths share an engine's memory. Those
    that were written are held; of what is left, half on average.
    """
    match length:
        case Declared(tokens=tokens):
            return tokens
        case Learned(tokens_per_event=size):
            return round(events * size) + compute_remaining(length, events) // 2


class AnswerLengths:
    """Learns how long answers are.

    Load pattern: answers of one kind differ widely in length, and what requests
    declare is far off for a single one; engines that got the long ones are still busy
    when the others are empty.
    """

    def __init__(self) -> None:
        self._own: dict[LengthKey, tuple[float, LengthSums]] = {}
        self._peers: dict[str, tuple[float, dict[LengthKey, LengthSums]]] = {}
        self._shared_at = -math.inf
        self._fits: dict[LengthKey, _Fit | None] = {}
        self._totals: dict[LengthKey, LengthSums] = {}
        self._summed_at = -math.inf

    def observe(
        self,
        key: LengthKey,
        declared: int,
        events: int,
        now: float,
        broken: AnswerLength | None = None,
    ) -> None:
        """Add an answer.

        Parameters
        ----------
        declared : int
            Tokens that the request expected, or else allowed.
        broken : Declared, Learned or None
            What was expected of an answer that broke off; None for a whole one.
        """
        if declared < 1 or not 1 <= events <= MAX_EVENTS:
            return
        length = float(events)
        match broken:
            case Declared():
                return  # the whole can't be told from its beginning
            case Learned(tokens_per_event=size):
                length += compute_remaining(broken, events) / size
            case None:
                pass
        x, y = math.log(declared), math.log(length)
        sums = LengthSums(1.0, x, y, x * x, x * y, y * y, length)
        known = self._own.pop(key, None)
        if known is not None:
            sums = known[1].scale(_compute_ageing(now - known[0])).add(sums)
        elif len(self._own) >= MAX_KEYS:
            del self._own[next(iter(self._own))]
        self._own[key] = (now, sums)

    def estimate(
        self, key: LengthKey, declared: int, bound: int, usual: float, now: float
    ) -> AnswerLength:
        """Return the length to expect of an answer.

        Parameters
        ----------
        declared : int
            Tokens that the request expects, or else allows.
        bound : int
            Most tokens that it allows.
        usual : float
            Mean tokens of the service's answers, by the configuration.
        """
        fallback = declared if key.is_declared else int(usual)
        if now - self._summed_at > REFIT_PERIOD:
            self._sum_up(now)
        if key not in self._fits:
            self._fits[key] = self._fit(key, usual)
        fit = self._fits[key]
        if fit is None or declared < 1:
            return Declared(min(bound, fallback))
        return Learned(
            fit.center + fit.slope * (math.log(declared) - fit.declared),
            fit.spread,
            max(1.0, bound / fit.event_size),
            fit.event_size,
        )

    def count_learned(self) -> int:
        """Return the routes whose answers are planned as learned."""
        return sum(sums.weight >= MIN_WEIGHT for sums in self._totals.values())

    def snapshot(self, now: float) -> dict[LengthKey, LengthSums]:
        """Return this node's own sums to be told to a peer; mostly empty."""
        if now - self._shared_at < SHARE_PERIOD:
            return {}
        self._shared_at = now
        rows = {}
        for key, (at, sums) in self._own.items():
            rows[key] = sums.scale(_compute_ageing(now - at))
        heaviest = sorted(rows, key=lambda key: rows[key].weight, reverse=True)
        return {key: rows[key] for key in heaviest[:MAX_SHARED]}

    def merge(
        self, node: str, rows: t.Mapping[LengthKey, LengthSums], now: float
    ) -> None:
        """Replace what a peer has told."""
        if not rows:
            return
        self._peers.pop(node, None)
        if len(self._peers) >= MAX_PEERS:
            del self._peers[next(iter(self._peers))]
        self._peers[node] = (now, dict(rows))

    def _sum_up(self, now: float) -> None:
        """Sum over all nodes what was learned, and drop what was fitted to it."""
        totals: dict[LengthKey, LengthSums] = {}
        for key, (at, sums) in self._own.items():
            totals[key] = sums.scale(_compute_ageing(now - at))
        for at, rows in self._peers.values():
            if now - at > PEER_LENGTHS_PERIOD:
                continue
            ageing = _compute_ageing(now - at)
            for key, sums in rows.items():
                aged = sums.scale(ageing)
                known = totals.get(key)
                totals[key] = aged if known is None else known.add(aged)
        self._totals = totals
        self._fits.clear()
        self._summed_at = now

    def _fit(self, key: LengthKey, usual: float) -> "_Fit | None":
        """Return the line through the answers of a key; None if there are too few."""
        sums = self._totals.get(key)
        if sums is None or sums.weight < MIN_WEIGHT:
            return None
        size = self._estimate_event_size(key, usual)
        weight = sums.weight
        x, y = sums.x / weight, sums.y / weight
        xx = max(0.0, sums.xx - weight * x * x)
        xy = sums.xy - weight * x * y
        yy = max(0.0, sums.yy - weight * y * y)
        # Declared lengths are right at the median; the most that is allowed tells
        # nothing by itself.
        slope = 1.0 if key.is_declared else 0.0
        prior = PRIOR_WEIGHT * PRIOR_VARIANCE
        slope = (xy + prior * slope) / (xx + prior)
        slope = min(1.0, max(0.0, slope))
        residual = max(0.0, yy - 2.0 * slope * xy + slope * slope * xx)
        residual += PRIOR_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD
        spread = math.sqrt(residual / (weight + PRIOR_WEIGHT))
        return _Fit(x, y, slope, min(MAX_SPREAD, spread), size)

    def _estimate_event_size(self, key: LengthKey, usual: float) -> float:
        """Return the tokens of one event, by all answers of a service."""
        weight = log_ratio = events = 0.0
        for other, sums in self._totals.items():
            if other.service != key.service or other.is_declared != key.is_declared:
                continue
            weight += sums.weight
            log_ratio += sums.x - sums.y
            events += sums.events
        if key.is_declared:
            return max(1.0, math.exp(log_ratio / weight))
        return max(1.0, usual * weight / max(1.0, events))


@dataclass(frozen=True, slots=True)
class _Fit:
    """A line: at `declared`, a logarithm of tokens, answers have `center`, of events.

    Attributes
    ----------
    spread : float
        Standard deviation of the logarithm around the line.
    event_size : float
        Tokens of one event.
    """

    declared: float
    center: float
    slope: float
    spread: float
    event_size: float


def _compute_ageing(seconds: float) -> float:
    return 0.5 ** (max(0.0, seconds) / HALF_LIFE)


def _compute_survival(length: Learned, events: float) -> float:
    """Return the share of answers that are longer than `events`."""
    if events <= 0.0:
        return 1.0
    deviations = (math.log(events) - length.center) / length.spread
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _compute_limited_mean(length: Learned, limit: float) -> float:
    """Return the mean events of answers that end at `limit` at the latest."""
    if limit <= 0.0:
        return 0.0
    variance = length.spread * length.spread
    deviations = (math.log(limit) - length.center - variance) / length.spread
    below = 0.5 * math.erfc(-deviations / math.sqrt(2.0))
    mean = math.exp(length.center + 0.5 * variance)
    return mean * below + limit * _compute_survival(length, limit)
