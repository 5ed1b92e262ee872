"""XML in and out: no entities, no document types, no deep trees; data trees as elements and back, subtree filters."""

from __future__ import annotations

from typing import Any

from lxml import etree

from onyxhead.controller.configuration.tree import OPERATIONS, Edit, Node, RpcError, Tree

BASE = "urn:ietf:params:xml:ns:netconf:base:1.0"
FLEET = "urn:onyxhead:fleet"
NOTIFICATION = "urn:ietf:params:xml:ns:netconf:notification:1.0"
MONITORING = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
DEFAULTS = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"
DEEPEST = 64
MOST_ELEMENTS = 600_000

Element = Any


class NotXml(Exception):
    """What came is not well-formed, or uses what is not taken here."""


def parse(message: bytes) -> Element:
    """The root of a message. Raises NotXml. Entities are neither expanded nor fetched; a DOCTYPE is refused."""
    parser = etree.XMLParser(
        resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False, remove_comments=True, remove_pis=True
    )
    if b"<!DOCTYPE" in message or b"<!ENTITY" in message:
        raise NotXml("a document type is not taken")
    try:
        root = etree.fromstring(message.strip(), parser)
    except (etree.XMLSyntaxError, ValueError) as error:
        raise NotXml(str(error).splitlines()[0][:200]) from None
    stack, count = [(root, 1)], 0
    while stack:
        element, depth = stack.pop()
        count += 1
        if depth > DEEPEST or count > MOST_ELEMENTS:
            raise NotXml("nested too deeply" if depth > DEEPEST else "too many elements")
        stack += [(child, depth + 1) for child in element]
    return root


def local(element: Element) -> str:
    return str(etree.QName(element).localname)


def space(element: Element) -> str:
    return str(etree.QName(element).namespace or "")


def text(element: Element | None) -> str:
    return (element.text or "").strip() if element is not None else ""


def find(element: Element, name: str, ns: str = BASE) -> Element | None:
    return element.find(f"{{{ns}}}{name}")


def written(root: Element) -> bytes:
    return etree.tostring(root, xml_declaration=True, encoding="UTF-8")  # type: ignore[no-any-return]


def element(name: str, ns: str = BASE, text: str | None = None, **attributes: str) -> Element:
    made = etree.Element(f"{{{ns}}}{name}", nsmap={None: ns}, **attributes)
    if text is not None:
        made.text = text
    return made


def add(parent: Element, name: str, content: str | None = None, ns: str | None = None) -> Element:
    made = etree.SubElement(parent, f"{{{ns or space(parent)}}}{name}", nsmap={None: ns} if ns else None)
    if content is not None:
        made.text = content
    return made


def edit_of(config: Element, schema: Node) -> Edit:
    """The edit in a <config>. Raises RpcError for what is not of this model, or names no operation there is."""
    found = Edit("")
    for child in config:
        if space(child) != FLEET:
            raise RpcError("unknown-namespace", f"{space(child)!r} is not served", bad_namespace=space(child))
        if local(child) != schema.name:
            raise RpcError("unknown-element", f"there is no {local(child)}", bad_element=local(child))
        found.children.append(_edit(child))
    return found


def _edit(given: Element) -> Edit:
    operation = given.get(f"{{{BASE}}}operation")
    if operation is not None and operation not in OPERATIONS:
        raise RpcError("bad-attribute", f"{operation!r} is no operation", kind="protocol", bad_attribute="operation")
    children = [_edit(child) for child in given]
    return Edit(local(given), operation, "" if children else text(given), children)


def tree_element(node: Node, tree: Tree, ns: str = FLEET) -> Element:
    """A container's tree as an element."""
    root = element(node.name, ns)
    _fill(root, node, tree)
    return root


def _fill(parent: Element, node: Node, tree: Tree) -> None:
    for name, child in node.children.items():
        if name not in tree:
            continue
        held = tree[name]
        for each in held if child.kind in ("list", "leaf-list") else [held]:
            if child.kind in ("leaf", "leaf-list"):
                add(parent, name, _shown(each))
            else:
                _fill(add(parent, name), child, each)


def _shown(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def filtered(data: Element, given: Element) -> Element | None:
    """What a subtree filter selects of a data element (RFC 6241, section 6); None for nothing."""
    if local(given) != local(data) or (space(given) and space(given) != space(data)):
        return None
    matches = [child for child in given if not len(child) and text(child)]
    for match in matches:
        if not any(local(child) == local(match) and text(child) == text(match) for child in data):
            return None
    selects = [child for child in given if child not in matches]
    if not len(given) or (matches and not selects):
        return data
    made = etree.Element(data.tag, nsmap=data.nsmap)
    for child in data:
        if any(local(child) == local(match) for match in matches):
            made.append(_copy(child))
            continue
        for select in selects:
            if (kept := filtered(child, select)) is not None:
                made.append(_copy(kept))
                break
    return made if len(made) else None


def _copy(given: Element) -> Element:
    return etree.fromstring(etree.tostring(given))
