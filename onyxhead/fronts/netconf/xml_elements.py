"""XML messages and their elements: parsing with limits, building, serializing."""

from __future__ import annotations

from typing import TypeAlias

from lxml import etree

from onyxhead.fronts.netconf.errors import MalformedXmlError

BASE_NAMESPACE = "urn:ietf:params:xml:ns:netconf:base:1.0"
FLEET_NAMESPACE = "urn:onyxhead:fleet"
NOTIFICATION_NAMESPACE = "urn:ietf:params:xml:ns:netconf:notification:1.0"
MONITORING_NAMESPACE = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring"
WITH_DEFAULTS_NAMESPACE = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults"

MAX_DEPTH = 64
MAX_ELEMENTS = 600_000
MAX_ERROR_TEXT = 200

Element: TypeAlias = etree._Element


def parse_message(message: bytes) -> Element:
    """Return the root of a message. Raises MalformedXmlError.

    Entities are neither expanded nor fetched, and a document type is rejected."""
    if b"<!DOCTYPE" in message or b"<!ENTITY" in message:
        raise MalformedXmlError("a document type is not taken")
    parser = etree.XMLParser(
        resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False, remove_comments=True, remove_pis=True
    )
    try:
        root = etree.fromstring(message.strip(), parser)
    except (etree.XMLSyntaxError, ValueError) as error:
        raise MalformedXmlError(str(error).splitlines()[0][:MAX_ERROR_TEXT]) from error
    _check_size(root)
    return root


def _check_size(root: Element) -> None:
    unvisited, count = [(root, 1)], 0
    while unvisited:
        element, depth = unvisited.pop()
        count += 1
        if depth > MAX_DEPTH:
            raise MalformedXmlError("nested too deeply")
        if count > MAX_ELEMENTS:
            raise MalformedXmlError("too many elements")
        unvisited += [(child, depth + 1) for child in element]


def serialize(root: Element) -> bytes:
    """Return a message's bytes, with an XML declaration."""
    return bytes(etree.tostring(root, xml_declaration=True, encoding="UTF-8"))


def local_name(element: Element) -> str:
    """Return an element's name without its namespace."""
    return str(etree.QName(element).localname)


def namespace_of(element: Element) -> str:
    """Return an element's namespace; empty if it has none."""
    return str(etree.QName(element).namespace or "")


def text_of(element: Element | None) -> str:
    """Return an element's text without white space around it; empty for no element."""
    return (element.text or "").strip() if element is not None else ""


def find_child(element: Element, name: str, namespace: str = BASE_NAMESPACE) -> Element | None:
    """Return the first child of this name."""
    return element.find(f"{{{namespace}}}{name}")


def new_element(name: str, namespace: str = BASE_NAMESPACE, text: str | None = None) -> Element:
    """Return a new element whose namespace is the default one of what it contains."""
    element = etree.Element(f"{{{namespace}}}{name}", nsmap={None: namespace})
    if text is not None:
        element.text = text
    return element


def add_child(parent: Element, name: str, text: str | None = None) -> Element:
    """Add a child in the parent's namespace and return it."""
    child = etree.SubElement(parent, f"{{{namespace_of(parent)}}}{name}")
    if text is not None:
        child.text = text
    return child


def copy_element(element: Element) -> Element:
    """Return a copy that stands in no other element."""
    return etree.fromstring(etree.tostring(element))
