"""HTTP interface of the administration API, on CherryPy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from uuid import uuid4

import cherrypy
import msgspec
import structlog
from cherrypy.process.servers import ServerAdapter

from halldoor.admin.service import Administration
from halldoor.core.decoding import DecodingError, decode_json, parse_int
from halldoor.core.errors import (
    ConflictError,
    HalldoorError,
    PermissionDeniedError,
    PlatformError,
    SettingsError,
)
from halldoor.core.settings import AdminSettings
from halldoor.core.steering.configuration import Configuration, Team
from halldoor.keyvalue.client import HttpPlatform
from halldoor.keyvalue.store import ConfigurationStore
from halldoor.server import HttpServer
from halldoor.startup import StopSignals

log = structlog.get_logger(part="admin")

MAX_BODY_BYTES = 16_000_000
"""Longest request body, in bytes."""
MAX_LISTED_CHANGES = 100_000
"""Most changes that one request lists."""
_STATUS: list[tuple[type[HalldoorError], int]] = [
    (DecodingError, 400),
    (PermissionDeniedError, 403),
    (ConflictError, 409),
    (SettingsError, 422),
    (PlatformError, 503),
]
"""HTTP status by class of error; the first class that matches counts."""


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/apply`` and ``/v1/plan``."""

    configuration: dict[str, Any]
    base: int | None = None
    change_id: str = ""


class ShiftBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/shift``."""

    name: str
    verb: str
    position: float | None = None
    change_id: str = ""


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/drain``."""

    target: str
    leaving: bool = True
    change_id: str = ""


def _expose_as_json(method: Callable[..., Any]) -> Any:
    """Expose a method over HTTP, with its result, or its error and remedy, as JSON."""

    def wrapped(self: AdminApi, *args: Any, **kwargs: Any) -> bytes:
        cherrypy.response.headers["Content-Type"] = "application/json"
        try:
            value = method(self, *args, **kwargs)
        except (HalldoorError, msgspec.MsgspecError, TypeError) as exc:
            value = _build_error(exc)
        except Exception:
            log.exception("A request failed with an unexpected error.", path=method.__name__)
            cherrypy.response.status = 500
            value = {
                "error": "The administration API failed.",
                "remedy": "Its log says more.",
                "kind": "failure",
            }
        return value if isinstance(value, bytes) else msgspec.json.encode(value)

    wrapped.__doc__ = method.__doc__
    return cherrypy.expose(wrapped)


def _build_error(exc: Exception) -> dict[str, str]:
    """Set the response status for an error, and return the response with its remedy."""
    if not isinstance(exc, HalldoorError):
        cherrypy.response.status = 400
        return {
            "error": f"The request is invalid: {exc}.",
            "remedy": "See docs/http.md for the fields.",
            "kind": "bad request",
        }
    cherrypy.response.status = next((s for k, s in _STATUS if isinstance(exc, k)), 500)
    return {"error": exc.message, "remedy": exc.remedy, "kind": type(exc).__name__}


class AdminApi:
    """Request handlers under ``/v1``; each method is one path.

    Parameters
    ----------
    administration : Administration
        Runs the operations.
    """

    def __init__(self, administration: Administration) -> None:
        self._administration = administration

    @_expose_as_json
    def configuration(self) -> dict[str, Any]:
        """Return the accepted configuration."""
        self._authenticate()
        return self._administration.read()

    @_expose_as_json
    def plan(self) -> dict[str, Any]:
        """Return the differences that applying a configuration would make."""
        self._authenticate()
        body = _read_body(ApplyBody)
        return self._administration.plan(Configuration.from_data(body.configuration))

    @_expose_as_json
    def apply(self) -> Any:
        """Apply a complete configuration."""
        team = self._authenticate()
        body = _read_body(ApplyBody)
        wanted = Configuration.from_data(body.configuration)
        change_id = body.change_id or uuid4().hex
        outcome = self._administration.apply(team, wanted, base=body.base, change_id=change_id)
        return outcome._asdict() | {"change_id": change_id}

    @_expose_as_json
    def shift(self) -> Any:
        """Start, step, pause or revert a shift."""
        team = self._authenticate()
        body = _read_body(ShiftBody)
        change_id = body.change_id or uuid4().hex
        outcome = self._administration.shift(
            team, body.name, body.verb, position=body.position, change_id=change_id
        )
        return outcome._asdict() | {"change_id": change_id}

    @_expose_as_json
    def drain(self) -> Any:
        """Drain a target, or undo its drain."""
        team = self._authenticate()
        body = _read_body(DrainBody)
        change_id = body.change_id or uuid4().hex
        outcome = self._administration.drain(
            team, body.target, is_leaving=body.leaving, change_id=change_id
        )
        return outcome._asdict() | {"change_id": change_id}

    @_expose_as_json
    def audit(self, limit: str = "50") -> Any:
        """List accepted and refused changes, the newest first."""
        self._authenticate()
        count = parse_int(limit, lowest=0, highest=MAX_LISTED_CHANGES, origin="limit")
        return [msgspec.to_builtins(r) for r in self._administration.list_audit(limit=count)]

    @_expose_as_json
    def status(self) -> dict[str, Any]:
        """Return the states of all entries, and the progress of drains and shifts."""
        self._authenticate()
        return self._administration.get_status()

    @_expose_as_json
    def explain(self, **query: str) -> bytes:
        """Return the explanation of a routing decision, from the first entry that answers."""
        self._authenticate()
        status, body = self._administration.explain(cherrypy.request.query_string)
        cherrypy.response.status = status
        return body

    def _authenticate(self) -> Team:
        """Return the team of the bearer token in the request."""
        header = cherrypy.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        return self._administration.find_team(token if scheme == "Bearer" else "")


def _read_body(kind: type[Any]) -> Any:
    """Decode and validate the JSON body of the request."""
    if cherrypy.request.method != "POST":
        raise SettingsError("This path takes a JSON body.", remedy="Send it by POST.")
    # The server limits the body's length; CherryPy's own body parser handles only forms.
    body = cherrypy.request.rfile.read()
    return decode_json(body, kind, origin="the request", max_bytes=MAX_BODY_BYTES)


def serve(settings: AdminSettings) -> None:
    """Serve the administration API until SIGTERM."""
    store = ConfigurationStore(HttpPlatform(settings.platform))
    administration = Administration(store, bootstrap_sha256=settings.bootstrap_token_sha256)
    root_config = {"/": {"request.process_request_body": False, "tools.json_in.on": False}}
    cherrypy.tree.mount(AdminApi(administration), "/v1", root_config)
    cherrypy.config.update({"environment": "embedded", "log.screen": False})
    http = HttpServer(settings.http, cherrypy.tree, threads=8, body_limit=MAX_BODY_BYTES)
    cherrypy.engine.autoreload.unsubscribe()
    cherrypy.server.unsubscribe()
    # Without the address: a stop must not wait until no other process listens there.
    ServerAdapter(cherrypy.engine, http).subscribe()
    signals = StopSignals()
    cherrypy.engine.start()
    log.info("Started.", http=str(settings.http))
    signals.wait()
    cherrypy.engine.exit()
