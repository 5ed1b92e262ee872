"""One NETCONF session as a machine: bytes in, bytes out (RFC 6241, 6242, 5277, 6022, 6243). No I/O, no decisions."""

from __future__ import annotations

import datetime
from collections.abc import Callable
from typing import Any

from lxml import etree

from onyxhead.controller.configuration.datastores import CONFIRM_TIMEOUT, NAMES
from onyxhead.controller.configuration.service import ConfigurationService, Notification
from onyxhead.controller.configuration.tree import Edit, Node, RpcError, Tree, apply, with_defaults
from onyxhead.fronts.netconf import schema, xml
from onyxhead.fronts.netconf.framing import Framing, Unframed
from onyxhead.fronts.netconf.xml import BASE, DEFAULTS, MONITORING, NOTIFICATION, NotXml, find, local, text

BASE_1_0, BASE_1_1 = "urn:ietf:params:netconf:base:1.0", "urn:ietf:params:netconf:base:1.1"
CAPABILITIES = (
    BASE_1_0,
    BASE_1_1,
    "urn:ietf:params:netconf:capability:candidate:1.0",
    "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:ietf:params:netconf:capability:validate:1.1",
    "urn:ietf:params:netconf:capability:startup:1.0",
    "urn:ietf:params:netconf:capability:xpath:1.0",
    "urn:ietf:params:netconf:capability:notification:1.0",
    "urn:ietf:params:netconf:capability:interleave:1.0",
    "urn:ietf:params:netconf:capability:with-defaults:1.0?basic-mode=explicit&also-supported=report-all,trim",
    MONITORING,
    f"{schema.NAMESPACE}?module={schema.MODULE}&revision={schema.REVISION}",
)
MOST_UNSENT = 4 * 1024 * 1024
"""Bytes of notifications that may wait for a slow reader; then its session ends, and nobody else's waits."""


