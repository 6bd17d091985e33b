"""The calendar of busy hours: converts local wall time to instants.

Instants are UTC seconds since the epoch. The days of the week of a busy period
are the local days on which it begins. Around a clock change:

- a start in the skipped hour uses the offset before the change, so that 02:30
  becomes the instant that the clocks show as 03:30; an end there is converted
  the same way, so that 02:30 to 04:00 lasts 30 minutes;
- in a repeated hour, a start is the first occurrence and an end the second, so
  that the busy period covers both;
- a period whose end is not after its start is empty and left out.
"""

import datetime
import typing as t
import zoneinfo
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import BusyHours

_DAY = datetime.timedelta(days=1)


@dataclass(frozen=True, slots=True)
class BusyPeriod:
    """One occurrence of busy hours.

    Attributes
    ----------
    start, end : float
        UTC seconds since the epoch; the end is excluded.
    """

    hours: BusyHours
    start: float
    end: float


def list_periods(
    busy_hours: t.Iterable[BusyHours], start: float, end: float
) -> list[BusyPeriod]:
    """Return the periods that overlap an interval, in order of their starts."""
    found = []
    for hours in busy_hours:
        zone = zoneinfo.ZoneInfo(hours.zone)
        day = datetime.datetime.fromtimestamp(start, zone).date() - 2 * _DAY
        last = datetime.datetime.fromtimestamp(end, zone).date()
        while day <= last:
            if day.weekday() in hours.days:
                period = _make_period(hours, day, zone)
                if period.start < min(end, period.end) and period.end > start:
                    found.append(period)
            day += _DAY
    return sorted(found, key=lambda period: (period.start, period.hours.name))


def sum_demand(busy_hours: t.Iterable[BusyHours], now: float) -> dict[str, float]:
    """Return the demand at an instant: tokens per second by ``model@version``."""
    demand: dict[str, float] = {}
    for period in list_periods(busy_hours, now, now + 1e-3):
        if not period.start <= now < period.end:
            continue
        name = f"{period.hours.model}@{period.hours.version}"
        demand[name] = demand.get(name, 0.0) + period.hours.demand
    return demand


def find_next_start(
    busy_hours: t.Iterable[BusyHours], now: float, horizon: float
) -> float | None:
    """Return the next start after `now` within a horizon, or None."""
    for period in list_periods(busy_hours, now, now + horizon):
        if period.start > now:
            return period.start
    return None


def find_instant(
    day: datetime.date, wall: str, zone: zoneinfo.ZoneInfo, last: bool = False
) -> float:
    """Return the instant of a wall time ``HH:MM``.

    Parameters
    ----------
    last : bool
        Whether the second occurrence of a repeated time is meant.
    """
    clock = datetime.time.fromisoformat(wall)
    # PEP 495: for a repeated time, fold=1 is the second occurrence; for a skipped
    # time, fold=0 uses the offset before the change.
    local = datetime.datetime.combine(day, clock, tzinfo=zone)
    first = local.replace(fold=0)
    if not last or not _is_repeated(first):
        return first.timestamp()
    return local.replace(fold=1).timestamp()


def _is_repeated(local: datetime.datetime) -> bool:
    return local.timestamp() < local.replace(fold=1).timestamp()


def _make_period(
    hours: BusyHours, day: datetime.date, zone: zoneinfo.ZoneInfo
) -> BusyPeriod:
    overnight = hours.end <= hours.start
    end_day = day + _DAY if overnight else day
    start = find_instant(day, hours.start, zone)
    end = find_instant(end_day, hours.end, zone, last=True)
    return BusyPeriod(hours, start, end)
