"""Helpers that parse XML messages within limits, and build and serialize elements."""

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
MAX_ERROR_TEXT_LENGTH = 200

Element: TypeAlias = etree._Element


def parse_message(message: bytes) -> Element:
    """Return the root element of a message.

    Raise MalformedXmlError if the message is not well-formed, is too large, or has a document type declaration or
    entity declarations. Entities are neither expanded nor fetched.
    """
    if b"<!DOCTYPE" in message or b"<!ENTITY" in message:
        raise MalformedXmlError("document type and entity declarations are not accepted")
    parser = etree.XMLParser(
        resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False, remove_comments=True, remove_pis=True
    )
    try:
        root = etree.fromstring(message.strip(), parser)
    except (etree.XMLSyntaxError, ValueError) as error:
        raise MalformedXmlError(str(error).splitlines()[0][:MAX_ERROR_TEXT_LENGTH]) from error
    _check_size(root)
    return root


def _check_size(root: Element) -> None:
    unvisited, count = [(root, 1)], 0
    while unvisited:
        element, depth = unvisited.pop()
        count += 1
        if depth > MAX_DEPTH:
            raise MalformedXmlError(f"elements are nested more than {MAX_DEPTH} levels deep")
        if count > MAX_ELEMENTS:
            raise MalformedXmlError(f"the message has more than {MAX_ELEMENTS} elements")
        unvisited += [(child, depth + 1) for child in element]


def serialize(root: Element) -> bytes:
    """Return a message as UTF-8 bytes, with an XML declaration."""
    return bytes(etree.tostring(root, xml_declaration=True, encoding="UTF-8"))


def local_name(element: Element) -> str:
    """Return an element's name without its namespace."""
    return str(etree.QName(element).localname)


def namespace_of(element: Element) -> str:
    """Return an element's namespace, or an empty string if it has none."""
    return str(etree.QName(element).namespace or "")


def text_of(element: Element | None) -> str:
    """Return an element's text without surrounding whitespace, or an empty string for None."""
    return (element.text or "").strip() if element is not None else ""


def find_child(element: Element, name: str, namespace: str = BASE_NAMESPACE) -> Element | None:
    """Return the first child with this name and namespace, or None."""
    return element.find(f"{{{namespace}}}{name}")


def new_element(name: str, namespace: str = BASE_NAMESPACE, text: str | None = None) -> Element:
    """Return a new element that declares its namespace as the default namespace."""
    element = etree.Element(f"{{{namespace}}}{name}", nsmap={None: namespace})
    if text is not None:
        element.text = text
    return element


def add_child(parent: Element, name: str, text: str | None = None) -> Element:
    """Add a child element in the parent's namespace and return the child."""
    child = etree.SubElement(parent, f"{{{namespace_of(parent)}}}{name}")
    if text is not None:
        child.text = text
    return child


def copy_element(element: Element) -> Element:
    """Return a copy of an element, detached from the element's parent."""
    return etree.fromstring(etree.tostring(element))
