"""The start of the programs while their settings are not sound or their ports are held."""

from __future__ import annotations

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

import pytest
import yaml

from halldoor.standins.sample import IP, find_ports

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
PROGRAMS = {
    "gateway": ("front", "ready", "directory", "metrics", "relay"),
    "entry": ("http", "wire"),
    "admin": ("http",),
}

INTERRUPT_HANDLERS = """
import os, signal, sys

def interrupt(frame, event, argument):
    os.kill(os.getpid(), signal.SIGINT)
    return interrupt

def set_interrupted(number, handler):
    def handle(*arguments):
        if sys.gettrace() is not None:
            return handler(*arguments)
        sys.settrace(interrupt)
        handler(*arguments)
        sys.settrace(None)
    return set_handler(number, handle if callable(handler) else handler)

set_handler, signal.signal = signal.signal, set_interrupted
"""
"""Code that sends SIGINT at each line of a signal handler."""


def build_settings(folder, program):
    """Return a program's example settings on free ports, and the ports."""
    settings = yaml.safe_load((EXAMPLES / f"{program}.yaml").read_text())
    names = [n for n in PROGRAMS[program] if n in settings]
    ports = dict(zip(names, find_ports(len(names)), strict=True))
    settings |= {name: {"ip": IP, "port": port} for name, port in ports.items()}
    if program == "gateway":
        settings["configuration"] = str(EXAMPLES / "gateway-routes.yaml")
    else:
        settings["platform"] = f"http://{IP}:1"
    return settings, ports


class Program:
    """A program as a process, whose lines are collected."""

    def __init__(self, name, path, *, before=""):
        module = f"halldoor.cli.{name}"
        script = f"{before}\nfrom {module} import main\nmain()"
        run = ["-c", script] if before else ["-m", module]
        self.process = subprocess.Popen(
            [sys.executable, *run, str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.lines = []
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def _read(self):
        self.lines.extend(iter(self.process.stdout.readline, ""))

    def wait_for(self, text, *, limit_s=15.0):
        deadline = time.monotonic() + limit_s
        while not any(text in line for line in list(self.lines)):
            assert time.monotonic() < deadline, (text, self.lines)
            time.sleep(0.02)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        status = self.process.wait(timeout=10.0)
        self._reader.join()
        assert not any("Traceback" in line for line in self.lines)
        return status

    def kill(self):
        self.process.kill()
        self.process.wait()
        self._reader.join()
        self.process.stdout.close()


@contextlib.contextmanager
def start_program(name, path, *, before=""):
    program = Program(name, path, before=before)
    try:
        yield program
    finally:
        program.kill()


@pytest.mark.parametrize("name", PROGRAMS)
@pytest.mark.parametrize("content", [None, "[" * 20_000 + "]" * 20_000, "front: {"])
def test_unsound_settings_end_the_program(name, content, tmp_path):
    """A settings file that was missing or not sound at the start ended the program."""
    path = tmp_path / "settings.yaml"
    if content is not None:
        path.write_text(content)
    with start_program(name, path) as program:
        program.wait_for("Waits until the settings are sound.")
        path.write_text(yaml.safe_dump(build_settings(tmp_path, name)[0]))
        program.wait_for("Started.")
        assert program.stop() == 0


@pytest.mark.parametrize(
    ("name", "port"),
    [("gateway", "front"), ("entry", "http"), ("entry", "wire"), ("admin", "http")],
)
def test_held_port_ends_the_program(name, port, tmp_path):
    """A port that was held at the start ended the program."""
    settings, ports = build_settings(tmp_path, name)
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    with socket.create_server((IP, ports[port])) as holder, start_program(name, path) as program:
        program.wait_for("Waits for")
        program.wait_for(f"{IP}:{ports[port]}")
        holder.close()
        program.wait_for("Opened" if name == "gateway" else "Started.")
        socket.create_connection((IP, ports[port]), timeout=5.0).close()
        assert program.stop() == 0


@pytest.mark.parametrize("name", PROGRAMS)
def test_stop_while_waiting(name, tmp_path):
    with start_program(name, tmp_path / "missing.yaml") as program:
        program.wait_for("Waits until the settings are sound.")
        program.process.send_signal(signal.SIGHUP)
        assert program.stop() == 0


@pytest.mark.parametrize("name", PROGRAMS)
def test_address_that_can_not_be_opened(name, tmp_path):
    """An error that waiting can't end has one line and its exit status."""
    settings, ports = build_settings(tmp_path, name)
    first = next(iter(ports))
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings | {first: {"ip": "300.1.1.1", "port": 9}}))
    with start_program(name, path) as program:
        assert program.process.wait(timeout=15.0) == 2
        program.wait_for(f"halldoor-{name}: ")
        assert not any("Traceback" in line for line in program.lines)


