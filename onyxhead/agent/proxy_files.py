"""Writes the files that a proxy reads, and before them the agent's state file."""

from __future__ import annotations

import json
from pathlib import Path

import structlog

from onyxhead.agent.errors import CorruptStateError
from onyxhead.agent.state_file import STATE_FILE_NAME, decode_state, encode_state
from onyxhead.atomic_files import remove_temporary_files, replace_files
from onyxhead.fronts.files import envoy, nginx
from onyxhead.settings.model import AgentSettings
from onyxhead.tables.view import View

ENVOY_ENDPOINTS = "eds.json"
ENVOY_ROUTES = "rds.json"
NGINX_UPSTREAMS = "upstreams.conf"

log = structlog.get_logger()


class ProxyFiles:
    """The state folder of one agent and the output folder with its proxy's files."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create missing folders and remove temporary files of interrupted replacements. Raise OSError."""
        self.settings = settings
        self.state_path = settings.state_directory / STATE_FILE_NAME
        self.installed: dict[Path, bytes] = {}
        """Contents of the proxy's files as this process last wrote them."""
        for folder in (settings.state_directory, settings.output_directory):
            folder.mkdir(parents=True, exist_ok=True)
            if removed := remove_temporary_files(folder):
                log.info("temporary files removed", files=removed)

    def load_state(self) -> tuple[View, int] | None:
        """Return the stored view and fencing token, or None if the state file is missing or corrupt."""
        try:
            return decode_state(self.state_path.read_bytes())
        except FileNotFoundError:
            return None
        except CorruptStateError as error:
            log.error("state file rejected", file=self.state_path.name, error=str(error))
            return None

    def render(self, view: View) -> list[tuple[Path, bytes]]:
        """Return the paths and contents of the proxy's files for a view."""
        folder, routes = self.settings.output_directory, self.settings.routes
        files = {
            ENVOY_ENDPOINTS: envoy.endpoint_assignments(view, routes),
            ENVOY_ROUTES: envoy.route_configuration(view, routes, self.settings.attempt_timeout_factor),
            NGINX_UPSTREAMS: nginx.upstream_blocks(view, routes),
        }
        files |= {f"location-{route.group}.conf": nginx.location_directives(view, route) for route in routes}
        return [(folder / name, body) for name, body in files.items()]

    def save_state(self, view: View, token: int) -> None:
        """Replace the state file only. Raise OSError."""
        replace_files([(self.state_path, encode_state(view, token))])

    def install(self, view: View, token: int = 0) -> None:
        """Replace the state file, then each of the proxy's files whose content changes. Raise SwapError, OSError."""
        changed = [
            (path, body) for path, body in self.render(view) if _payload(self.installed.get(path)) != _payload(body)
        ]
        replace_files([(self.state_path, encode_state(view, token)), *changed])
        self.installed.update(changed)

    def forget_installed(self) -> None:
        """Make the next `install` replace all files, because a failed one may have replaced some of them."""
        self.installed.clear()

    def installed_etag(self) -> str | None:
        """Return the entity tag that the proxy's endpoint file holds, or None if the file can't be read."""
        try:
            document = json.loads((self.settings.output_directory / ENVOY_ENDPOINTS).read_bytes())
            return f'"{document["version_info"]}"'
        except (OSError, ValueError, KeyError, TypeError):
            return None


def _payload(body: bytes | None) -> bytes | None:
    """Return a file's content without the view's entity tag.

    A file that differs from the installed one in the tag alone is not replaced.
    """
    if body is None:
        return None
    if body.startswith(b"{"):
        return body[body.index(b'"type_url"') :]
    return body.partition(b"\n")[2] if body.startswith(b"# view") else body