class Session:
    """`write` hands bytes to the transport; `over` says that nothing more will come."""

    def __init__(
        self, desk: ConfigurationService, user: str, write: Callable[[bytes], None], end: Callable[[], None]
    ) -> None:
        self.desk, self.user, self.write, self.end_transport = desk, user, write, end
        self.framing = Framing()
        self.over = self.greeted = False
        self.stream: tuple[float, float] | None = None
        self.replay, self.replaying = list[Notification](), False
        self.number = desk.open_session(self.killed)
        hello = xml.element("hello")
        listed = xml.add(hello, "capabilities")
        for capability in CAPABILITIES:
            xml.add(listed, "capability", capability)
        xml.add(hello, "session-id", str(self.number))
        self.write(self.framing.send(xml.written(hello)))

    def killed(self) -> None:
        self.over = True
        self.end_transport()

    def ended(self) -> None:
        """The transport is gone."""
        self.over = True
        self.desk.close_session(self.number)

    def receive(self, data: bytes) -> None:
        """Takes bytes and answers whatever is whole. A broken framing ends the session with no answer."""
        try:
            messages = self.framing.receive(data)
            while messages:
                for message in messages:
                    if self.over:
                        return
                    self._message(message)
                messages = self.framing.more() if not self.over else []
        except Unframed:
            self.killed()

    def _message(self, message: bytes) -> None:
        try:
            root = xml.parse(message)
        except NotXml as error:
            if not self.greeted:
                self.killed()
                return
            problem = RpcError("malformed-message", str(error), kind="rpc")
            self._send(_reply(None, _errors(problem)))
            return
        if not self.greeted:
            self._greet(root)
            return
        if local(root) != "rpc" or xml.space(root) != BASE:
            self._send(_reply(None, _errors(RpcError("operation-not-supported", "not an rpc", kind="protocol"))))
            return
        operations = list(root)
        try:
            if root.get("message-id") is None:
                raise RpcError("missing-attribute", "no message-id", kind="rpc", bad_attribute="message-id")
            if len(operations) != 1:
                raise RpcError("malformed-message", "an rpc holds one operation", kind="rpc")
            made = self._run(operations[0])
        except RpcError as problem:
            made = _errors(problem)
        except Exception as error:  # our own fault must not leave the client without an answer
            self.desk.callbacks.audit(self.user, self.number, local(operations[0]), f"fault: {error!r}")
            made = _errors(RpcError("operation-failed", f"internal fault: {error!r}"))
        self._send(_reply(root, made))
        # What was there before the subscription follows its answer (RFC 5277, section 2.1.1).
        for event in self.replay:
            self.notified(event)
        if self.replaying:
            self._send(_notification(self.desk.callbacks.wall_time(), xml.element("replayComplete", NOTIFICATION)))
        self.replay, self.replaying = [], False
        if self.over:
            self.desk.close_session(self.number)
            self.end_transport()

    def _greet(self, root: Any) -> None:  # noqa: ANN401
        told = {text(each) for each in root.iter(f"{{{BASE}}}capability")}
        if local(root) != "hello" or not told & {BASE_1_0, BASE_1_1} or find(root, "session-id") is not None:
            self.killed()
            return
        self.greeted = True
        self.framing.chunked = BASE_1_1 in told

    def _send(self, root: Any) -> None:  # noqa: ANN401
        self.write(self.framing.send(xml.written(root)))

    # Operations

    def _run(self, asked: Any) -> list[Any]:  # noqa: ANN401
        name = local(asked)
        run = OPERATIONS.get(name)
        if run is None:
            raise RpcError("operation-not-supported", f"{name} is not served", kind="protocol")
        self.desk.access.may_run(self.user, name)
        return run(self, asked) or [xml.element("ok")]

    def _get(self, asked: Any) -> list[Any]:  # noqa: ANN401
        found = [xml.tree_element(schema.state(), self.desk.callbacks.state())]
        return self._data(asked, self._config("running", asked) + found)

    def _get_config(self, asked: Any) -> list[Any]:  # noqa: ANN401
        return self._data(asked, self._config(_datastore(asked, "source"), asked))

    def _config(self, name: str, asked: Any) -> list[Any]:  # noqa: ANN401
        mode = text(find(asked, "with-defaults", DEFAULTS)) or "explicit"
        if mode not in ("report-all", "trim", "explicit"):
            raise RpcError("invalid-value", f"with-defaults {mode!r} is not served", kind="protocol")
        tree = with_defaults(schema.config(), self.desk.datastores.get(name), mode)
        return [xml.tree_element(schema.config(), self._readable(schema.config(), tree, "/fleet"))] if tree else []

    def _readable(self, node: Node, tree: Tree, path: str) -> Tree:
        kept: Tree = {}
        for name, value in tree.items():
            where, child = f"{path}/{name}", node.children[name]
            if name not in node.keys and not self.desk.access.readable(self.user, where):
                continue
            if child.kind == "list":
                kept[name] = [self._readable(child, each, where) for each in value]
            else:
                kept[name] = self._readable(child, value, where) if child.kind == "container" else value
        return kept

    def _data(self, asked: Any, found: list[Any]) -> list[Any]:  # noqa: ANN401
        data = xml.element("data")
        given = find(asked, "filter")
        kind = given.get("type", "subtree") if given is not None else None
        if given is not None and kind == "xpath":
            for each in self._selected(found, given):
                data.append(each)
            return [data]
        if kind not in (None, "subtree"):
            raise RpcError("bad-attribute", f"a filter of type {kind!r}", kind="protocol", bad_attribute="type")
        for each in found:
            kept = [each] if given is None else [xml.filtered(each, select) for select in given]
            for one in kept:
                if one is not None:
                    data.append(one)
                    break
        return [data]

    def _selected(self, found: list[Any], given: Any) -> list[Any]:  # noqa: ANN401
        """Nodes that an XPath expression selects, with the way to them and their keys kept."""
        root = xml.element("root", "")
        for each in found:
            root.append(each)
        names = {prefix: uri for prefix, uri in (given.nsmap or {}).items() if prefix}
        try:
            chosen = root.xpath(given.get("select", ""), namespaces=names or {"oh": xml.FLEET})
        except (etree.XPathError, etree.XPathEvalError) as error:
            raise RpcError("invalid-value", f"XPath: {error}", kind="protocol") from None
        if not isinstance(chosen, list) or not all(isinstance(each, etree._Element) for each in chosen):
            raise RpcError("invalid-value", "the expression selects no nodes", kind="protocol")
        keep = set(chosen)
        for each in chosen:
            keep |= set(each.iter()) | set(each.iterancestors())
        keys = {f"{{{xml.FLEET}}}{key}" for key in ("name", "id")}
        for element in list(root.iter()):
            parent = element.getparent()
            if element not in keep and parent is not None and not (parent in keep and element.tag in keys):
                parent.remove(element)
        return list(root)

    def _edit_config(self, asked: Any) -> list[Any]:  # noqa: ANN401
        name = _datastore(asked, "target")
        default = text(find(asked, "default-operation")) or "merge"
        test = text(find(asked, "test-option")) or "test-then-set"
        option = text(find(asked, "error-option")) or "stop-on-error"
        if default not in ("merge", "replace", "none") or test not in ("test-then-set", "set", "test-only"):
            raise RpcError("invalid-value", "default-operation or test-option", kind="protocol")
        if option not in ("stop-on-error", "continue-on-error", "rollback-on-error"):
            raise RpcError("invalid-value", "error-option", kind="protocol")
        given = find(asked, "config")
        if given is None:
            raise RpcError("missing-element", "no config", kind="protocol", bad_element="config")
        edit = xml.edit_of(given, schema.config())
        fleet = edit.children[0] if edit.children else Edit("fleet")
        if len(edit.children) > 1:
            raise RpcError("malformed-message", "one fleet is edited at a time")
        if fleet.operation in ("delete", "remove"):
            fleet = Edit("fleet", "replace")
        self.desk.edit(self.user, self.number, name, fleet, default, test)
        return []

    def _copy_config(self, asked: Any) -> list[Any]:  # noqa: ANN401
        target, tree = _datastore(asked, "target"), self._source(asked)
        self.desk.replace(self.user, self.number, target, self.desk.datastores.get(target), tree)
        return []

    def _source(self, asked: Any) -> Tree:  # noqa: ANN401
        source = find(asked, "source")
        given = find(source, "config") if source is not None else None
        if given is None:
            return self.desk.datastores.get(_datastore(asked, "source"))
        edit = xml.edit_of(given, schema.config())
        return apply(schema.config(), {}, edit.children[0], "replace") if edit.children else {}

    def _delete_config(self, asked: Any) -> list[Any]:  # noqa: ANN401
        target = _datastore(asked, "target")
        if target != "startup":
            raise RpcError("operation-not-supported", f"{target} can't be deleted", kind="protocol")
        # The state that a restart begins with is then what the settings file says.
        first = self.desk.datastores.commits[min(self.desk.datastores.commits)].tree
        self.desk.replace(self.user, self.number, target, self.desk.datastores.startup, first)
        return []

    def _lock(self, asked: Any) -> list[Any]:  # noqa: ANN401
        self.desk.datastores.lock(self.number, _datastore(asked, "target"))
        return []

    def _unlock(self, asked: Any) -> list[Any]:  # noqa: ANN401
        self.desk.datastores.unlock(self.number, _datastore(asked, "target"))
        return []

    def _commit(self, asked: Any) -> list[Any]:  # noqa: ANN401
        timeout = text(find(asked, "confirm-timeout")) or str(CONFIRM_TIMEOUT)
        if not timeout.isdigit() or not 0 < int(timeout) < 2**32:
            raise RpcError("invalid-value", f"confirm-timeout {timeout!r}", kind="protocol")
        confirmed = find(asked, "confirmed") is not None
        persist, persist_id = text(find(asked, "persist")), text(find(asked, "persist-id"))
        if persist and not confirmed:
            raise RpcError("invalid-value", "persist goes with confirmed", kind="protocol")
        self.desk.commit(self.user, self.number, confirmed, int(timeout), persist, persist_id)
        return []

    def _cancel_commit(self, asked: Any) -> list[Any]:  # noqa: ANN401
        self.desk.cancel(self.user, self.number, text(find(asked, "persist-id")))
        return []

    def _discard(self, _asked: Any) -> list[Any]:  # noqa: ANN401
        self.desk.datastores.discard(self.number)
        return []

    def _validate(self, asked: Any) -> list[Any]:  # noqa: ANN401
        self.desk.datastores.check(self._source(asked))
        return []

    def _close(self, _asked: Any) -> list[Any]:  # noqa: ANN401
        self.over = True
        return []

    def _kill(self, asked: Any) -> list[Any]:  # noqa: ANN401
        told = text(find(asked, "session-id"))
        if not told.isdigit():
            raise RpcError("invalid-value", "no session-id", kind="protocol")
        self.desk.kill_session(self.user, int(told), self.number)
        return []

    def _get_schema(self, asked: Any) -> list[Any]:  # noqa: ANN401
        wanted = [text(find(asked, name, MONITORING)) for name in ("identifier", "version", "format")]
        if wanted[0] != schema.MODULE or wanted[1] not in ("", schema.REVISION):
            raise RpcError("invalid-value", f"there is no schema {wanted[0]!r}", kind="protocol")
        if wanted[2] not in ("", "yang"):
            raise RpcError("invalid-value", f"no format {wanted[2]!r}", kind="protocol")
        return [xml.element("data", MONITORING, schema.module_text())]

    def _subscribe(self, asked: Any) -> list[Any]:  # noqa: ANN401
        if self.number in self.desk.listeners:
            raise RpcError("in-use", "this session listens already", kind="protocol")
        if (named := text(find(asked, "stream", NOTIFICATION))) not in ("", "NETCONF"):
            raise RpcError("invalid-value", f"there is no stream {named!r}", kind="protocol")
        start, stop = (_time(text(find(asked, name, NOTIFICATION))) for name in ("startTime", "stopTime"))
        if stop is not None and (start is None or stop < start):
            raise RpcError(
                "bad-element", "stopTime needs an earlier startTime", kind="protocol", bad_element="stopTime"
            )
        self.stream = (start or 0.0, stop or float("inf"))
        self.desk.listeners[self.number] = self.notified
        if start is not None:
            self.replay = [event for event in self.desk.notifications if start <= event.at <= self.stream[1]]
            self.replaying = True
        return []

    def notified(self, event: Notification) -> None:
        if self.over or self.stream is None or event.at > self.stream[1]:
            return
        body = xml.element(event.name, xml.FLEET)
        for name, value in event.values.items():
            for each in value if isinstance(value, list) else [value]:
                xml.add(body, name, str(each))
        self._send(_notification(event.at, body))


