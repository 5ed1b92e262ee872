"""Reads the directives of a parsed nginx configuration through its includes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.fronts.nginx.directives import Directive, SyntaxNode, directive_from_node
from onyxhead.fronts.nginx.import_report import ImportReport

TRANSPARENT_BLOCKS = {"http", "stream", "events"}
"""Blocks whose directives are read as if they stood outside."""


class DirectiveReader:
    """Yields directives in the order of the files' lines, with those of included files in place of the `include`.

    `files` are crossplane's, the first being the one that was asked for. Reports includes that can't be followed."""

    def __init__(self, files: Sequence[SyntaxNode], report: ImportReport) -> None:
        self._files = files
        self._report = report

    @property
    def main_file(self) -> str:
        """The file that was asked for."""
        return str(self._files[0]["file"])

    def top_level(self) -> Iterator[Directive]:
        """Yield the directives outside all blocks."""
        return self._read_file(0, ())

    def nested(self, directive: Directive) -> Iterator[Directive]:
        """Yield the directives of a directive's block."""
        return self._read_nodes(directive.block, directive.file_number, directive.include_chain)

    def upstream_names(self) -> set[str]:
        """Return the names of the upstreams of all files; one may be used before the line that defines it."""
        return {name for file in self._files for name in _upstream_names(file.get("parsed", ()))}

    def _read_file(self, file_number: int, include_chain: tuple[int, ...]) -> Iterator[Directive]:
        file = self._files[file_number]
        for error in file.get("errors", ()):
            text = str(error.get("error", "")).split(" in ")[0]
            self._report.syntax_error(file["file"], int(error.get("line") or 0), text)
        yield from self._read_nodes(file.get("parsed", ()), file_number, include_chain)

    def _read_nodes(
        self, nodes: Sequence[SyntaxNode], file_number: int, include_chain: tuple[int, ...]
    ) -> Iterator[Directive]:
        file = self._files[file_number]["file"]
        for node in nodes:
            # A block is read with the file that it stands in, since includes in it are relative to that file.
            directive = directive_from_node(node, file, file_number, include_chain)
            if node["directive"] == "include":
                yield from self._read_includes(node, directive)
            else:
                yield directive

    def _read_includes(self, node: SyntaxNode, directive: Directive) -> Iterator[Directive]:
        directive = directive._replace(arguments=node["args"])
        included_files: Sequence[int] = node.get("includes") or ()
        if not included_files:
            self._report.not_carried(directive, "no such file")
        chain = (*directive.include_chain, directive.file_number)
        for included in included_files:
            if included in chain:
                names = [self._files[each]["file"].rpartition("/")[2] for each in (*chain, included)]
                self._report.not_carried(directive, f"includes go round: {' -> '.join(names)}")
            else:
                yield from self._read_file(included, chain)


def _upstream_names(nodes: Sequence[SyntaxNode]) -> Iterator[str]:
    for node in nodes:
        if node["directive"] == "upstream" and node["args"]:
            yield node["args"][0]
        elif node["directive"] in TRANSPARENT_BLOCKS:
            yield from _upstream_names(node.get("block", ()))
