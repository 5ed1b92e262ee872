"""`python -m onyxhead.wirehost` runs the policy for the simulator over standard input and output."""

from __future__ import annotations

import io
import sys

from onyxhead.wirehost.codec import WireError
from onyxhead.wirehost.host import WireHost

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Answer batches until the input ends, then return the exit code."""
    for stream in (sys.stdin, sys.stdout):
        assert isinstance(stream, io.TextIOWrapper)
        stream.reconfigure(encoding="utf-8")
    host = WireHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except WireError as error:
        print(f"line {host.line_number}: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except UnicodeDecodeError as error:
        print(f"line {host.line_number + 1}: not UTF-8: {error.reason}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
