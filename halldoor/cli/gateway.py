"""Program ``halldoor-gateway``: an entry that reads its routes and targets from a YAML file."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec

from halldoor.core.errors import HalldoorError
from halldoor.core.fields import Fields
from halldoor.core.targets.entryweights import EntryCapacity
from halldoor.files import load_fields
from halldoor.gateway import clock
from halldoor.gateway.filestore import FileStore, GatewayFileSettings, load_configuration
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.lookup import PlainLookupFormat
from halldoor.gateway.plain import PlainCodec
from halldoor.gateway.process import Gateway
from halldoor.gateway.runner import SettingsFile, run_until_stopped
from halldoor.gateway.settings import GatewaySettings
from halldoor.startup import (
    ExitStatus,
    end_on_signals,
    exit_with_error,
    load_when_sound,
    open_standard_streams,
    set_descriptor_limit,
)

PROGRAM = "halldoor-gateway"
"""Name of the program in its messages."""


def run(settings: Path) -> None:
    """Run a gateway until SIGTERM, which lets running requests finish before it stops.

    Parameters
    ----------
    settings
        YAML file with the settings; docs/reference.md lists them.
    """
    end_on_signals()
    open_standard_streams()
    loader = SettingsLoader(settings)
    file, loaded = load_when_sound(lambda: load_file(settings, loader), program=PROGRAM)
    set_descriptor_limit()
    try:
        clock.run_program(run_until_stopped(build_gateway(loaded), file))
    except (HalldoorError, OSError) as exc:
        exit_with_error(PROGRAM, exc, ExitStatus.SETTINGS)


class LoadedSettings(NamedTuple):
    """Settings of a gateway, and the contents of the file that they are from."""

    gateway: GatewaySettings
    file: GatewayFileSettings


class SettingsLoader:
    """Reads the settings again and again; what can't be read keeps its previous value.

    Parameters
    ----------
    path : Path
        The settings file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._current: LoadedSettings | None = None

    def load(self) -> LoadedSettings:
        """Read the settings.

        Raises
        ------
        SettingsError
            If the file can't be read, or lacks what the gateway can't serve without.
        """
        before = self._current
        file = load_fields(self._path, GatewayFileSettings, before.file if before else None)
        gateway = build_settings(file, before.gateway if before else None)
        self._current = LoadedSettings(gateway, file.value)
        return self._current

    def load_all(self) -> LoadedSettings:
        """Read the settings; raise an error also if the configuration is not sound."""
        loaded = self.load()
        load_configuration(Path(loaded.file.configuration))
        return loaded


def load_file(path: Path, loader: SettingsLoader) -> tuple[SettingsFile, LoadedSettings]:
    """Read the settings and the configuration that they name.

    Raises
    ------
    HalldoorError
        If they are not sound, or the settings changed while they were read.
    """
    file = SettingsFile(path, lambda: loader.load().gateway)
    return file, file.read_unchanged(loader.load_all)


def build_gateway(loaded: LoadedSettings) -> Gateway:
    """Build a gateway from settings."""
    return Gateway(
        loaded.gateway,
        store=FileStore(Path(loaded.file.configuration)),
        codec=PlainCodec(),
        lookups=PlainLookupFormat(),
        names=HeaderNames(),
    )


def build_settings(
    fields: Fields[GatewayFileSettings], previous: GatewaySettings | None = None
) -> GatewaySettings:
    """Build the gateway's settings from the settings file, with its policy applied."""
    data = msgspec.structs.asdict(fields.value)
    policy = data.pop("policy")
    del data["configuration"]
    capacity = EntryCapacity(**msgspec.structs.asdict(data.pop("capacity")))
    settings = GatewaySettings(**data, capacity=capacity, unread=fields.unread)
    return settings.apply_readable_policy(policy, previous, origin="policy")


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
