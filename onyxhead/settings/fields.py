"""Reads the fields that the settings of controllers and agents have in common."""

from __future__ import annotations

from pathlib import Path

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.terms import Diagnostic, InvalidConfigurationError
from onyxhead.settings.model import Address, LogSettings, TlsSettings
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError
from onyxhead.time_units import TICKS_PER_SECOND


class RecordReader:
    """Reads a checked record, whose file paths are relative to `directory`, and collects diagnostics with positions."""

    def __init__(self, record: PlainRecord, directory: Path) -> None:
        self.record, self.directory = record, directory
        self.diagnostics: list[Diagnostic] = []

    def add_diagnostic(self, text: str, *path: str) -> None:
        """Add a diagnostic at the position of the value at `path` below the record."""
        self.diagnostics.append(Diagnostic(self.record.position_of(*path), text))

    def raise_diagnostics(self) -> None:
        """Raise InvalidConfigurationError if diagnostics were added."""
        if self.diagnostics:
            raise InvalidConfigurationError(self.diagnostics)

    def address(self, text: str, *path: str, any_port: bool = False) -> Address:
        """Return host and port of "host:port"; add a diagnostic at `path` if they are invalid.

        Port 0, which lets the system choose a port, is allowed with `any_port` only.
        """
        if any_port and text.endswith(":0"):
            return parse_address(text[:-1] + "1")[0], 0
        try:
            return parse_address(text)
        except MalformedViewError as error:
            self.add_diagnostic(str(error), *path)
            return "", 0

    def optional_address(self, record: PlainRecord, key: str, *path: str, any_port: bool = False) -> Address | None:
        """Return the address under `key` in a record at `path`, None if the key is absent."""
        return self.address(record[key], *path, key, any_port=any_port) if key in record else None

    def optional_path(self, record: PlainRecord, key: str) -> Path | None:
        """Return the file path under `key`, None if the key is absent."""
        return self.directory / record[key] if key in record else None

    def log(self) -> LogSettings:
        """Return the log settings."""
        return LogSettings(self.record["log"]["level"], self.record["log"]["form"])

    def tls(self) -> TlsSettings | None:
        """Return the TLS key files, None if TLS is not configured."""
        tls = self.record.get("tls")
        if tls is None:
            return None
        return TlsSettings(
            certificate=self.directory / tls["certificate"],
            key=self.directory / tls["key"],
            authorities=self.directory / tls["authorities"],
            revoked=self.optional_path(tls, "revoked"),
            interval=ticks_to_seconds(tls["every"]),
        )


def ticks_to_seconds(ticks: int) -> float:
    """Convert a duration from the ticks of the configuration language to seconds."""
    return ticks / TICKS_PER_SECOND
