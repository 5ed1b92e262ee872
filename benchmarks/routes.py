"""Time to look up the location of a request among up to 100,000 locations, and to read a large routing file.

The compiled matcher is measured beside the linear matcher, which is the baseline.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.figures import Figures
from onyxhead.routing.location_matching import CompiledLocationMatcher, LinearLocationMatcher
from onyxhead.routing.model import Location, Pool, Routing, Server, Target, VirtualHost
from onyxhead.routing.routing_file import format_routing, read_routing

LOCATION_COUNTS = (10, 1_000, 100_000)
PATHS = 2_000
LINEAR_PATHS_AT_MAX_COUNT = 20
"""Number of paths for the linear matcher at the highest location count, where each lookup takes long."""
DEFAULT_RECORDS = 20_000
UNANCHORED_PATTERNS = (r"\.php$", r"\.(gif|png)$", "/edit/")
"""Regular expressions that are not anchored, so they may match anywhere in a path."""


def create_locations(count: int) -> list[Location]:
    """Return the unanchored patterns and `count` other locations.

    Nine in ten of those are prefixes of two path segments; the rest are regular expressions that match a literal text
    at the start of the path.
    """
    locations = [Location("regex", pattern, Target("p")) for pattern in UNANCHORED_PATTERNS]
    for number in range(count):
        if number % 10 == 9:
            locations.append(Location("regex", f"^/r{number}/", Target("p")))
        else:
            locations.append(Location("prefix", f"/{number % 997}/{number}/", Target("p")))
    return locations


def create_paths(locations: int) -> list[str]:
    """Return random request paths for the result of `create_locations(locations)`, most of which match a location."""
    rng, paths = random.Random(1), []
    for _ in range(PATHS):
        number = rng.randrange(locations)
        paths.append(
            rng.choice(
                [f"/{number % 997}/{number}/a/b", f"/r{number}/x", f"/none/{number}", f"/{number % 997}/{number}/a.php"]
            )
        )
    return paths


def measure_lookups(count: int) -> Figures:
    """Measure the time of lookups among this many locations, and check that both matchers find the same location.

    `linear_and_compiled_us` is the time of a lookup in both matchers, since each is checked against the other.
    """
    locations, paths = create_locations(count), create_paths(count)
    started_at = time.perf_counter()
    compiled = CompiledLocationMatcher(locations)
    compiling_time = time.perf_counter() - started_at
    linear = LinearLocationMatcher(locations)
    linear_paths = paths if count < max(LOCATION_COUNTS) else paths[:LINEAR_PATHS_AT_MAX_COUNT]
    compiled_time = _time_per_path(paths, compiled.find)

    def find_both(path: str) -> None:
        assert linear.find(path) is compiled.find(path)

    return {
        "compiled_us": round(compiled_time * 1e6, 2),
        "linear_and_compiled_us": round(_time_per_path(linear_paths, find_both) * 1e6, 1),
        "compiling_s": round(compiling_time, 3),
    }


def _time_per_path(paths: list[str], find: Callable[[str], object]) -> float:
    started_at = time.perf_counter()
    for path in paths:
        find(path)
    return (time.perf_counter() - started_at) / len(paths)


def measure_reading(count: int) -> Figures:
    """Measure the time to read a routing file with this many locations."""
    host = VirtualHost(("x",), locations=tuple(create_locations(count)))
    routing = Routing({"p": Pool("p", (Server("a:1"),))}, (host,))
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "a.rec"
        file.write_text(format_routing(routing), encoding="utf-8")
        started_at = time.perf_counter()
        read_routing(file)
        elapsed = time.perf_counter() - started_at
        return {"lines": len(file.read_text().splitlines()), "read_s": round(elapsed, 2)}


def measure(arguments: list[str]) -> Figures:
    """Run both measurements; the optional argument is the number of locations in the routing file."""
    figures: Figures = {str(count): measure_lookups(count) for count in LOCATION_COUNTS}
    figures["records"] = measure_reading(int(arguments[0]) if arguments else DEFAULT_RECORDS)
    return figures
