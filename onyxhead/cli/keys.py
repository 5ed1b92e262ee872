"""Commands that manage the fleet's private certificate authority."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click

from onyxhead.cli.exits import RefusedError
from onyxhead.cli.options import PATH, json_option
from onyxhead.cli.output import print_json, print_table

if TYPE_CHECKING:
    from onyxhead.keys.authority import CertificateAuthority


@click.group()
def keys() -> None:
    """Manage a private certificate authority for the fleet."""


@contextmanager
def _open_authority(folder: Path) -> Iterator[CertificateAuthority]:
    """Provide the authority in a folder. Raise RefusedError if an operation on it fails."""
    from onyxhead.keys.authority import CertificateAuthority
    from onyxhead.keys.errors import IssuanceError

    try:
        yield CertificateAuthority(folder)
    except (IssuanceError, OSError) as error:
        raise RefusedError(error) from error


@keys.command("init")
@click.argument("folder", type=PATH)
@click.option("--name", default="onyxhead", show_default=True)
@click.option("--days", default=3650, show_default=True)
def keys_init(folder: Path, name: str, days: int) -> None:
    """Create an authority in FOLDER, or replace it; the previous one stays trusted until `keys forget`."""
    with _open_authority(folder) as authority:
        authority.create(name, days)
    click.echo(f"{folder}: authorities.pem, revoked.pem")


@keys.command("issue")
@click.argument("folder", type=PATH)
@click.argument("name")
@click.option("--role", type=click.Choice(["controller", "agent", "operator"]), required=True)
@click.option(
    "--host", "hosts", multiple=True, help="A host name or IP address for the certificate; any number of them."
)
@click.option("--days", default=90, show_default=True)
def keys_issue(folder: Path, name: str, role: str, hosts: tuple[str, ...], days: int) -> None:
    """Issue a key and a certificate to NAME."""
    with _open_authority(folder) as authority:
        certificate = authority.issue(name, role, hosts, days)
    click.echo(f"{name}: valid until {certificate.not_valid_after_utc.isoformat()}")


@keys.command("renew")
@click.argument("folder", type=PATH)
@click.argument("name")
@click.option("--days", default=90, show_default=True)
def keys_renew(folder: Path, name: str, days: int) -> None:
    """Issue a new key and certificate to NAME, with the role and hosts of its last certificate."""
    with _open_authority(folder) as authority:
        certificate = authority.renew(name, days)
    click.echo(f"{name}: valid until {certificate.not_valid_after_utc.isoformat()}")


@keys.command("revoke")
@click.argument("folder", type=PATH)
@click.argument("name")
def keys_revoke(folder: Path, name: str) -> None:
    """Revoke all certificates that were issued to NAME."""
    with _open_authority(folder) as authority:
        count = authority.revoke(name)
    click.echo(f"{name}: {count} revoked")


@keys.command("forget")
@click.argument("folder", type=PATH)
def keys_forget(folder: Path) -> None:
    """Stop trusting all authorities but the newest."""
    with _open_authority(folder) as authority:
        authority.forget()


@keys.command("show")
@click.argument("folder", type=PATH)
@json_option
def keys_show(folder: Path, as_json: bool) -> None:
    """List the issued certificates."""
    with _open_authority(folder) as authority:
        certificates = authority.issued()
    if as_json:
        print_json(certificates)
    else:
        print_table("certificates", certificates)
