"""Program ``halldoor-gateway``: an entry that reads its routes and targets from a YAML file."""

from __future__ import annotations

from pathlib import Path

import defopt
import msgspec

from halldoor.core.errors import HalldoorError
from halldoor.core.targets.entryweights import EntryCapacity
from halldoor.files import load_settings
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
    file, checked = load_when_sound(lambda: load_file(settings), program=PROGRAM)
    set_descriptor_limit()
    try:
        clock.run_program(run_until_stopped(build_gateway(checked), file))
    except (HalldoorError, OSError) as exc:
        exit_with_error(PROGRAM, exc, ExitStatus.SETTINGS)


def load_file(path: Path) -> tuple[SettingsFile, GatewayFileSettings]:
    """Read the settings and the configuration that they name.

    Raises
    ------
    HalldoorError
        If they are not sound, or the settings changed while they were read.
    """
    file = SettingsFile(path, lambda: build_settings(load_settings(path, GatewayFileSettings)))
    return file, file.read_unchanged(lambda: _load_checked(path))


def _load_checked(path: Path) -> GatewayFileSettings:
    """Read the settings; raise an error if they or the configuration are not sound."""
    checked = load_settings(path, GatewayFileSettings)
    build_settings(checked)
    load_configuration(Path(checked.configuration))
    return checked


def build_gateway(checked: GatewayFileSettings) -> Gateway:
    """Build a gateway from validated settings."""
    return Gateway(
        build_settings(checked),
        store=FileStore(Path(checked.configuration)),
        codec=PlainCodec(),
        lookups=PlainLookupFormat(),
        names=HeaderNames(),
    )


def build_settings(checked: GatewayFileSettings) -> GatewaySettings:
    """Build the gateway's settings from the settings file, with its policy applied."""
    data = msgspec.structs.asdict(checked)
    policy = data.pop("policy")
    del data["configuration"]
    capacity = EntryCapacity(**msgspec.structs.asdict(data.pop("capacity")))
    return GatewaySettings(**data, capacity=capacity).apply_policy(policy, origin="policy")


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