OPERATIONS: dict[str, Callable[[Session, Any], list[Any]]] = {
    "get": Session._get,
    "get-config": Session._get_config,
    "edit-config": Session._edit_config,
    "copy-config": Session._copy_config,
    "delete-config": Session._delete_config,
    "lock": Session._lock,
    "unlock": Session._unlock,
    "commit": Session._commit,
    "cancel-commit": Session._cancel_commit,
    "discard-changes": Session._discard,
    "validate": Session._validate,
    "close-session": Session._close,
    "kill-session": Session._kill,
    "get-schema": Session._get_schema,
    "create-subscription": Session._subscribe,
}


def _datastore(asked: Any, role: str) -> str:  # noqa: ANN401
    given = find(asked, role)
    names = [local(child) for child in given] if given is not None else []
    if len(names) != 1:
        raise RpcError("missing-element", f"{role} names no datastore", kind="protocol", bad_element=role)
    if names[0] not in NAMES:
        raise RpcError("invalid-value", f"there is no datastore {names[0]!r}", kind="protocol")
    return names[0]


def _time(told: str) -> float | None:
    if not told:
        return None
    try:
        at = datetime.datetime.fromisoformat(told)
    except ValueError:
        raise RpcError("invalid-value", f"{told!r} is no time", kind="protocol") from None
    return at.timestamp()


