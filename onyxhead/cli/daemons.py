"""Commands that run a long-lived process: a controller, an agent, or a controller on the platform."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path
from typing import Any, TypeVar

import click
import structlog

from onyxhead.cli.exits import FaultyInputError, RefusedError
from onyxhead.cli.options import PATH
from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.settings import load
from onyxhead.settings.model import AgentSettings, ControllerSettings, LogSettings

Settings = TypeVar("Settings", ControllerSettings, AgentSettings)


@click.command()
@click.argument("settings_file", metavar="SETTINGS", type=PATH)
def serve(settings_file: Path) -> None:
    """Run a controller with the settings file SETTINGS."""
    from onyxhead.controller.server import ControllerServer
    from onyxhead.keys.errors import KeyFileError
    from onyxhead.store.errors import StoreUnavailableError

    settings = _read_settings(settings_file, ControllerSettings, "an agent's")
    set_up_logs(settings.log)

    async def run() -> None:
        await ControllerServer(settings).run()

    try:
        asyncio.run(run())
    except (StoreUnavailableError, KeyFileError) as error:
        raise RefusedError(error) from error
    except OSError as error:
        raise RefusedError(f"{settings_file}: {error.strerror or error}") from error


@click.command()
@click.argument("settings_file", metavar="SETTINGS", type=PATH)
def agent(settings_file: Path) -> None:
    """Run the agent of a proxy, on the proxy's host, with the settings file SETTINGS."""
    from onyxhead.agent.server import AgentServer
    from onyxhead.keys.errors import KeyFileError

    settings = _read_settings(settings_file, AgentSettings, "a controller's")
    set_up_logs(settings.log)

    async def run() -> None:
        await AgentServer(settings).run()

    try:
        asyncio.run(run())
    except KeyFileError as error:
        raise RefusedError(f"{settings_file}: {error}") from error
    except OSError as error:
        raise RefusedError(f"{settings_file}: {error.strerror or error}") from error


@click.command()
def node() -> None:
    """Run a controller on the platform, configured by the BALANCER_ environment variables (docs/node.md)."""
    import os

    from onyxhead.node.serve import main as run_node

    sys.exit(run_node(dict(os.environ), lambda text: click.echo(text, err=True)))


def _read_settings(path: Path, kind: type[Settings], other_kind: str) -> Settings:
    """Read a settings file of the given kind. Raise FaultyInputError for a faulty file or settings of another kind."""
    try:
        settings = load.read_settings(path)
    except InvalidConfigurationError as error:
        raise FaultyInputError(*error.diagnostics) from error
    if not isinstance(settings, kind):
        raise FaultyInputError(f"{path}:1:1: these are {other_kind} settings")
    return settings


def set_up_logs(settings: LogSettings) -> None:
    """Log to standard error, at the minimum level and in the format that the settings name."""
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    as_json = settings.format == "json"
    renderer: Any = structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
