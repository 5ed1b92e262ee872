"""Applies table updates: checks each, replaces the proxy's files, signals the proxy to reload and acknowledges."""

from __future__ import annotations

import asyncio
import errno
import os
import signal

import structlog

from onyxhead.agent.proxy_files import ProxyFiles
from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.atomic_files import SwapError
from onyxhead.http.messages import Request, Response, problem_response
from onyxhead.settings.model import ReloadSettings

DISK_FULL = (errno.ENOSPC, errno.EDQUOT)

log = structlog.get_logger()


class TableUpdater:
    """Applies table updates one at a time, since each is based on the view that the one before leads to."""

    def __init__(self, replica: TableReplica, files: ProxyFiles, reload: ReloadSettings | None) -> None:
        self.replica, self.files, self.reload = replica, files, reload
        self.swaps = 0
        """Number of updates applied since the agent started."""
        self._updating = asyncio.Lock()

    async def restore_files(self) -> None:
        """Rewrite the proxy's files from the stored view, since a crash may have left older files. Raise OSError."""
        await asyncio.to_thread(self.files.install, self.replica.view, self.replica.token_guard.current)

    async def wait_until_idle(self) -> None:
        """Wait for the end of the update that is being applied, if any."""
        async with self._updating:
            pass

    async def apply(self, request: Request) -> Response:
        """Apply the update that a request carries, and return the acknowledgement or the rejection."""
        async with self._updating:
            update = self.replica.check_update(request)
            if not isinstance(update, AcceptedUpdate):
                log.warning("table update rejected", status=update.status, method=request.method)
                return update
            try:
                await asyncio.to_thread(self.files.install, update.view, self.replica.token_guard.current)
            except OSError as error:
                return self._failure_response(error)
            self.swaps += 1
            acknowledgement = self.replica.commit(update)
            log.info("table update applied", round=update.round_number, etag=update.view.etag, method=request.method)
            self._reload_proxy()
            return acknowledgement

    def _failure_response(self, error: OSError) -> Response:
        log.error("table update failed", error=str(error))
        if not isinstance(error, SwapError):
            # Some files may be replaced and others not, so the state file may be newer than the proxy's files.
            self.files.forget_installed()
        return problem_response(507 if error.errno in DISK_FULL else 500, f"files not replaced: {error}")

    def _reload_proxy(self) -> None:
        if self.reload is None:
            return
        try:
            os.kill(int(self.reload.pid_file.read_text()), getattr(signal, f"SIG{self.reload.signal}"))
        except (OSError, ValueError) as error:
            log.warning("proxy reload failed", error=str(error))
