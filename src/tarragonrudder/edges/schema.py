"""Models that validate the sections of the configuration folder."""

import re
import typing as t
import urllib.parse
import zoneinfo
from dataclasses import dataclass

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
MAX_LAYERS = 10_000
_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_ZONE_NAMES = frozenset(zoneinfo.available_timezones())


def _check_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    port = parts.port  # raises ValueError if it is out of range
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        raise ValueError("not a URL; write http://HOST:PORT")
    if parts.username or parts.password or parts.query or parts.fragment:
        raise ValueError("a URL without user, query and fragment is needed")
    return text.rstrip("/")


def _check_hashes(text: str) -> str:
    for item in text.split():
        if _HASH_PATTERN.fullmatch(item) is None:
            raise ValueError(
                "each must be the SHA-256 of a key: 64 digits of 0-9 and a-f"
            )
    if not text.split():
        raise ValueError("at least one hash is needed")
    return text


def _check_layers(text: str) -> str:
    first, _, last = text.partition("-")
    if not (first.isdecimal() and last.isdecimal() and len(text) < 20):
        raise ValueError("write FIRST-LAST, such as 0-15")
    if int(first) > int(last):
        raise ValueError("the first layer must not come after the last")
    return text


def _check_version(text: str) -> str:
    name, _, version = text.partition("@")
    if not name or not version or "@" in version:
        raise ValueError("write NAME@VERSION")
    return text


def _check_days(text: str) -> str:
    days = text.lower().split()
    if not days or any(day not in WEEKDAYS for day in days):
        raise ValueError(f"name days of {' '.join(WEEKDAYS)}")
    if len(set(days)) != len(days):
        raise ValueError("a day stands twice")
    return text


def _check_time(text: str) -> str:
    if re.fullmatch(r"([01]\d|2[0-3]):[0-5]\d", text, re.ASCII) is None:
        raise ValueError("write HH:MM, from 00:00 to 23:59")
    return text


def _check_zone(text: str) -> str:
    if text not in _ZONE_NAMES:
        raise ValueError("not an IANA time zone; write one such as Europe/Rome")
    return text


def _check_methods(text: str) -> str:
    for method in text.upper().split():
        if method not in METHODS:
            raise ValueError(f"name methods of {' '.join(METHODS)}")
    return text


Url = t.Annotated[str, AfterValidator(_check_url)]
KeyHashes = t.Annotated[str, AfterValidator(_check_hashes)]
Layers = t.Annotated[str, AfterValidator(_check_layers)]
ModelVersion = t.Annotated[str, AfterValidator(_check_version)]
Days = t.Annotated[str, AfterValidator(_check_days)]
Time = t.Annotated[str, AfterValidator(_check_time)]
Zone = t.Annotated[str, AfterValidator(_check_zone)]
Methods = t.Annotated[str, AfterValidator(_check_methods)]
Name = t.Annotated[str, Field(min_length=1, max_length=200)]
PositiveNumber = t.Annotated[float, Field(gt=0, allow_inf_nan=False)]


