"""Reads settings files, determines their kind and checks them against `schema.rec`."""

from __future__ import annotations

from functools import cache
from importlib import resources
from pathlib import Path

from onyxhead.configuration_language.loader import evaluate_files, load_files
from onyxhead.configuration_language.terms import Literal, SourceFile
from onyxhead.routing.routing_file import ROUTING_DEFINITION
from onyxhead.routing.routing_file import schema_text as routing_schema
from onyxhead.settings.agent import agent_settings
from onyxhead.settings.controller import controller_settings
from onyxhead.settings.fields import RecordReader
from onyxhead.settings.model import Address, AgentSettings, ControllerSettings

DEFINITIONS = {"controller": "#Controller", "agent": "#Agent"}
"""The name of the schema's definition for each kind of daemon settings."""
OPERATORS_DEFINITION = "#Operators"
ROUTING_FIELDS = {"pools", "hosts", "choices", "splits"}
OPERATORS_FIELDS = {"controllers", "agents"}
AGENT_ONLY_FIELDS = {"files", "standing"}


@cache
def schema() -> str:
    """Return the text of the schema of all settings files but routing files."""
    return resources.files("onyxhead.settings").joinpath("schema.rec").read_text(encoding="utf-8")


def read_settings(path: Path) -> ControllerSettings | AgentSettings:
    """Return the controller or agent settings in a file. Raise InvalidConfigurationError."""
    files = load_files(path)
    kind = kind_of(files)
    reader = RecordReader(evaluate_files(files, schema(), DEFINITIONS[kind]), path.parent)
    return controller_settings(reader) if kind == "controller" else agent_settings(reader)


def read_operators(path: Path) -> tuple[dict[str, Address], dict[str, Address]]:
    """Return the addresses of controllers and of agents by name, as in the `#Operators` definition.

    Raise InvalidConfigurationError.
    """
    record = evaluate_files(load_files(path), schema(), OPERATORS_DEFINITION)
    reader = RecordReader(record, path.parent)
    controllers = {name: reader.address(text, "controllers", name) for name, text in record["controllers"].items()}
    agents = {name: reader.address(text, "agents", name) for name, text in record["agents"].items()}
    reader.raise_diagnostics()
    return controllers, agents


def definition_of(files: list[SourceFile]) -> tuple[str, str]:
    """Return the text of the schema and the name of the definition in it that files must satisfy."""
    names = {member.name for file in files for member in file.struct.members}
    if names & ROUTING_FIELDS:
        return routing_schema(), ROUTING_DEFINITION
    if names and names <= OPERATORS_FIELDS:
        return schema(), OPERATORS_DEFINITION
    return schema(), DEFINITIONS[kind_of(files)]


def kind_of(files: list[SourceFile]) -> str:
    """Return "controller" or "agent": the value of `kind` if set, else "agent" if any field is one of agents only."""
    members = {member.name: member.value for file in files for member in file.struct.members}
    kind = members.get("kind")
    if isinstance(kind, Literal) and kind.value in DEFINITIONS:
        return str(kind.value)
    return "agent" if AGENT_ONLY_FIELDS & members.keys() else "controller"
