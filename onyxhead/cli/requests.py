"""Requests of commands to running controllers and agents."""

from __future__ import annotations

import asyncio
import json
import ssl
from pathlib import Path
from typing import Any

from onyxhead.cli.exits import FaultyInputError, NoAnswerError, RefusedError
from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request
from onyxhead.settings import load
from onyxhead.settings.model import Address, TlsSettings
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError

REQUEST_TIMEOUT_S = 3.0


def fetch_json(address: str, target: str, identity: Path | None = None, message: object = None) -> Any:  # noqa: ANN401  # any JSON value
    """Return the JSON answer to a GET request, or to a POST request with `message`.

    Raises RefusedError, FaultyInputError or NoAnswerError if there is none.
    """
    tls = client_tls(identity)
    request = Request("GET", target)
    if message is not None:
        request = Request("POST", target, {}, json.dumps(message).encode())
    try:
        response = asyncio.run(fetch_once(parse_address(address), request, REQUEST_TIMEOUT_S, tls))
        if response.status != 200:
            text = response.body.decode(errors="replace").strip()
            raise RefusedError(f"{address}: {response.status} {text}")
        return response.json()
    except MalformedViewError as error:
        raise FaultyInputError(error) from error
    except (OSError, HttpError, TimeoutError, ValueError) as error:
        raise NoAnswerError(f"{address}: no answer: {error or 'in time'}") from error


def client_tls(identity: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context for FOLDER/NAME, None without one. Raises FaultyInputError."""
    if identity is None:
        return None
    from onyxhead.keys.credentials import TlsCredentials
    from onyxhead.keys.errors import KeyFileError

    folder, name = identity.parent, identity.name
    files = TlsSettings(folder / f"{name}.crt", folder / f"{name}.key", folder / "authorities.pem", None, 1.0)
    try:
        return TlsCredentials(files).client_context
    except KeyFileError as error:
        raise FaultyInputError(error) from error


def fleet_members(fleet_file: Path | None, addresses: tuple[str, ...]) -> tuple[dict[str, Address], dict[str, Address]]:
    """Return controllers and agents by name, from a file and from the command line. Raises FaultyInputError."""
    controllers: dict[str, Address] = {}
    agents: dict[str, Address] = {}
    try:
        if fleet_file is not None:
            controllers, agents = load.read_operators(fleet_file)
        controllers |= {address: parse_address(address) for address in addresses}
    except InvalidConfigurationError as error:
        raise FaultyInputError(*error.diagnostics) from error
    except MalformedViewError as error:
        raise FaultyInputError(error) from error
    if not controllers:
        raise FaultyInputError("nobody to ask: --at or --fleet is wanted")
    return controllers, agents
