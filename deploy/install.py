"""Install the libraries of deploy/requirements.txt into target/deps, unless they are there whole.

Uses the standard library only.  A stamp, written last, names the requirements, machine and Python
that the libraries were installed for; every file of theirs is checked, and that they can be loaded.
"""

from __future__ import annotations

import base64
import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from collections.abc import Iterator
from importlib.metadata import Distribution, distributions
from pathlib import Path

REQUIREMENTS = Path("deploy/requirements.txt")
TARGET = Path("target")
DEPS = TARGET / "deps"
STAMP = "halldoor-installed.json"


def main() -> None:
    """Install the libraries if they are missing, incomplete or for another machine."""
    TARGET.mkdir(exist_ok=True)
    with (TARGET / "deps.lock").open("w") as lock:
        # A second build waits, and then finds the libraries of the first.
        fcntl.flock(lock, fcntl.LOCK_EX)
        for left in TARGET.glob("deps-*"):
            # An installation was killed.
            shutil.rmtree(left)
        problem = find_problem(DEPS)
        if problem is None:
            return
        if DEPS.exists():
            print(f"install: target/deps is replaced: {problem}.", file=sys.stderr)
        install()


def install() -> None:
    """Install the libraries into a new folder, check them, and put it in place of the old one."""
    with tempfile.TemporaryDirectory(prefix="deps-", dir=TARGET) as folder:
        fresh = Path(folder) / "new"
        command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(fresh)]
        done = subprocess.run([*command, "-r", str(REQUIREMENTS)], check=False)
        if done.returncode:
            sys.exit("install: pip failed; check its message and the package registry.")
        (fresh / STAMP).write_text(json.dumps(build_stamp(fresh), indent=1))
        problem = find_problem(fresh)
        if problem is not None:
            sys.exit(f"install: the new libraries can't be used: {problem}. Run the build again.")
        if DEPS.is_symlink() or DEPS.is_file():
            DEPS.unlink()
        elif DEPS.exists():
            DEPS.rename(Path(folder) / "old")
        fresh.rename(DEPS)


def build_stamp(folder: Path) -> dict[str, object]:
    """Return what the libraries in a folder are installed for, and their versions."""
    return {
        "requirements": hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        "machine": platform.machine(),
        "python": f"{sys.implementation.cache_tag} {sysconfig.get_config_var('SOABI')}",
        "libraries": sorted(f"{d.metadata['Name']} {d.version}" for d in list_libraries(folder)),
    }


def list_libraries(folder: Path) -> Iterator[Distribution]:
    """Return the distributions that are installed in a folder."""
    return iter(distributions(path=[str(folder)]))


def find_problem(folder: Path) -> str | None:
    """Return why the libraries in a folder can't be used; None if they can."""
    try:
        stamp = json.loads((folder / STAMP).read_text())
        wanted = build_stamp(folder)
    except Exception as exc:
        return f"it is not complete ({type(exc).__name__})"
    if not isinstance(stamp, dict):
        return "its stamp is damaged"
    for name, value in wanted.items():
        if stamp.get(name) != value:
            return f"it is for other {name}"
    for library in list_libraries(folder):
        if path := find_damage(folder, library):
            return f"{path} is missing or damaged"
    return find_load_error(folder)


def find_damage(folder: Path, library: Distribution) -> str | None:
    """Return a file of a library that is missing or differs from the installed one."""
    for entry in library.files or []:
        if entry.hash is None or ".." in entry.parts:
            continue
        try:
            data = (folder / str(entry)).read_bytes()
        except OSError:
            return str(entry)
        digest = hashlib.new(entry.hash.mode, data).digest()
        if base64.urlsafe_b64encode(digest).rstrip(b"=").decode() != entry.hash.value:
            return str(entry)
    return None


def find_load_error(folder: Path) -> str | None:
    """Return why a library can't be loaded by this Python; None if all can."""
    names = sorted({n for library in list_libraries(folder) for n in list_modules(library)})
    code = "import importlib, sys; [importlib.import_module(n) for n in sys.argv[1:]]"
    done = subprocess.run(
        [sys.executable, "-c", code, *names],
        check=False,
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"},
    )
    return done.stderr.strip().rpartition("\n")[2] if done.returncode else None


def list_modules(library: Distribution) -> Iterator[str]:
    """Yield the names of a library's packages and modules."""
    for entry in library.files or []:
        if len(entry.parts) == 2 and entry.name == "__init__.py":
            yield entry.parts[0]
        elif len(entry.parts) == 1 and entry.suffix == ".py":
            yield entry.stem


if __name__ == "__main__":
    main()