def _reply(rpc: Any, made: list[Any]) -> Any:  # noqa: ANN401
    reply = xml.element("rpc-reply")
    if rpc is not None:
        for name, value in rpc.attrib.items():
            reply.set(name, value)
    for each in made:
        reply.append(each)
    return reply


def _errors(problem: RpcError) -> list[Any]:
    error = xml.element("rpc-error")
    xml.add(error, "error-type", problem.kind)
    xml.add(error, "error-tag", problem.tag)
    xml.add(error, "error-severity", "error")
    if "app_tag" in problem.info:
        xml.add(error, "error-app-tag", problem.info["app_tag"])
    if problem.path:
        xml.add(error, "error-path", problem.path)
    xml.add(error, "error-message", "".join(c for c in problem.text if c.isprintable()))
    info = {name: value for name, value in problem.info.items() if name != "app_tag"}
    if info:
        told = xml.add(error, "error-info")
        for name, value in info.items():
            xml.add(told, name.replace("_", "-"), value)
    return [error]


def _notification(at: float, body: Any) -> Any:  # noqa: ANN401
    root = xml.element("notification", NOTIFICATION)
    stamp = datetime.datetime.fromtimestamp(at, datetime.UTC).isoformat(timespec="milliseconds")
    xml.add(root, "eventTime", stamp.replace("+00:00", "Z"))
    root.append(body)
    return root
