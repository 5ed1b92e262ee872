"""HTTP requests from commands to running controllers and agents."""

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
    """Send a GET request, or a POST request if `message` is given, and return the JSON in the response.

    Raise RefusedError for a status other than 200, FaultyInputError for a malformed address or faulty credentials, and
    NoAnswerError if there is no valid response in time.
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
        raise NoAnswerError(f"{address}: no answer: {error or 'timed out'}") from error


def client_tls(identity: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context for the key files of `identity`, a path FOLDER/NAME, or None without an identity.

    Raise FaultyInputError if the key files cannot be used.
    """
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
    """Return the addresses of controllers and of agents by name.

    `fleet_file` names both; `addresses` adds controllers, each named by its address. Raise FaultyInputError for a
    faulty file, for a malformed address, or if there is no controller.
    """
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
        raise FaultyInputError("no controller to query: --at or --fleet must name one")
    return controllers, agents
