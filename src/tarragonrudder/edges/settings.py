"""Settings of one node, read from an INI file."""

import pathlib
import typing as t
import urllib.parse

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from rapidfuzz import process as fuzzy

from tarragonrudder.edges.connection import MAX_FIELDS
from tarragonrudder.edges.ini import Fault, IniText, read_ini
from tarragonrudder.errors import SettingsError

MAX_SETTINGS_BYTES = 64 * 1024
ModelT = t.TypeVar("ModelT", bound=BaseModel)


def _check_bind(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("write HOST:PORT")
    return text


def _check_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("write http://HOST:PORT")
    if parts.port == 0:
        raise ValueError("port 0 can't be reached")
    return text.rstrip("/")


def _check_urls(text: str) -> str:
    return " ".join(_check_url(item) for item in text.split())


Bind = t.Annotated[str, AfterValidator(_check_bind)]
Url = t.Annotated[str, AfterValidator(_check_url)]
Urls = t.Annotated[str, AfterValidator(_check_urls)]
Name = t.Annotated[str, Field(pattern=r"^[^\s/]+$", max_length=200)]
LogLevel = t.Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class NodeSettings(BaseModel):
    """Section ``[node]``: the node's name, place and addresses."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name = Field(description="unique among all nodes")
    data_center: Name = Field(description="data centre of its VM")
    caller_bind: Bind = Field(description="host:port of the callers' listener")
    peer_bind: Bind = Field(description="host:port of the node-to-node listener")
    peer_address: Url = Field(description="URL under which other nodes reach it")
    peer_secret_file: pathlib.Path = Field(description="file with the shared secret")
    peers: Urls = Field(
        "", description="URLs of other nodes, for a start without the platform"
    )
    balancer_lag: float = Field(
        2.0,
        ge=0,
        allow_inf_nan=False,
        description="seconds for which the balancer still sends work to a node "
        "that is shutting down",
    )
    log_level: LogLevel = Field("INFO", description="least level that is logged")


class PlatformSettings(BaseModel):
    """Section ``[platform]``: where the platform's services are."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Url = Field(description="URL of the key-value service")
    vms: Url | None = Field(None, description="URL of the list of VMs")
    timeout: float = Field(
        1.0, gt=0, allow_inf_nan=False, description="seconds for each call"
    )


class StatsdSettings(BaseModel):
    """Section ``[statsd]``: where metrics go; none are sent without a host."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str | None = Field(None, description="host of the statsd server")
    port: int = Field(8125, ge=1, le=65535, description="its UDP port")


class TlsSettings(BaseModel):
    """Section ``[tls]``: PEM files; a port without them speaks plain HTTP."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    caller_certificate: pathlib.Path | None = Field(
        None, description="certificate of the callers' port"
    )
    caller_key: pathlib.Path | None = Field(None, description="its key")
    peer_certificate: pathlib.Path | None = Field(
        None, description="certificate of the node-to-node port"
    )
    peer_key: pathlib.Path | None = Field(None, description="its key")
    peer_authority: pathlib.Path | None = Field(
        None, description="certificates that sign the nodes' certificates"
    )

    @model_validator(mode="after")
    def check_complete(self) -> "TlsSettings":
        """Raise if only some of the files of a port are named."""
        if (self.caller_certificate is None) != (self.caller_key is None):
            raise ValueError("name both caller_certificate and caller_key, or neither")
        named = [self.peer_certificate, self.peer_key, self.peer_authority]
        if any(named) and not all(named):
            raise ValueError(
                "name all of peer_certificate, peer_key, peer_authority, or none"
            )
        return self


class IntakeSettings(BaseModel):
    """Section ``[intake]``: what clients may hold of the VM; 0 asks the VM."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    memory_mb: float = Field(
        0, ge=0, allow_inf_nan=False, description="memory of the VM for this process"
    )
    max_fds: int = Field(0, ge=0, description="descriptors that the process may open")
    max_fields: int = Field(
        MAX_FIELDS, gt=0, description="most header fields of a request"
    )


class Settings(BaseModel):
    """All settings of one node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: NodeSettings
    platform: PlatformSettings
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings = TlsSettings()
    intake: IntakeSettings = IntakeSettings()


def read_settings(path: pathlib.Path) -> Settings:
    """Read and validate a node's settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is wrong; lists all faults.
    """
    return read_model(path, Settings)


def read_model(path: pathlib.Path, model: type[ModelT]) -> ModelT:
    """Read an INI file into a model whose fields are its sections.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is wrong; lists all faults.
    """
    try:
        with path.open(encoding="utf-8") as stream:
            parsed = read_ini(stream.read(MAX_SETTINGS_BYTES))
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise SettingsError(f"{path}: can't be read: {error}; mend the file") from error
    _raise_faults(path, parsed.faults)
    content: dict[str, dict[str, str]] = {}
    for section in parsed.sections:
        values = {key: entry.value for key, entry in section.entries.items()}
        content[section.header] = values
    try:
        return model.model_validate(content)
    except ValidationError as error:
        _raise_faults(
            path, [_make_fault(fault, parsed, model) for fault in error.errors()]
        )
        raise


def _raise_faults(path: pathlib.Path, faults: t.Sequence[Fault]) -> None:
    if faults:
        lines = [f"{path}:{fault.line + 1}: {fault.message}" for fault in faults]
        raise SettingsError("\n".join(lines))


def _make_fault(fault: t.Any, parsed: IniText, model: type[BaseModel]) -> Fault:
    """Return the fault for a validation error, with its line and a hint."""
    header = str(fault["loc"][0])
    key = str(fault["loc"][1]) if len(fault["loc"]) > 1 else ""
    line = 0
    for section in parsed.sections:
        if section.header != header:
            continue
        line = section.line
        if key in section.entries:
            line = section.entries[key].line
    place = f"[{header}] {key}".rstrip()
    if fault["type"] == "missing":
        return Fault(line, f"{place}: missing; add it")
    if fault["type"] == "extra_forbidden":
        known = model.model_fields
        field = known.get(header)
        if key and field is not None:
            known = getattr(field.annotation, "model_fields", {})
        closest = fuzzy.extractOne(key or header, sorted(known))
        name = closest[0] if closest is not None else "another"
        return Fault(line, f"{place}: unknown; did you mean {name}?")
    message = fault["msg"].removeprefix("Value error, ")
    return Fault(line, f"{place}: {message}; mend the value")
