"""The configuration service: checks, plans and stores every commit before it takes effect. No I/O of its own.

A commit is first written to disk, then put into effect, and only then answered. If the process is killed after the
write, the next incarnation reads the commit from disk and puts it into effect.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import CommitPlan, FleetFacts, plan_commit
from onyxhead.controller.configuration.datastores import CONFIRM_TIMEOUT, ROLLBACK, STARTUP, Commit, Datastores
from onyxhead.controller.configuration.tree import Edit, RpcError, Tree

MAX_STORED_NOTIFICATIONS = 2_000
ROOT_PATH = "/fleet"


class Notification(NamedTuple):
    """An event for subscribers, kept for replay. `at` is in seconds of the wall clock."""

    at: float
    name: str
    values: dict[str, Any]


class ConfigurationCallbacks(NamedTuple):
    """Functions of the server that the service calls.

    `write_commit` and `save_startup` return once the data is on disk, and raise OSError if it cannot be written.
    `apply` puts a stored commit into effect. `state` returns the state data that clients can read. `audit` takes the
    user, the session, the action and its result.
    """

    facts: Callable[[], FleetFacts]
    write_commit: Callable[[Commit], None]
    save_startup: Callable[[Tree], None]
    apply: Callable[[Tree, CommitPlan], None]
    state: Callable[[], Tree]
    wall_time: Callable[[], float]
    audit: Callable[[str, int, str, str], None]


class ConfigurationService:
    """Handles the sessions, edits and commits of all clients.

    `listeners` receive notifications and `terminators` close connections, both by session number.
    """

    def __init__(self, datastores: Datastores, access: Access, callbacks: ConfigurationCallbacks) -> None:
        self.datastores, self.access, self.callbacks = datastores, access, callbacks
        self.notifications: deque[Notification] = deque(maxlen=MAX_STORED_NOTIFICATIONS)
        self.listeners: dict[int, Callable[[Notification], None]] = {}
        self.terminators: dict[int, Callable[[], None]] = {}
        self.next_session = 1

    # Sessions

    def open_session(self, terminate: Callable[[], None]) -> int:
        """Open a session and return its number. `terminate` closes its connection."""
        number, self.next_session = self.next_session, self.next_session + 1
        self.terminators[number] = terminate
        self.datastores.open_session(number)
        return number

    def close_session(self, session: int) -> None:
        """End a session, and roll back an unconfirmed commit that only this session could have confirmed."""
        self.terminators.pop(session, None)
        self.listeners.pop(session, None)
        if (rollback := self.datastores.close_session(session)) is not None:
            self._apply(session, rollback)

    def kill_session(self, user: str, session: int, own_session: int) -> None:
        """End another session. Raise RpcError if the session is the caller's own or does not exist."""
        if session == own_session:
            raise RpcError("invalid-value", "a session cannot kill itself; use close-session", kind="protocol")
        if session not in self.terminators:
            raise RpcError("invalid-value", f"there is no session {session}", kind="protocol")
        self.callbacks.audit(user, own_session, f"kill-session {session}", "done")
        self.terminators[session]()
        self.close_session(session)

    # Changes

    def edit(self, user: str, session: int, name: str, edit: Edit, default: str, test: str) -> None:
        """Edit a datastore. Raise RpcError if the edit is rejected.

        `default` is the default operation and `test` the test option (RFC 6241, section 7.2).
        """
        before = self.datastores.get(name)
        after = self.datastores.preview_edit(session, name, edit, default, test != "set")
        self.replace(user, session, name, before, after, test)

    def replace(self, user: str, session: int, name: str, before: Tree, after: Tree, test: str = "set") -> None:
        """Replace the tree of candidate or startup. Raise RpcError if the user may not, or the tree is invalid."""
        self.access.authorize_write(user, before, after, ROOT_PATH)
        if test == "test-only":
            return
        if name == STARTUP:
            self.datastores.check(after)
            self.callbacks.save_startup(after)
        self.datastores.put(session, name, after)
        self.callbacks.audit(user, session, f"edit {name}", "done")

    def commit(
        self,
        user: str,
        session: int,
        confirmed: bool = False,
        timeout: int = CONFIRM_TIMEOUT,
        persist: str = "",
        persist_id: str = "",
    ) -> Commit:
        """Commit the candidate (RFC 6241, section 8.4). If it is rejected, raise RpcError and change nothing."""
        now = self.callbacks.wall_time()
        commit = self.datastores.prepare_commit(session, user, now, confirmed, timeout, persist, persist_id)
        self.access.authorize_write(user, self.datastores.running, commit.tree, ROOT_PATH)
        return self._apply(session, commit)

    def cancel(self, user: str, session: int, persist_id: str) -> Commit:
        """Roll back an unconfirmed commit. Raise RpcError if the session may not cancel it."""
        return self._apply(session, self.datastores.prepare_cancel(session, user, persist_id))

    def expire_commit(self) -> Commit | None:
        """Roll back an unconfirmed commit whose deadline has passed."""
        rollback = self.datastores.expire_commit(self.callbacks.wall_time())
        return self._apply(0, rollback) if rollback is not None else None

    def _apply(self, session: int, commit: Commit) -> Commit:
        before = self.datastores.running
        try:
            plan = plan_commit(before, commit.tree, self.callbacks.facts())
        except RpcError as error:
            # A rollback restores a configuration that was in effect before, so it is applied even if it breaks a rule.
            if commit.kind != ROLLBACK:
                self.callbacks.audit(commit.user, session, commit.kind, f"refused: {error.text}")
                raise
            plan = CommitPlan((), (), (), True, 0.0)
        try:
            self.callbacks.write_commit(commit)
        except OSError as error:
            self.callbacks.audit(commit.user, session, commit.kind, f"not written: {error}")
            raise RpcError("operation-failed", f"the commit could not be written: {error}") from None
        self.datastores.on_commit_stored(session, commit)
        if commit.tree != before:
            self.callbacks.apply(commit.tree, plan)
        self.callbacks.audit(commit.user, session, f"{commit.kind} {commit.number}", "done")
        values = {"user": commit.user, "number": commit.number, "what": commit.kind}
        self.notify("configuration-changed", values)
        return commit

    # Notifications

    def notify(self, name: str, values: dict[str, Any]) -> None:
        """Send a notification to all listeners, and keep it for replay."""
        notification = Notification(self.callbacks.wall_time(), name, values)
        self.notifications.append(notification)
        for listener in list(self.listeners.values()):
            listener(notification)
