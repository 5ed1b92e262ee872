"""Where every edit ends up, from whichever front: checked, judged, written down, then put into effect. No I/O itself.

The order is the point: `write` must have the commit on disk before anything acts on it, and nothing is answered before
both are done. A kill in between leaves a commit that the next life finds and puts into effect."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import CommitPlan, FleetFacts, plan_commit
from onyxhead.controller.configuration.datastores import CONFIRM_TIMEOUT, Commit, Datastores
from onyxhead.controller.configuration.tree import Edit, RpcError, Tree

EVENTS_KEPT = 2_000


class Notification(NamedTuple):
    """Something that happened, for those who listen and for replay. `at` in seconds of the wall's clock."""

    at: float
    name: str
    values: dict[str, Any]


class ConfigurationCallbacks(NamedTuple):
    """What the host does for the desk. `write` and `save` return once it is on disk, or raise OSError."""

    facts: Callable[[], FleetFacts]
    write_commit: Callable[[Commit], None]
    save_startup: Callable[[Tree], None]
    apply: Callable[[Tree, CommitPlan], None]
    state: Callable[[], Tree]
    wall_time: Callable[[], float]
    audit: Callable[[str, int, str, str], None]


class ConfigurationService:
    def __init__(self, stores: Datastores, access: Access, hands: ConfigurationCallbacks) -> None:
        self.datastores, self.access, self.callbacks = stores, access, hands
        self.events: deque[Notification] = deque(maxlen=EVENTS_KEPT)
        self.listeners: dict[int, Callable[[Notification], None]] = {}
        self.terminators: dict[int, Callable[[], None]] = {}
        self.next_session = 1

    # Sessions

    def open_session(self, kill: Callable[[], None]) -> int:
        number, self.next_session = self.next_session, self.next_session + 1
        self.terminators[number] = kill
        self.datastores.open_session(number)
        return number

    def close_session(self, session: int) -> None:
        self.terminators.pop(session, None)
        self.listeners.pop(session, None)
        if (back := self.datastores.close_session(session)) is not None:
            self._apply(session, back)

    def kill_session(self, user: str, session: int, own: int) -> None:
        if session == own:
            raise RpcError("invalid-value", "a session ends itself by close-session", kind="protocol")
        if session not in self.terminators:
            raise RpcError("invalid-value", f"there is no session {session}", kind="protocol")
        self.callbacks.audit(user, own, f"kill-session {session}", "done")
        self.terminators[session]()
        self.close_session(session)

    # Changes

    def edit(self, user: str, session: int, name: str, edit: Edit, default: str, test: str) -> None:
        before = self.datastores.get(name)
        after = self.datastores.edited(session, name, edit, default, test != "set")
        self.replace(user, session, name, before, after, test)

    def replace(self, user: str, session: int, name: str, before: Tree, after: Tree, test: str = "set") -> None:
        """Puts a whole tree into candidate or startup, if the user may."""
        self.access.may_write(user, before, after, "/fleet")
        if test == "test-only":
            return
        if name == "startup":
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
        """Raises RpcError, with nothing changed."""
        now = self.callbacks.wall_time()
        made = self.datastores.commit(session, user, now, confirmed, timeout, persist, persist_id)
        self.access.may_write(user, self.datastores.running, made.tree, "/fleet")
        return self._apply(session, made)

    def cancel(self, user: str, session: int, persist_id: str) -> Commit:
        return self._apply(session, self.datastores.cancel(session, user, persist_id))

    def expire_commit(self) -> Commit | None:
        """Takes back what nobody confirmed in time."""
        back = self.datastores.expired(self.callbacks.wall_time())
        return self._apply(0, back) if back is not None else None

    def _apply(self, session: int, commit: Commit) -> Commit:
        before = self.datastores.running
        try:
            plan = plan_commit(before, commit.tree, self.callbacks.facts())
        except RpcError as problem:
            # What goes back was in effect before: it is put back whatever it costs, the module keeps the rules.
            if commit.kind != "roll back":
                self.callbacks.audit(commit.user, session, commit.kind, f"refused: {problem.text}")
                raise
            plan = CommitPlan((), (), (), True, 0.0)
        try:
            self.callbacks.write_commit(commit)
        except OSError as error:
            self.callbacks.audit(commit.user, session, commit.kind, f"not written: {error}")
            raise RpcError("operation-failed", f"the commit could not be written: {error}") from None
        self.datastores.committed(session, commit)
        if commit.tree != before:
            self.callbacks.apply(commit.tree, plan)
        self.callbacks.audit(commit.user, session, f"{commit.kind} {commit.number}", "done")
        values = {"user": commit.user, "number": commit.number, "what": commit.kind}
        self.notify("configuration-changed", values)
        return commit

    # Events

    def notify(self, name: str, values: dict[str, Any]) -> None:
        event = Notification(self.callbacks.wall_time(), name, values)
        self.events.append(event)
        for listener in list(self.listeners.values()):
            listener(event)