class Section(BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class ModelSection(Section):
    """``[model:NAME@VERSION]``: a version of a model."""

    layers: int = Field(gt=0, le=MAX_LAYERS, description="number of layers")
    layer_bytes: int = Field(0, ge=0, description="bytes of one layer's weights")
    activation_bytes: int = Field(
        8192, gt=0, description="bytes that cross a link for one token"
    )


class EngineSection(Section):
    """``[engine:NAME]``: an upstream that holds a range of layers."""

    address: Url = Field(description="URL of the engine")
    data_center: Name = Field(description="data centre of its VM")
    accelerator: Name = Field(description="kind of its accelerator")
    model: ModelVersion = Field(description="NAME@VERSION of its model")
    layers: Layers = Field(description="FIRST-LAST, counted from 0, both held")
    layer_tokens_per_second: PositiveNumber = Field(
        1000.0, description="speed of one layer"
    )
    batch_limit: int = Field(32, gt=0, description="answers it runs at once")
    checks_fencing: bool = Field(
        False, description="whether it refuses orders with an old fencing number"
    )
    movable: bool = Field(
        False, description="whether the planner may order it to hold something else"
    )


class ServiceSection(Section):
    """``[service:NAME]``: an upstream that runs a plain service."""

    address: Url = Field(description="URL of the service")
    data_center: Name = Field(description="data centre of its VM")
    service: Name = Field(description="name under /services/")
    outcome_path: str | None = Field(
        None, pattern="^/", description="path that tells a key's outcome"
    )


class DataCenterSection(Section):
    """``[data-center:NAME]``: a data centre; needed where no upstream names it."""

    region: Name = Field("default", description="region that it lies in")


class LinkSection(Section):
    """``[link:SOURCE TARGET]``: a bidirectional link between two data centres."""

    latency_ms: float = Field(
        ge=0, allow_inf_nan=False, description="one way, in milliseconds"
    )
    bytes_per_second: PositiveNumber = Field(
        description="capacity shared by all that crosses it"
    )


class AccountSection(Section):
    """``[account:NAME]``: a client account."""

    key_hashes: KeyHashes = Field(
        description="SHA-256 of its API keys, in hexadecimal, apart by blanks"
    )
    requests_per_second: PositiveNumber = Field(description="limit over all nodes")
    burst: PositiveNumber = Field(description="requests that may come at once")
    weight: PositiveNumber = Field(
        1.0, description="share among accounts of its priority"
    )
    priority: Name = Field("normal", description="name of its priority")


class PrioritySection(Section):
    """``[priority:NAME]``: a priority class of requests."""

    level: int = Field(ge=0, description="a lower level is served first")
    deadline_s: PositiveNumber = Field(
        description="seconds until the answer must be whole"
    )


class ModelRouteSection(Section):
    """``[route:NAME]``: a model name for callers, and the version it leads to."""

    model: ModelVersion = Field(description="NAME@VERSION that answers")


class ServiceRouteSection(Section):
    """``[service-route:NAME]``: retries and timeout of calls to a plain service."""

    idempotent_methods: Methods = Field(
        "GET HEAD OPTIONS", description="methods whose calls may be repeated"
    )
    timeout_s: PositiveNumber = Field(
        10.0, description="seconds until a call without an answer is given up"
    )


class BusyHoursSection(Section):
    """``[busy-hours:NAME]``: hours of high load, in local wall time."""

    model: ModelVersion = Field(description="NAME@VERSION that is asked for")
    days: Days = Field(description="days on which they start, such as mon tue")
    start: Time = Field(description="HH:MM")
    end: Time = Field(description="HH:MM; at or before the start: on the next day")
    zone: Zone = Field(description="IANA time zone")
    demand: PositiveNumber = Field(description="expected tokens per second")


class WeightStoreSection(Section):
    """``[weight-store:default]``: the store that engines load weights from."""

    bytes_per_second: PositiveNumber = Field(
        description="rate shared by all that loads at once"
    )


SECTIONS: t.Mapping[str, type[Section]] = {
    "model": ModelSection,
    "engine": EngineSection,
    "service": ServiceSection,
    "data-center": DataCenterSection,
    "link": LinkSection,
    "account": AccountSection,
    "priority": PrioritySection,
    "route": ModelRouteSection,
    "service-route": ServiceRouteSection,
    "busy-hours": BusyHoursSection,
    "weight-store": WeightStoreSection,
}


@dataclass(frozen=True, slots=True)
class TitleFormat:
    """Format of the titles in ``[KIND:TITLE]`` headers, with a hint for messages."""

    pattern: re.Pattern[str]
    hint: str


_PLAIN_TITLE_FORMAT = TitleFormat(
    re.compile(r"[^\s@/]+"), "NAME without blanks, @ and /"
)
_TITLE_FORMATS: t.Mapping[str, TitleFormat] = {
    "model": TitleFormat(re.compile(r"[^\s@]+@[^\s@]+"), "NAME@VERSION"),
    "link": TitleFormat(re.compile(r"\S+ \S+"), "SOURCE TARGET"),
    "route": TitleFormat(re.compile(r"\S+"), "NAME without blanks"),
    "weight-store": TitleFormat(re.compile("default"), "default"),
}


def find_title_format(kind: str) -> TitleFormat:
    """Return the title format of a section kind."""
    return _TITLE_FORMATS.get(kind, _PLAIN_TITLE_FORMAT)
