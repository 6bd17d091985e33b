"""Settings of the operators' tool, from an INI file or command-line options."""

import os
import pathlib

from pydantic import BaseModel, ConfigDict, Field

from tarragonrudder.edges.settings import TlsSettings, read_model
from tarragonrudder.errors import SettingsError

SETTINGS_VARIABLE = "TARRAGONRUDDER_SETTINGS"


class OperatorSettings(BaseModel):
    """Section ``[operator]``: where the operators' tool finds the platform."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    platform: str | None = Field(None, description="URL of the key-value service")
    timeout: float = Field(5.0, gt=0, description="seconds for each call")
    peer_secret_file: pathlib.Path | None = Field(
        None, description="file with the nodes' shared secret, for `status`"
    )


class ToolSettings(BaseModel):
    """All settings of the operators' tool."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    operator: OperatorSettings = OperatorSettings()
    tls: TlsSettings = TlsSettings()


def read_tool_settings(path: str | None) -> ToolSettings:
    """Return the settings from a file, or defaults if none is named.

    Without a path, ``TARRAGONRUDDER_SETTINGS`` names the file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is wrong.
    """
    chosen = path or os.environ.get(SETTINGS_VARIABLE)
    if chosen is None:
        return ToolSettings()
    return read_model(pathlib.Path(str(chosen)), ToolSettings)


def choose_platform(option: str | None, settings: ToolSettings) -> str:
    """Return the platform's address, from the command line or the settings.

    Raises
    ------
    SettingsError
        If neither has one.
    """
    address = option or settings.operator.platform
    if address is None:
        raise SettingsError(
            "the platform's address is missing; give --platform=URL, or name a file "
            f"with [operator] platform = URL in {SETTINGS_VARIABLE}"
        )
    return str(address)
