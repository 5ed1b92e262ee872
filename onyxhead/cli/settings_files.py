"""Commands that check, format and compare settings files and write their JSON Schema."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from onyxhead.cli.exits import ExitCode, FaultyInputError
from onyxhead.cli.files import replace_file
from onyxhead.cli.options import PATH, json_option
from onyxhead.cli.output import print_json
from onyxhead.configuration_language.terms import Diagnostic, InvalidConfigurationError
from onyxhead.settings import load


@click.command()
@click.argument("files", nargs=-1, required=True, type=PATH)
def check(files: tuple[Path, ...]) -> None:
    """Check settings files and report every fault with its position."""
    diagnostics: list[Diagnostic] = []
    for path in files:
        try:
            load.read_settings(path)
        except InvalidConfigurationError as error:
            diagnostics += error.diagnostics
    if diagnostics:
        raise FaultyInputError(*diagnostics)
    click.echo(f"{len(files)} sound")


@click.command()
@click.argument("files", nargs=-1, required=True, type=PATH)
@click.option(
    "--check", "only_check", is_flag=True, help="Change no file; exit with 1 if a file is not in the standard layout."
)
def fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Format settings files in the standard layout.

    Comments and meaning are preserved. A file with faults is not changed.
    """
    from onyxhead.configuration_language.formatter import format_text
    from onyxhead.configuration_language.parser import parse

    diagnostics: list[object] = []
    differing: list[Path] = []
    for path in files:
        try:
            text = path.read_bytes().decode()
            parse(text, str(path))
        except (OSError, UnicodeDecodeError) as error:
            diagnostics.append(f"{path}:1:1: cannot read it: {error}")
            continue
        except InvalidConfigurationError as error:
            diagnostics += error.diagnostics
            continue
        formatted = format_text(text)
        if formatted != text:
            differing.append(path)
            if not only_check:
                replace_file(path, formatted)
    for path in differing:
        click.echo(f"{path}: {'not in the standard layout' if only_check else 'laid out'}")
    if diagnostics:
        raise FaultyInputError(*diagnostics)
    sys.exit(ExitCode.REFUSED if only_check and differing else 0)


@click.command()
@click.argument("one", type=PATH)
@click.argument("two", type=PATH)
@json_option
def diff(one: Path, two: Path, as_json: bool) -> None:
    """Show how settings ONE and TWO differ in meaning, and which of the five rules each difference affects."""
    from onyxhead.configuration_language.differences import field_kinds, find_differences
    from onyxhead.configuration_language.loader import evaluate_files, load_files

    records, definitions = [], []
    diagnostics: list[Diagnostic] = []
    for path in (one, two):
        try:
            files = load_files(path)
            definition = load.definition_of(files)
            definitions.append(definition)
            records.append(evaluate_files(files, *definition))
        except InvalidConfigurationError as error:
            diagnostics += error.diagnostics
    if diagnostics:
        raise FaultyInputError(*diagnostics)
    (schema_text, kind), (_, other_kind) = definitions
    if kind != other_kind:
        raise FaultyInputError(f"{one} holds a {kind}, {two} a {other_kind}")
    differences = find_differences(records[0], records[1], field_kinds(schema_text))
    if as_json:
        print_json([difference.to_json() for difference in differences])
    else:
        for difference in differences:
            rules = f"  (rule {', '.join(difference.rules.split())})" if difference.rules else ""
            click.echo(difference.text + rules)
    sys.exit(ExitCode.REFUSED if differences else 0)


@click.command("schema")
@click.argument("kind", type=click.Choice(["controller", "agent", "operators", "routing"]))
def json_schema(kind: str) -> None:
    """Write the JSON Schema of settings of the given kind, for use in editors."""
    from onyxhead.configuration_language.json_schema import json_schema as write_json_schema
    from onyxhead.routing.routing_file import schema_text as routing_schema

    text = routing_schema() if kind == "routing" else load.schema()
    print_json(write_json_schema(text, f"#{kind.capitalize()}"))
