"""Concurrent runs of stand-ins must not use the same ports."""

import subprocess
import sys

from halldoor.standins.sample import IP


def test_each_process_has_its_own_loopback_address():
    """Two concurrent test runs opened the same port on one address, and a fleet did not start."""
    code = "from halldoor.standins.sample import IP; print(IP)"
    others = {
        subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        ).stdout.strip()
        for _ in range(3)
    }
    assert len(others | {IP}) == 4
    assert all(ip.startswith("127.") and 64 <= int(ip.split(".")[1]) < 128 for ip in others)
