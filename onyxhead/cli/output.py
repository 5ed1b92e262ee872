"""Output of commands: JSON documents and text tables."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

import click
from rich.console import Console
from rich.table import Table

Row = Mapping[str, object]


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2))


def print_table(title: str, rows: Sequence[Row]) -> None:
    """Print a title and a table of rows, which all have the columns of the first row."""
    if not rows:
        click.echo(f"no {title}")
        return
    table = Table(title=title, title_justify="left", box=None)
    for name in rows[0]:
        table.add_column(name)
    for row in rows:
        table.add_row(*(format_cell(value) for value in row.values()))
    Console().print(table)


def print_fields(title: str, fields: Row) -> None:
    """Print a table with one row for each named value."""
    print_table(title, [{"what": name, "value": value} for name, value in fields.items()])


def format_cell(value: object) -> str:
    """Format a JSON value as the text of one table cell."""
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in value.items())
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)
