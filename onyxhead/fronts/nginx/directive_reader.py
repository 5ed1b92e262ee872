"""Reads the directives of a parsed nginx configuration and follows its includes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from onyxhead.fronts.nginx.directives import Directive, SyntaxNode, directive_from_node
from onyxhead.fronts.nginx.import_report import ImportReport

TRANSPARENT_BLOCKS = {"http", "stream", "events"}
"""Blocks whose directives are read as if they were at the top level."""


class DirectiveReader:
    """Yields directives in the order of their lines; those of an included file come in place of the `include`.

    `files` are the files as crossplane parses them; the first is the main file. Syntax errors, missing files and
    include cycles are added to the report."""

    def __init__(self, files: Sequence[SyntaxNode], report: ImportReport) -> None:
        self._files = files
        self._report = report

    @property
    def main_file(self) -> str:
        """The path of the file at which the import starts."""
        return str(self._files[0]["file"])

    def top_level(self) -> Iterator[Directive]:
        """Yield the directives outside all blocks."""
        return self._read_file(0, ())

    def nested(self, directive: Directive) -> Iterator[Directive]:
        """Yield the directives in the block of a directive."""
        return self._read_nodes(directive.block, directive.file_number, directive.include_chain)

    def upstream_names(self) -> set[str]:
        """Return the names of the upstreams in all files, since an upstream may be used before its definition."""
        return {name for file in self._files for name in _upstream_names(file.get("parsed", ()))}

    def _read_file(self, file_number: int, include_chain: tuple[int, ...]) -> Iterator[Directive]:
        file = self._files[file_number]
        for error in file.get("errors", ()):
            text = str(error.get("error", "")).split(" in ")[0]
            self._report.add_syntax_error(file["file"], int(error.get("line") or 0), text)
        yield from self._read_nodes(file.get("parsed", ()), file_number, include_chain)

    def _read_nodes(
        self, nodes: Sequence[SyntaxNode], file_number: int, include_chain: tuple[int, ...]
    ) -> Iterator[Directive]:
        file = self._files[file_number]["file"]
        for node in nodes:
            # A block belongs to the file that contains it, since includes in the block are relative to that file. The
            # directive therefore keeps the number and the include chain of its file.
            directive = directive_from_node(node, file, file_number, include_chain)
            if node["directive"] == "include":
                yield from self._read_includes(node, directive)
            else:
                yield directive

    def _read_includes(self, node: SyntaxNode, directive: Directive) -> Iterator[Directive]:
        directive = directive._replace(arguments=node["args"])
        included_files: Sequence[int] = node.get("includes") or ()
        if not included_files:
            self._report.add_not_carried(directive, "no such file")
        chain = (*directive.include_chain, directive.file_number)
        for included_file in included_files:
            if included_file in chain:
                names = [self._files[number]["file"].rpartition("/")[2] for number in (*chain, included_file)]
                self._report.add_not_carried(directive, f"include cycle: {' -> '.join(names)}")
            else:
                yield from self._read_file(included_file, chain)


def _upstream_names(nodes: Sequence[SyntaxNode]) -> Iterator[str]:
    for node in nodes:
        if node["directive"] == "upstream" and node["args"]:
            yield node["args"][0]
        elif node["directive"] in TRANSPARENT_BLOCKS:
            yield from _upstream_names(node.get("block", ()))
