"""Entry points of the programs that run until a signal stops them.

They take signals before they load their libraries.
"""

from __future__ import annotations

from halldoor.startup import end_on_signals


def run_gateway() -> None:
    """Run ``halldoor-gateway``."""
    end_on_signals()
    from halldoor.cli import gateway

    gateway.main()


def run_entry() -> None:
    """Run ``halldoor-entry``."""
    end_on_signals()
    from halldoor.cli import entry

    entry.main()


def run_admin() -> None:
    """Run ``halldoor-admin``."""
    end_on_signals()
    from halldoor.cli import admin

    admin.main()
