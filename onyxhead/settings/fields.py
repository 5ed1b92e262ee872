"""Fields that several kinds of settings share."""

from __future__ import annotations

from pathlib import Path

from onyxhead.configuration_language.evaluator import PlainRecord
from onyxhead.configuration_language.terms import Diagnostic, InvalidConfigurationError
from onyxhead.settings.model import Address, LogSettings, TlsSettings
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError
from onyxhead.time_units import TICKS_PER_SECOND


class RecordReader:
    """A checked record with the directory that its paths are relative to; collects diagnostics with their positions."""

    def __init__(self, record: PlainRecord, directory: Path) -> None:
        self.record, self.directory = record, directory
        self.diagnostics: list[Diagnostic] = []

    def add_diagnostic(self, text: str, *path: str) -> None:
        """Add a diagnostic at the position of a value below the record."""
        self.diagnostics.append(Diagnostic(self.record.position_of(*path), text))

    def raise_diagnostics(self) -> None:
        """Raise InvalidConfigurationError if there are diagnostics so far."""
        if self.diagnostics:
            raise InvalidConfigurationError(self.diagnostics)

    def address(self, text: str, *path: str, any_port: bool = False) -> Address:
        """Return host and port of "host:port", or add a diagnostic at `path`; only `any_port` allows port 0."""
        if any_port and text.endswith(":0"):
            return parse_address(text[:-1] + "1")[0], 0
        try:
            return parse_address(text)
        except MalformedViewError as error:
            self.add_diagnostic(str(error), *path)
            return "", 0

    def optional_address(self, record: PlainRecord, key: str, *path: str, any_port: bool = False) -> Address | None:
        """Return the address under `key` in a record at `path`, None where there is none."""
        return self.address(record[key], *path, key, any_port=any_port) if key in record else None

    def optional_path(self, record: PlainRecord, key: str) -> Path | None:
        """Return the file path under `key`, None where there is none."""
        return self.directory / record[key] if key in record else None

    def log(self) -> LogSettings:
        """Return the log settings."""
        return LogSettings(self.record["log"]["level"], self.record["log"]["form"])

    def tls(self) -> TlsSettings | None:
        """Return the key files, None where TLS is not set up."""
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
    """Convert a duration of the configuration language."""
    return ticks / TICKS_PER_SECOND
