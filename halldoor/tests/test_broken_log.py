"""Programs whose standard output and error are closed, full, broken or not read."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
import yaml

from halldoor.lines import QUEUE_LIMIT, LineWriter
from halldoor.standins.sample import IP
from halldoor.tests.test_program_start import PROGRAMS, build_settings


def open_full_pipe():
    """Return a pipe that takes no more bytes, as its ends to read and to write."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)
    return read_end, write_end


def open_output(kind):
    """Return the descriptors to keep and the one to write to."""
    if kind == "full":
        return [], os.open("/dev/full", os.O_WRONLY)
    if kind == "unread":
        read_end, write_end = open_full_pipe()
        return [read_end], write_end
    read_end, write_end = os.pipe()
    os.close(read_end)
    return [], write_end


def can_connect(port):
    try:
        socket.create_connection((IP, port), timeout=1.0).close()
    except OSError:
        return False
    return True


def start(name, path, kind, output):
    command = [sys.executable, "-m", f"halldoor.cli.{name}", str(path)]
    if kind == "closed":
        shell = 'exec "$@" 0<&- 1>&- 2>&-'
        return subprocess.Popen(["/bin/sh", "-c", shell, "sh", *command])
    return subprocess.Popen(command, stdout=output, stderr=output)


@pytest.mark.parametrize("kind", ["full", "unread", "broken", "closed"])
def test_log_that_can_not_be_written_ends_or_stops_programs(kind, tmp_path):
    """Waiting for settings they ended; serving, they never ended after SIGTERM."""
    kept, output = open_output(kind)
    programs = {name: build_settings(tmp_path, name) for name in PROGRAMS}
    paths = {name: tmp_path / f"{name}.yaml" for name in programs}
    processes = {name: start(name, paths[name], kind, output) for name in programs}
    try:
        time.sleep(2.0)
        for name, (settings, _) in programs.items():
            paths[name].write_text(yaml.safe_dump(settings))
        deadline = time.monotonic() + 15.0
        ports = [min(ports.values()) for _, ports in programs.values()]
        while not all(map(can_connect, ports)):
            assert time.monotonic() < deadline
            assert {process.poll() for process in processes.values()} == {None}
            time.sleep(0.05)
        for process in processes.values():
            if kind == "closed":
                streams = [os.readlink(f"/proc/{process.pid}/fd/{n}") for n in range(3)]
                assert streams == ["/dev/null"] * 3
            process.send_signal(signal.SIGTERM)
        assert [process.wait(timeout=10.0) for process in processes.values()] == [0, 0, 0]
    finally:
        for process in processes.values():
            process.kill()
            process.wait()
        for fd in (*kept, output):
            os.close(fd)


@pytest.mark.parametrize(("kind", "dropped"), [("unread", 36), ("full", 100)])
def test_lines_that_can_not_be_written_are_dropped_and_counted(kind, dropped):
    kept, output = open_output(kind)
    writer = LineWriter(output)
    for _ in range(QUEUE_LIMIT + 100 if kind == "unread" else 100):
        writer.put(b"line\n")
    started = time.monotonic()
    writer.close()
    assert time.monotonic() - started < 0.5
    assert writer.count_dropped() >= dropped
    for fd in kept:
        os.close(fd)