@pytest.mark.parametrize(
    ("name", "port"), [("entry", "http"), ("entry", "wire"), ("admin", "http")]
)
def test_port_is_awaited_at_an_address_that_the_settings_no_longer_name(name, port, tmp_path):
    """Until the next start the program waited for an address that nobody gave it any more."""
    settings, ports = build_settings(tmp_path, name)
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    with socket.create_server((IP, ports[port])), start_program(name, path) as program:
        program.wait_for(f"Waits for the address {IP}:{ports[port]}")
        (other,) = find_ports(1)
        path.write_text(yaml.safe_dump(settings | {port: {"ip": IP, "port": other}}))
        program.wait_for("Started.")
        socket.create_connection((IP, other), timeout=5.0).close()
        assert program.stop() == 0


@pytest.mark.parametrize("name", ["entry", "admin"])
def test_next_process_at_the_port_ends_the_stop_with_an_error(name, tmp_path):
    """The stop ended with status 70 if another process listened at its port within a second."""
    settings, ports = build_settings(tmp_path, name)
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    with start_program(name, path) as program:
        program.wait_for("Started.")
        program.process.send_signal(signal.SIGTERM)
        with listen_when_free(ports["http"]):
            assert program.process.wait(timeout=10.0) == 0


def listen_when_free(port, *, limit_s=10.0):
    """Return a listening socket as soon as the port is free."""
    deadline = time.monotonic() + limit_s
    while True:
        try:
            return socket.create_server((IP, port))
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(0.001)


@pytest.mark.parametrize("name", PROGRAMS)
def test_signals_during_the_end_change_the_exit_status(name, tmp_path):
    """The status was -15 or -2 if a signal came while Python ended."""
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(build_settings(tmp_path, name)[0]))
    numbers = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    with start_program(name, path) as program:
        program.wait_for("Started.")
        deadline = time.monotonic() + 10.0
        for number in itertools.cycle(numbers):
            if program.process.poll() is not None or time.monotonic() > deadline:
                break
            program.process.send_signal(number)
            time.sleep(0.001)
        assert program.process.poll() == 0


@pytest.mark.parametrize("name", PROGRAMS)
def test_signal_while_a_signal_is_handled_hangs_the_stop(name, tmp_path):
    """The handler waited for a lock that its own thread held."""
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(build_settings(tmp_path, name)[0]))
    with start_program(name, path, before=INTERRUPT_HANDLERS) as program:
        program.wait_for("Started.")
        assert program.stop() == 0


@pytest.mark.parametrize("name", PROGRAMS)
def test_signal_while_a_program_loads_ends_it(name, tmp_path):
    """SIGHUP ended it with status -1 until all of its libraries were loaded."""
    sending = "import os, signal, sys\nos.kill(os.getpid(), signal.SIGHUP)\nsys.exit(7)\n"
    (tmp_path / "defopt.py").write_text(sending)
    project = tomllib.loads((EXAMPLES.parent / "pyproject.toml").read_text())["project"]
    module, function = project["scripts"][f"halldoor-{name}"].split(":")
    done = subprocess.run(
        [sys.executable, "-c", f"from {module} import {function}; {function}()"],
        check=False,
        env=os.environ | {"PYTHONPATH": str(tmp_path)},
        timeout=20.0,
    )
    assert done.returncode == 7
