"""Settings of one node, read from an INI file."""

import configparser
import pathlib

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from tarragonrudder.errors import SettingsError


class NodeSettings(BaseModel):
    """Section ``[node]``: the node's name, place and addresses."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1)
    data_center: str = Field(min_length=1)
    caller_bind: str = Field(description="host:port of the callers' listener")
    peer_bind: str = Field(description="host:port of the node-to-node listener")
    peer_address: str = Field(description="URL under which other nodes reach it")
    peer_secret_file: pathlib.Path = Field(description="file with the shared secret")
    peers: str = Field(
        "", description="URLs of other nodes, for a start without the platform"
    )
    balancer_lag: float = Field(2.0, ge=0, description="seconds")
    log_level: str = "INFO"


class PlatformSettings(BaseModel):
    """Section ``[platform]``: where the platform's services are."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: str = Field(description="URL of the key-value service")
    vms: str | None = Field(None, description="URL of the list of VMs")
    timeout: float = Field(1.0, gt=0, description="seconds")


class StatsdSettings(BaseModel):
    """Section ``[statsd]``: where metrics go; none are sent without a host."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str | None = None
    port: int = Field(8125, ge=1, le=65535)


class TlsSettings(BaseModel):
    """Section ``[tls]``: PEM files; a port without them speaks plain HTTP."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    caller_certificate: pathlib.Path | None = None
    caller_key: pathlib.Path | None = None
    peer_certificate: pathlib.Path | None = None
    peer_key: pathlib.Path | None = None
    peer_authority: pathlib.Path | None = Field(
        None, description="certificates that sign the nodes' certificates"
    )

    @model_validator(mode="after")
    def check_complete(self) -> "TlsSettings":
        """Refuse a port of which only some of the files are named."""
        if (self.caller_certificate is None) != (self.caller_key is None):
            raise ValueError("name both caller_certificate and caller_key, or neither")
        named = [self.peer_certificate, self.peer_key, self.peer_authority]
        if any(named) and not all(named):
            raise ValueError(
                "name all of peer_certificate, peer_key, peer_authority, or none"
            )
        return self


class Settings(BaseModel):
    """All settings of one node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: NodeSettings
    platform: PlatformSettings
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings = TlsSettings()


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is wrong.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream, source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f"{path}: {error}; mend the file") from error
    content = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Settings.model_validate(content)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{path}: {place}: {first['msg']}; mend it") from error
