"""Validated models of the configuration folder's sections."""

import typing as t

from pydantic import BaseModel, ConfigDict, Field


class Section(BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ModelSection(Section):
    """``[model:NAME@VERSION]``."""

    layers: int = Field(gt=0)
    layer_bytes: int = Field(0, ge=0)
    activation_bytes: int = Field(8192, gt=0)


class EngineSection(Section):
    """``[engine:NAME]``."""

    address: str
    data_center: str
    accelerator: str
    model: str
    layers: str = Field(pattern=r"^\d+-\d+$")
    layer_tokens_per_second: float = Field(1000.0, gt=0)
    batch_limit: int = Field(32, gt=0)
    checks_fencing: bool = False
    movable: bool = False


class ServiceSection(Section):
    """``[service:NAME]``."""

    address: str
    data_center: str
    service: str
    outcome_path: str | None = None


class LinkSection(Section):
    """``[link:SOURCE TARGET]``."""

    latency_ms: float = Field(ge=0)
    bytes_per_second: float = Field(gt=0)


class AccountSection(Section):
    """``[account:NAME]``."""

    key_hashes: str
    requests_per_second: float = Field(gt=0)
    burst: float = Field(gt=0)
    weight: float = Field(1.0, gt=0)
    priority: str = "normal"


class PrioritySection(Section):
    """``[priority:NAME]``."""

    level: int = Field(ge=0)
    deadline_s: float = Field(gt=0)


class ModelRouteSection(Section):
    """``[route:NAME]``."""

    model: str


class ServiceRouteSection(Section):
    """``[service-route:NAME]``."""

    idempotent_methods: str = "GET HEAD OPTIONS"
    timeout_s: float = Field(10.0, gt=0)


class BusyHoursSection(Section):
    """``[busy-hours:NAME]``."""

    model: str
    days: str
    start: str = Field(pattern=r"^\d\d:\d\d$")
    end: str = Field(pattern=r"^\d\d:\d\d$")
    zone: str
    demand: float = Field(gt=0)


class WeightStoreSection(Section):
    """``[weight-store:default]``."""

    bytes_per_second: float = Field(gt=0)


SECTIONS: t.Mapping[str, type[Section]] = {
    "model": ModelSection,
    "engine": EngineSection,
    "service": ServiceSection,
    "link": LinkSection,
    "account": AccountSection,
    "priority": PrioritySection,
    "route": ModelRouteSection,
    "service-route": ServiceRouteSection,
    "busy-hours": BusyHoursSection,
    "weight-store": WeightStoreSection,
}
