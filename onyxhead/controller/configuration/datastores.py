"""Running, candidate and startup: who may change them, and what a commit is (RFC 6241, sections 7 and 8).

No I/O. A commit is made here and takes effect once it is on disk: `commit` returns what is to be stored, `committed`
says that it was. Times are in seconds of the wall clock, since a timeout outlives the process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhead.controller.configuration.tree import Edit, Node, RpcError, Tree, apply_edit

CONFIRM_TIMEOUT = 600
RUNNING, CANDIDATE, STARTUP = "running", "candidate", "startup"
NAMES = (RUNNING, CANDIDATE, STARTUP)
COMMIT, CONFIRMED_COMMIT, CONFIRM, ROLLBACK = "commit", "confirmed commit", "confirm", "roll back"
"""Kinds of commits, as they are stored and shown in the audit log."""


class Commit(NamedTuple):
    """One state of the running datastore.

    It is taken back at `confirm_by` if nobody confirms it, 0.0 for never; `rollback_to` is the number of the commit
    that holds then. With a `persist_id` another session may confirm it.
    """

    number: int
    tree: Tree
    user: str
    kind: str
    confirm_by: float = 0.0
    rollback_to: int = 0
    persist_id: str = ""


class Datastores:
    """`check` raises RpcError for a tree that the schema rejects.

    `candidate_session` is the session that changed the candidate last, `commit_session` the one of the last commit.
    """

    def __init__(
        self, node: Node, commits: list[Commit], check: Callable[[Tree], None], startup: Tree | None = None
    ) -> None:
        self.node, self.check = node, check
        self.commits = {commit.number: commit for commit in commits}
        self.last = commits[-1]
        self.running, self.candidate = self.last.tree, self.last.tree
        self.startup = startup if startup is not None else commits[0].tree
        self.locks: dict[str, int] = {}
        self.candidate_session = 0
        self.commit_session = 0
        self.sessions: set[int] = set()

    def get(self, name: str) -> Tree:
        """The content of a datastore. Raises RpcError for an unknown name."""
        if name not in NAMES:
            raise RpcError("invalid-value", f"there is no datastore {name!r}")
        return {RUNNING: self.running, CANDIDATE: self.candidate, STARTUP: self.startup}[name]

    # Locks

    def lock(self, session: int, name: str) -> None:
        """Lock a datastore. Raises RpcError lock-denied, with the session that holds it or stands in the way."""
        self.get(name)
        if name in self.locks:
            raise RpcError("lock-denied", f"{name} is locked", kind="protocol", session_id=str(self.locks[name]))
        if name == CANDIDATE and self.candidate != self.running:
            holder = str(self.candidate_session)
            raise RpcError("lock-denied", "candidate has changes of its own", kind="protocol", session_id=holder)
        if name == RUNNING and self.last.confirm_by:
            raise RpcError("lock-denied", "a commit waits to be confirmed", kind="protocol", session_id="0")
        self.locks[name] = session

    def unlock(self, session: int, name: str) -> None:
        """Unlock a datastore; changes of the candidate are discarded with its lock. Raises RpcError."""
        self.get(name)
        if self.locks.get(name) != session:
            raise RpcError("operation-failed", f"{name} is not locked by this session", kind="protocol")
        del self.locks[name]
        if name == CANDIDATE:
            self.candidate = self.running

    def check_unlocked(self, session: int, name: str) -> None:
        """Raises RpcError in-use where another session holds the lock."""
        holder = self.locks.get(name, session)
        if holder != session:
            raise RpcError("in-use", f"{name} is locked by session {holder}", kind="protocol")

    # Changes

    def preview_edit(self, session: int, name: str, edit: Edit, default: str, test: bool = True) -> Tree:
        """What the datastore would hold after the edit; nothing is set. Raises RpcError."""
        if name == RUNNING:
            raise RpcError("operation-not-supported", "running is changed by commit", kind="protocol")
        before = self.get(name)
        self.check_unlocked(session, name)
        after = apply_edit(self.node, before, edit, default)
        if test:
            self.check(after)
        return after

    def put(self, session: int, name: str, tree: Tree) -> None:
        """Replace the content of a datastore. Raises RpcError."""
        self.get(name)
        self.check_unlocked(session, name)
        if name == RUNNING:
            raise RpcError("operation-not-supported", "running is changed by commit", kind="protocol")
        if name == CANDIDATE:
            self.candidate, self.candidate_session = tree, session
        else:
            self.check(tree)
            self.startup = tree

    def discard(self, session: int) -> None:
        """Make the candidate equal to running. Raises RpcError."""
        self.check_unlocked(session, CANDIDATE)
        self.candidate = self.running

    # Commits

    def prepare_commit(
        self,
        session: int,
        user: str,
        now: float,
        confirmed: bool = False,
        timeout: int = CONFIRM_TIMEOUT,
        persist: str = "",
        persist_id: str = "",
    ) -> Commit:
        """The commit to store; nothing has changed until `committed`. Raises RpcError."""
        for name in (RUNNING, CANDIDATE):
            self.check_unlocked(session, name)
        waiting = self.last
        if waiting.confirm_by:
            if waiting.persist_id != persist_id or (not waiting.persist_id and session != self.commit_session):
                raise RpcError("invalid-value", "another commit waits to be confirmed, under another persist-id")
        elif persist_id:
            raise RpcError("invalid-value", "no commit waits to be confirmed")
        self.check(self.candidate)
        number, unconfirmed = waiting.number + 1, bool(waiting.confirm_by)
        if not confirmed:
            return Commit(number, self.candidate, user, CONFIRM if unconfirmed else COMMIT)
        # A chain of unconfirmed commits is rolled back to where it began, not to its last link.
        rollback_to = waiting.rollback_to if unconfirmed else waiting.number
        return Commit(number, self.candidate, user, CONFIRMED_COMMIT, now + timeout, rollback_to, persist)

    def on_commit_stored(self, session: int, commit: Commit) -> None:
        """The commit is on disk and holds from now on."""
        self.commits[commit.number] = self.last = commit
        self.running, self.commit_session = commit.tree, session
        if commit.kind == ROLLBACK and self.candidate != commit.tree and not self.locks.get(CANDIDATE):
            self.candidate = commit.tree

    def prepare_cancel(self, session: int, user: str, persist_id: str = "") -> Commit:
        """The commit that takes an unconfirmed one back. Raises RpcError."""
        waiting = self.last
        if not waiting.confirm_by:
            raise RpcError("operation-failed", "no commit waits to be confirmed")
        if waiting.persist_id != persist_id or (not waiting.persist_id and session != self.commit_session):
            raise RpcError("invalid-value", "the commit that waits has another persist-id")
        return self._rollback(user)

    def expire_commit(self, now: float) -> Commit | None:
        """The commit that takes back what nobody confirmed in time, if there is one to be made."""
        return self._rollback("(time-out)") if self.last.confirm_by and now >= self.last.confirm_by else None

    def _rollback(self, user: str) -> Commit:
        before = self.commits[self.last.rollback_to]
        return Commit(self.last.number + 1, before.tree, user, ROLLBACK)

    # Sessions

    def open_session(self, session: int) -> None:
        """A session has begun."""
        self.sessions.add(session)

    def close_session(self, session: int) -> Commit | None:
        """A session has ended: its locks are released. Returns the rollback of a commit that only it could confirm."""
        self.sessions.discard(session)
        if self.locks.get(CANDIDATE) == session:
            self.candidate = self.running
        self.locks = {name: holder for name, holder in self.locks.items() if holder != session}
        if self.last.confirm_by and not self.last.persist_id and self.commit_session == session:
            return self._rollback("(session ended)")
        return None
