"""The running, candidate and startup datastores, with their locks and commits (RFC 6241, sections 7 and 8). No I/O.

A commit takes two steps, so that it takes effect only once it is on disk: `prepare_commit` returns the commit that the
caller has to store, and `on_commit_stored` puts it into the running datastore. Times are in seconds of the wall clock,
because the timeout of a commit continues across a restart of the process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhead.controller.configuration.tree import Edit, Node, RpcError, Tree, apply_edit

CONFIRM_TIMEOUT = 600
"""Default time in seconds for confirming a commit (RFC 6241, section 8.4.5.1)."""
RUNNING, CANDIDATE, STARTUP = "running", "candidate", "startup"
NAMES = (RUNNING, CANDIDATE, STARTUP)
COMMIT, CONFIRMED_COMMIT, CONFIRM, ROLLBACK = "commit", "confirmed commit", "confirm", "roll back"
"""Kinds of commits, as they are stored and as the audit log shows them."""


class Commit(NamedTuple):
    """One state of the running datastore.

    If `confirm_by` is set (not 0.0), the commit is rolled back at that time unless it is confirmed; `rollback_to` is
    the number of the commit whose tree is then restored. With a `persist_id`, any session that knows the id may
    confirm the commit.
    """

    number: int
    tree: Tree
    user: str
    kind: str
    confirm_by: float = 0.0
    rollback_to: int = 0
    persist_id: str = ""


class Datastores:
    """The three datastores, the locks on them, and all commits by number.

    `check` raises RpcError for an invalid tree. `candidate_session` is the session that last changed the candidate,
    `commit_session` the session that made the last commit.
    """

    def __init__(
        self, node: Node, commits: list[Commit], check: Callable[[Tree], None], startup: Tree | None = None
    ) -> None:
        self.node, self.check = node, check
        self.commits = {commit.number: commit for commit in commits}
        self.last_commit = commits[-1]
        self.running, self.candidate = self.last_commit.tree, self.last_commit.tree
        self.startup = startup if startup is not None else commits[0].tree
        self.locks: dict[str, int] = {}
        self.candidate_session = 0
        self.commit_session = 0
        self.sessions: set[int] = set()

    def get(self, name: str) -> Tree:
        """Return the content of a datastore. Raise RpcError for an unknown name."""
        if name not in NAMES:
            raise RpcError("invalid-value", f"there is no datastore {name!r}")
        return {RUNNING: self.running, CANDIDATE: self.candidate, STARTUP: self.startup}[name]

    # Locks

    def lock(self, session: int, name: str) -> None:
        """Lock a datastore.

        Raise RpcError lock-denied if it is locked, has uncommitted changes or waits for a confirmation. The error names
        the session responsible, 0 for a commit that waits.
        """
        self.get(name)
        if name in self.locks:
            raise RpcError("lock-denied", f"{name} is locked", kind="protocol", session_id=str(self.locks[name]))
        if name == CANDIDATE and self.candidate != self.running:
            holder = str(self.candidate_session)
            raise RpcError("lock-denied", "candidate has uncommitted changes", kind="protocol", session_id=holder)
        if name == RUNNING and self.last_commit.confirm_by:
            raise RpcError("lock-denied", "a commit waits to be confirmed", kind="protocol", session_id="0")
        self.locks[name] = session

    def unlock(self, session: int, name: str) -> None:
        """Unlock a datastore, discarding uncommitted changes of the candidate. Raise RpcError if it is not locked."""
        self.get(name)
        if self.locks.get(name) != session:
            raise RpcError("operation-failed", f"{name} is not locked by this session", kind="protocol")
        del self.locks[name]
        if name == CANDIDATE:
            self.candidate = self.running

    def check_unlocked(self, session: int, name: str) -> None:
        """Raise RpcError in-use if another session has locked the datastore."""
        holder = self.locks.get(name, session)
        if holder != session:
            raise RpcError("in-use", f"{name} is locked by session {holder}", kind="protocol")

    # Changes

    def preview_edit(self, session: int, name: str, edit: Edit, default: str, validate: bool = True) -> Tree:
        """Return the tree that an edit would result in, without storing it. Raise RpcError if the edit is rejected."""
        if name == RUNNING:
            raise RpcError("operation-not-supported", "running is changed by commit", kind="protocol")
        before = self.get(name)
        self.check_unlocked(session, name)
        after = apply_edit(self.node, before, edit, default)
        if validate:
            self.check(after)
        return after

    def put(self, session: int, name: str, tree: Tree) -> None:
        """Replace the content of candidate or startup. Raise RpcError if it is locked or the tree is invalid."""
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
        """Reset the candidate to running. Raise RpcError if another session has locked it."""
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
        """Return a commit of the candidate for the caller to store. It takes effect with `on_commit_stored`.

        Raise RpcError if the session may not commit now, or the candidate is invalid.
        """
        for name in (RUNNING, CANDIDATE):
            self.check_unlocked(session, name)
        pending = self.last_commit
        if pending.confirm_by:
            if pending.persist_id != persist_id or (not pending.persist_id and session != self.commit_session):
                raise RpcError("invalid-value", "another commit waits to be confirmed, under another persist-id")
        elif persist_id:
            raise RpcError("invalid-value", "no commit waits to be confirmed")
        self.check(self.candidate)
        number, unconfirmed = pending.number + 1, bool(pending.confirm_by)
        if not confirmed:
            return Commit(number, self.candidate, user, CONFIRM if unconfirmed else COMMIT)
        # After several unconfirmed commits in a row, a rollback restores the state before the first of them.
        rollback_to = pending.rollback_to if unconfirmed else pending.number
        return Commit(number, self.candidate, user, CONFIRMED_COMMIT, now + timeout, rollback_to, persist)

    def on_commit_stored(self, session: int, commit: Commit) -> None:
        """Put a commit that is now on disk into the running datastore."""
        self.commits[commit.number] = self.last_commit = commit
        self.running, self.commit_session = commit.tree, session
        if commit.kind == ROLLBACK and self.candidate != commit.tree and not self.locks.get(CANDIDATE):
            self.candidate = commit.tree

    def prepare_cancel(self, session: int, user: str, persist_id: str = "") -> Commit:
        """Return a commit that rolls back the unconfirmed one. Raise RpcError if the session may not cancel it."""
        pending = self.last_commit
        if not pending.confirm_by:
            raise RpcError("operation-failed", "no commit waits to be confirmed")
        if pending.persist_id != persist_id or (not pending.persist_id and session != self.commit_session):
            raise RpcError("invalid-value", "the commit that waits to be confirmed has another persist-id")
        return self._rollback(user)

    def expire_commit(self, now: float) -> Commit | None:
        """Return a commit that rolls back the unconfirmed one, or None if its deadline has not passed."""
        return (
            self._rollback("(time-out)") if self.last_commit.confirm_by and now >= self.last_commit.confirm_by else None
        )

    def _rollback(self, user: str) -> Commit:
        before = self.commits[self.last_commit.rollback_to]
        return Commit(self.last_commit.number + 1, before.tree, user, ROLLBACK)

    # Sessions

    def open_session(self, session: int) -> None:
        """Add a session that has begun."""
        self.sessions.add(session)

    def close_session(self, session: int) -> Commit | None:
        """Release the locks of a session that has ended.

        If only this session could have confirmed the last commit, return a commit that rolls it back.
        """
        self.sessions.discard(session)
        if self.locks.get(CANDIDATE) == session:
            self.candidate = self.running
        self.locks = {name: holder for name, holder in self.locks.items() if holder != session}
        if self.last_commit.confirm_by and not self.last_commit.persist_id and self.commit_session == session:
            return self._rollback("(session ended)")
        return None
