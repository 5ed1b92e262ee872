"""Where every edit ends up, from whichever front: checked, judged, written down, then put into effect. No I/O itself.

The order is the point: `write` must have the commit on disk before anything acts on it, and nothing is answered before
both are done. A kill in between leaves a commit that the next life finds and puts into effect."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.datastores import CONFIRM_TIMEOUT, Commit, Datastores
from onyxhead.controller.configuration.effects import Facts, Plan, judge
from onyxhead.controller.configuration.tree import Edit, Problem, Tree

EVENTS_KEPT = 2_000


class Event(NamedTuple):
    """Something that happened, for those who listen and for replay. `at` in seconds of the wall's clock."""

    at: float
    name: str
    values: dict[str, Any]


class Hands(NamedTuple):
    """What the host does for the desk. `write` and `save` return once it is on disk, or raise OSError."""

    facts: Callable[[], Facts]
    write: Callable[[Commit], None]
    save: Callable[[Tree], None]
    act: Callable[[Tree, Plan], None]
    state: Callable[[], Tree]
    wall: Callable[[], float]
    audit: Callable[[str, int, str, str], None]


class Desk:
    def __init__(self, stores: Datastores, access: Access, hands: Hands) -> None:
        self.stores, self.access, self.hands = stores, access, hands
        self.events: deque[Event] = deque(maxlen=EVENTS_KEPT)
        self.listeners: dict[int, Callable[[Event], None]] = {}
        self.killers: dict[int, Callable[[], None]] = {}
        self.next_session = 1

    # Sessions

    def begin(self, kill: Callable[[], None]) -> int:
        number, self.next_session = self.next_session, self.next_session + 1
        self.killers[number] = kill
        self.stores.began(number)
        return number

    def end(self, session: int) -> None:
        self.killers.pop(session, None)
        self.listeners.pop(session, None)
        if (back := self.stores.ended(session)) is not None:
            self._settle(session, back)

    def kill(self, user: str, session: int, own: int) -> None:
        if session == own:
            raise Problem("invalid-value", "a session ends itself by close-session", kind="protocol")
        if session not in self.killers:
            raise Problem("invalid-value", f"there is no session {session}", kind="protocol")
        self.hands.audit(user, own, f"kill-session {session}", "done")
        self.killers[session]()
        self.end(session)

    # Changes

    def edit(self, user: str, session: int, name: str, edit: Edit, default: str, test: str) -> None:
        before = self.stores.get(name)
        after = self.stores.edited(session, name, edit, default, test != "set")
        self.replace(user, session, name, before, after, test)

    def replace(self, user: str, session: int, name: str, before: Tree, after: Tree, test: str = "set") -> None:
        """Puts a whole tree into candidate or startup, if the user may."""
        self.access.may_write(user, before, after, "/fleet")
        if test == "test-only":
            return
        if name == "startup":
            self.stores.check(after)
            self.hands.save(after)
        self.stores.put(session, name, after)
        self.hands.audit(user, session, f"edit {name}", "done")

    def commit(
        self,
        user: str,
        session: int,
        confirmed: bool = False,
        timeout: int = CONFIRM_TIMEOUT,
        persist: str = "",
        persist_id: str = "",
    ) -> Commit:
        """Raises Problem, with nothing changed."""
        now = self.hands.wall()
        made = self.stores.commit(session, user, now, confirmed, timeout, persist, persist_id)
        self.access.may_write(user, self.stores.running, made.tree, "/fleet")
        return self._settle(session, made)

    def cancel(self, user: str, session: int, persist_id: str) -> Commit:
        return self._settle(session, self.stores.cancel(session, user, persist_id))

    def tick(self) -> Commit | None:
        """Takes back what nobody confirmed in time."""
        back = self.stores.overdue(self.hands.wall())
        return self._settle(0, back) if back is not None else None

    def _settle(self, session: int, commit: Commit) -> Commit:
        before = self.stores.running
        try:
            plan = judge(before, commit.tree, self.hands.facts())
        except Problem as problem:
            # What goes back was in effect before: it is put back whatever it costs, the module keeps the rules.
            if commit.what != "roll back":
                self.hands.audit(commit.user, session, commit.what, f"refused: {problem.text}")
                raise
            plan = Plan((), (), (), True, 0.0)
        try:
            self.hands.write(commit)
        except OSError as error:
            self.hands.audit(commit.user, session, commit.what, f"not written: {error}")
            raise Problem("operation-failed", f"the commit could not be written: {error}") from None
        self.stores.done(session, commit)
        if commit.tree != before:
            self.hands.act(commit.tree, plan)
        self.hands.audit(commit.user, session, f"{commit.what} {commit.number}", "done")
        values = {"user": commit.user, "number": commit.number, "what": commit.what}
        self.tell("configuration-changed", values)
        return commit

    # Events

    def tell(self, name: str, values: dict[str, Any]) -> None:
        event = Event(self.hands.wall(), name, values)
        self.events.append(event)
        for listener in list(self.listeners.values()):
            listener(event)
