"""Tests of routing decisions by nginx's published rules, the import and export of nginx blocks, and routed traffic."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import crossplane
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxhead.cli.main import main
from onyxhead.configuration_language.terms import InvalidConfigurationError
from onyxhead.fronts.nginx.errors import DirectiveError, ExportError
from onyxhead.fronts.nginx.exporter import export_blocks
from onyxhead.fronts.nginx.import_report import ReportLine, Verdict
from onyxhead.fronts.nginx.importer import NginxImporter
from onyxhead.fronts.nginx.words import parse_duration, quote_word, unescape_word
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request, Response
from onyxhead.http.server import Server as HttpServer
from onyxhead.routing.location_matching import CompiledLocationMatcher, LinearLocationMatcher, find_literal_prefix
from onyxhead.routing.model import (
    Location,
    Pool,
    RequestLimit,
    RetryPolicy,
    Routing,
    Server,
    Target,
    VariableMap,
    VirtualHost,
    WeightedSplit,
)
from onyxhead.routing.paths import normalize_path
from onyxhead.routing.router import Router
from onyxhead.routing.routing_file import format_routing, read_routing
from onyxhead.routing.variables import map_value, murmur_hash_2, split_value
from onyxhead.routing.virtual_hosts import VirtualHostTable
from onyxhead.testbed.parameters import RoutingProxyParameters
from onyxhead.testbed.ports import free_ports
from onyxhead.testbed.routing_proxy import SimulatedRoutingProxy


def location(kind: Any, pattern: str, *nested: Location, pool: str = "") -> Location:
    return Location(kind, pattern, Target(pool or pattern), nested=tuple(nested))


OVERLAPPING_LOCATIONS = [
    location("prefix", "/"),
    location("exact", "/"),
    location("prefix", "/docs/"),
    location("prefix-first", "/img/"),
    location("regex-caseless", r"\.(gif|png)$"),
    location("regex", "^/docs/v1"),
    location("regex", "^/doc"),
    location(
        "prefix", "/app", location("prefix", "/app/in"), location("regex", r"\.js$"), location("exact", "/app/home")
    ),
    location(
        "prefix-first",
        "/deep",
        location("prefix", "/deep/er", location("exact", "/deep/er/x")),
        location("regex", "z$"),
    ),
]


@pytest.mark.parametrize(
    ("path", "pattern"),
    [
        ("/", "/"),
        ("/x", "/"),
        ("/docs/a", "^/doc"),
        ("/docs/v1/a", "^/docs/v1"),
        ("/img/a.gif", "/img/"),
        ("/a.GIF", r"\.(gif|png)$"),
        ("/app/in/a", "/app/in"),
        ("/app/in/a.js", r"\.js$"),
        ("/app/home", "/app/home"),
        ("/app/in/a.png", r"\.(gif|png)$"),
        ("/application", "/app"),
        ("/deep/er/x", "/deep/er/x"),
        ("/deep/a.gif", "/deep"),
        ("/deep/er/a.gif", "/deep/er"),
        ("/deep/er/z", "z$"),
        ("/DOCS/", "/"),
    ],
)
def test_overlapping_nested_and_regex_locations_follow_the_published_rules(path: str, pattern: str) -> None:
    for matcher in (LinearLocationMatcher(OVERLAPPING_LOCATIONS), CompiledLocationMatcher(OVERLAPPING_LOCATIONS)):
        match = matcher.find(path)
        assert match is not None and match.pattern == pattern
    assert (
        CompiledLocationMatcher(OVERLAPPING_LOCATIONS).find("/") is OVERLAPPING_LOCATIONS[1]
        and LinearLocationMatcher(OVERLAPPING_LOCATIONS).find("") is None
    )


words = st.text("ab/.", max_size=5)
kinds = st.sampled_from(["exact", "prefix", "prefix", "prefix-first", "regex", "regex-caseless", "named"])
regexes = st.sampled_from(
    ["^/a", "^/A", "b$", "^/a.b", r"\.b", "^/(a|b)", "(?i)^/ab", "^/ab|b", "a{2}", "^", "^/a[b]?", "^/ab+"]
)


def locations(depth: int) -> st.SearchStrategy[list[Location]]:
    nested_locations = locations(depth - 1) if depth else st.just([])
    return st.lists(
        st.builds(
            lambda kind, word, regex, nested: Location(
                kind, regex if kind.startswith("regex") else "/" + word, Target("p"), nested=tuple(nested)
            ),
            kinds,
            words,
            regexes,
            nested_locations,
        ),
        max_size=6,
    )


@given(locations(2), st.lists(st.text("abAB/.", max_size=7), min_size=1, max_size=8))
@settings(max_examples=400, deadline=None)
def test_the_compiled_matcher_agrees_with_the_linear_one(level: list[Location], paths: list[str]) -> None:
    unique: list[Location] = []
    for candidate in level:
        if all((candidate.kind, candidate.pattern) != (other.kind, other.pattern) for other in unique):
            unique.append(candidate)
    compiled, linear = CompiledLocationMatcher(unique), LinearLocationMatcher(unique)
    for path in paths:
        actual, expected = compiled.find("/" + path), linear.find("/" + path)
        # A prefix and a prefix-first location may have the same pattern; either of them is accepted.
        have_matching_kinds = (
            actual is not None
            and expected is not None
            and (actual.kind == expected.kind or {actual.kind, expected.kind} == {"prefix", "prefix-first"})
        )
        assert actual is expected or (have_matching_kinds and actual.pattern == expected.pattern)  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("pattern", "literal_prefix"),
    [
        ("^/api/v1", "/api/v1"),
        ("/api", ""),
        ("^/a|b", ""),
        ("(?i)^/a", ""),
        ("^/a+", "/"),
        (r"^/a\.b", "/a.b"),
        ("^", ""),
        ("^/é", ""),
        ("(", ""),
    ],
)
def test_literal_prefixes_of_regular_expressions(pattern: str, literal_prefix: str) -> None:
    assert find_literal_prefix(pattern) == literal_prefix


@pytest.mark.parametrize(
    ("path", "normalized"),
    [
        ("/a/../b", "/b"),
        ("/a//b", "/a/b"),
        ("/%61/b?x=/../", "/a/b"),
        ("/../..", "/"),
        ("/a/./", "/a/"),
        ("/a/b/..", "/a/"),
        ("/", "/"),
        ("/a#b", "/a"),
    ],
)
def test_paths_are_normalized(path: str, normalized: str) -> None:
    assert normalize_path(path) == normalized


@pytest.mark.parametrize(
    ("host_name", "matched_name"),
    [
        ("x.org", "x.org"),
        ("X.ORG:8080", "x.org"),
        ("a.x.org", "*.x.org"),
        ("a.b.x.org", "*.b.x.org"),
        ("www.any", "www.*"),
        ("y.net", ".y.net"),
        ("q.y.net", ".y.net"),
        ("n12.zz", r"~^n\d+"),
        ("else", "_"),
        ("", "_"),
        ("x.org.", "x.org"),
    ],
)
def test_hosts_match_by_name_then_wildcard_then_regex_then_default(host_name: str, matched_name: str) -> None:
    hosts = [
        VirtualHost((name,), is_default=name == "_")
        for name in ("a.org", "*.x.org", r"~^n\d+", "www.*", "x.org", "*.b.x.org", ".y.net", "_")
    ]
    host = VirtualHostTable(hosts).find(host_name)
    assert host is not None and host.names == (matched_name,)


def test_maps_and_splits_choose_values() -> None:
    variable_map = VariableMap("$x", (("~^b", "B"), ("b1", "exact"), ("*.org", "tail"), ("~*C$", "C")), "other", True)
    assert [map_value(variable_map, value) for value in ("b1", "b2", "a.org", "xc", "z", "B2")] == [
        "exact",
        "B",
        "tail",
        "C",
        "other",
        "other",
    ]
    split = WeightedSplit("$x", ((2500, "a"), (2500, "b")), "c")
    counts = Counter(split_value(split, f"10.0.{number // 256}.{number % 256}") for number in range(8_000))
    assert 1_700 < counts["a"] < 2_300 and 1_700 < counts["b"] < 2_300 and 3_600 < counts["c"] < 4_400
    assert murmur_hash_2(b"") == 0 and len({murmur_hash_2(bytes([byte])) for byte in range(256)}) == 256


def test_evaluation_of_cyclic_variables_terminates() -> None:
    routing = Routing(maps={"a": VariableMap("$b", (), "$a"), "b": VariableMap("$a", (), "x")})
    assert (
        Router(routing).variables.value("a", {}) == "$a"
        and Router(Routing(maps={"a": VariableMap("$a", (("q", "p"),), "")})).variables.value("a", {}) == ""
    )


# Import and export of nginx configurations


def import_files(folder: Path, **files: str) -> tuple[Routing, list[ReportLine]]:
    """Write the files to the folder and import the first of them."""
    for name, body in files.items():
        (folder / f"{name}.conf").write_text(body)
    return NginxImporter(
        crossplane.parse(str(folder / f"{next(iter(files))}.conf"), check_ctx=False, check_args=False)["config"]
    ).run()


def find_results(lines: list[ReportLine], directive: str) -> list[tuple[Verdict, str]]:
    """Return the verdicts and reasons of the directives that begin with this text."""
    return [(line.verdict, line.reason) for line in lines if line.directive.startswith(directive)]


def test_upstreams_are_imported_and_differences_reported(tmp_path: Path) -> None:
    routing, lines = import_files(
        tmp_path,
        a="""
        upstream u {
            server 10.0.0.1 weight=5 max_fails=3 fail_timeout=1m30s;
            server 10.0.0.2:81 backup max_conns=20;
            server 10.0.0.3:80 down slow_start=500ms;
            server 10.0.0.4:80 weight=0;
            server unix:/x.sock;
            server 10.0.0.5:80 route=a;
            zone z 64k;
            fair;
        }
        upstream h { hash $uri consistent; server a:1; server b:2 backup; }
    """,
    )
    assert routing.pools["u"].servers == (
        Server("10.0.0.1:80", 5, max_fails=3, fail_timeout=90.0),
        Server("10.0.0.2:81", backup=True, max_connections=20),
        Server("10.0.0.3:80", down=True, slow_start=0.5),
        Server("10.0.0.5:80"),
    )
    assert find_results(lines, "server 10.0.0.4") == [
        (Verdict.NOT_CARRIED, "value '0' is not a whole number of at least 1")
    ]
    assert find_results(lines, "server unix")[0][0] is Verdict.NOT_CARRIED and find_results(
        lines, "server 10.0.0.5"
    ) == [(Verdict.CHANGED, "without route=a")]
    assert (
        find_results(lines, "fair") == [(Verdict.NOT_CARRIED, "not supported")]
        and find_results(lines, "zone")[0][0] is Verdict.CHANGED
    )
    assert (
        routing.pools["h"].servers == (Server("a:1"),)
        and "backup cannot be combined with a hash method" in find_results(lines, "upstream h")[1][1]
    )
    assert [line.line for line in lines if line.directive == "fair"] == [10]


def test_retry_policies_belong_to_locations_not_to_upstreams(tmp_path: Path) -> None:
    routing, _ = import_files(
        tmp_path,
        a="""
        server { server_name one; proxy_next_upstream error http_503; proxy_next_upstream_tries 3;
            location / { proxy_pass http://u; } location /b { proxy_pass http://u; proxy_next_upstream off; } }
        server { server_name two; proxy_next_upstream_timeout 2s; location / { proxy_pass http://u/; } }
        upstream u { server a:1; }
    """,
    )
    first_host, second_host = routing.hosts
    assert [location.retry for location in first_host.locations] == [
        RetryPolicy(("error", "http_503"), 3),
        RetryPolicy((), 3),
    ]
    assert second_host.locations[0].retry == RetryPolicy(timeout=2.0) and second_host.locations[0].target == Target(
        "u", path="/"
    )


def test_directives_that_depend_on_conditions_or_variables_are_reported_and_not_imported(tmp_path: Path) -> None:
    routing, lines = import_files(
        tmp_path,
        a="""
        server { listen 80 http2; if ($host = x) { return 301 /; } rewrite ^/a /b; set $x 1;
            location /a { if ($arg_x) { proxy_pass http://evil; } proxy_pass http://$pool; }
            location /b { proxy_pass http://pre$pool; } location /c { proxy_pass http://u/$1; } location ~ ^/d { proxy_pass http://u/x; }
            location /e { proxy_pass $whole; } location /f { proxy_pass https://1.2.3.4; } location ~ (( { return 404; }
            location /g { return 301 http://x/; } location /h { try_files $uri @q; } location @q { proxy_pass http://u; } location = /i { location /i/j { return 200; } } }
        upstream u { server a:1; }
    """,
    )
    imported = {location.pattern: location for location in routing.hosts[0].locations}
    assert imported["/a"].target == Target(variable="pool") and "evil" not in routing.pools
    assert all(imported[path].target is None for path in ("/b", "/c", "^/d", "/e", "/g", "/h")) and "((" not in imported
    assert routing.pools["1.2.3.4"].servers == (Server("1.2.3.4:443"),) and imported["/i"].nested == ()
    for directive in (
        "if $host",
        "rewrite",
        "set",
        "if $arg_x",
        "proxy_pass http://pre$pool",
        "proxy_pass http://u/$1",
        "proxy_pass http://u/x",
        "proxy_pass $whole",
        "location ~ ((",
        "try_files",
        "location /i/j",
    ):
        assert find_results(lines, directive) and all(
            verdict is Verdict.NOT_CARRIED for verdict, _ in find_results(lines, directive)
        ), directive
    assert (
        find_results(lines, "listen") == [(Verdict.CHANGED, "without http2")]
        and find_results(lines, "location @q")[0][0] is Verdict.CHANGED
    )


def test_missing_repeated_and_cyclic_includes(tmp_path: Path) -> None:
    routing, lines = import_files(
        tmp_path,
        a="http { include ups.conf; include ups.conf; include none.conf; server { include loc.conf; include deep.conf; } }",
        ups="upstream u { server a:1; }",
        loc="location /x { proxy_pass http://u; }",
        deep="location /y { include loc.conf; }\ninclude circle.conf;",
        circle="include deep.conf;",
    )
    host = routing.hosts[0]
    assert [location.pattern for location in host.locations] == ["/x", "/y"] and host.locations[1].nested[
        0
    ].pattern == "/x"
    assert (Verdict.NOT_CARRIED, "an upstream 'u' is already defined") in find_results(lines, "upstream u")
    assert any("include cycle: a.conf -> deep.conf -> circle.conf -> deep.conf" in line.reason for line in lines)
    assert any(line.verdict is Verdict.NOT_CARRIED and "none.conf" in str(line) for line in lines)


def test_limits_maps_and_splits_are_imported(tmp_path: Path) -> None:
    routing, lines = import_files(
        tmp_path,
        a="""
        limit_req_zone $remote_addr zone=r:10m rate=120r/m; limit_conn_zone $host zone=c:1m;
        map $http_host $p { hostnames; default u; *.x v; ~(bad w; ~^n v; a b c; }
        split_clients $remote_addr $s { 60% u; 0.5% v; 50% v; * u; }
        server { limit_conn c 5; location / { proxy_pass http://$p; limit_req zone=r burst=4; limit_req zone=none; } location /k { proxy_pass http://$s; } }
        upstream u { server a:1; } upstream v { server b:1; }
    """,
    )
    first, second = routing.hosts[0].locations
    assert first.limits == (RequestLimit("$remote_addr", 2.0, 4),) and second.limits == (
        RequestLimit("$host", max_concurrent=5),
    )
    assert routing.maps["p"] == VariableMap("$http_host", (("*.x", "v"), ("~^n", "v")), "u", True)
    assert routing.splits["s"] == WeightedSplit("$remote_addr", ((6000, "u"), (50, "v")), "u")
    assert (
        find_results(lines, "limit_req zone=none")
        == [(Verdict.NOT_CARRIED, "zone 'none' is not defined before this directive")]
        and find_results(lines, "50%")[0][0] is Verdict.NOT_CARRIED
    )
    assert find_results(lines, "~(bad")[0][0] is Verdict.NOT_CARRIED and find_results(lines, "a b c") == [
        (Verdict.NOT_CARRIED, "not supported")
    ]


@pytest.mark.parametrize(("text", "seconds"), [("5", 5.0), ("1m30s", 90.0), ("500ms", 0.5), ("1h", 3600.0)])
def test_durations(text: str, seconds: float) -> None:
    assert parse_duration(text) == seconds
    with pytest.raises(DirectiveError):
        parse_duration(text + "x")


names = st.from_regex(r"[a-z]{1,6}", fullmatch=True)
servers = st.builds(
    Server,
    st.sampled_from(["a:1", "10.0.0.1:80", "b.c:99"]),
    st.integers(1, 9),
    st.booleans(),
    st.booleans(),
    st.integers(0, 5),
    st.integers(0, 4),
    st.sampled_from([10.0, 2.0, 0.5]),
    st.sampled_from([0.0, 30.0]),
)
patterns = st.sampled_from(
    ["/", "/a", "/a b", r"\.php$", r"^/d{2}/\d+", r"^/x\"y", "/é;", r"^/a\\b", r"\n", "/#x", r"a\\"]
)


def nested_locations(depth: int) -> st.SearchStrategy[tuple[Location, ...]]:
    inner_locations = nested_locations(depth - 1) if depth else st.just(())

    def create_location(
        kind: Any,
        pattern: str,
        target: Target | None,
        status: int,
        max_attempts: int,
        limits: tuple[RequestLimit, ...],
        nested: tuple[Location, ...],
    ) -> Location:
        if kind.startswith("regex") and target is not None:
            target = Target(target.pool, target.variable)
        if kind == "exact":
            nested = ()
        if not kind.startswith("regex"):
            pattern = "/" + pattern.lstrip("/^~=@*")
        return Location(kind, pattern, target, status, RetryPolicy(max_attempts=max_attempts), limits, nested)

    targets = st.sampled_from([None, Target("p"), Target("p", path="/z"), Target(variable="v")])
    limits = st.sampled_from([(), (RequestLimit("$host", 2.0, 3),), (RequestLimit("$host", max_concurrent=3),)])
    return st.lists(
        st.builds(
            create_location,
            st.sampled_from(["exact", "prefix", "prefix-first", "regex", "regex-caseless"]),
            patterns,
            targets,
            st.sampled_from([0, 404]),
            st.sampled_from([0, 0, 2]),
            limits,
            inner_locations,
        ),
        max_size=3,
    ).map(tuple)


routings = st.builds(
    lambda pool_servers, method, hosts, cases: Routing(
        {
            "p": Pool(
                "p",
                tuple(server for server in pool_servers if not (server.backup and method in ("hash", "address-hash"))),
                method,
                "$uri" if method == "hash" else "",
                method == "hash",
                4,
            )
        },
        tuple(hosts),
        {"v": VariableMap("$host", tuple(cases), "p")},
        {"w": WeightedSplit("$host", ((3300, "p"),), "q")},
    ),
    st.lists(servers, min_size=1, max_size=3),
    st.sampled_from(["weights", "least-connections", "address-hash", "hash"]),
    st.lists(
        st.builds(
            VirtualHost,
            st.lists(names, max_size=2, unique=True).map(tuple),
            st.sampled_from(["80", "127.0.0.1:81"]),
            st.booleans(),
            nested_locations(1),
        ),
        max_size=2,
    ),
    st.lists(st.tuples(st.sampled_from(["a", "~^b c", "*.d"]), names), max_size=2, unique_by=lambda case: case[0]),
)


def with_inherited_policies(routing: Routing) -> Routing:
    """Return the routing with retries and limits passed on to nested locations as nginx does."""

    def inherit(location: Location, parent: Location | None) -> Location:
        limits = location.limits or (parent.limits if parent else ())
        max_attempts = location.retry.max_attempts or (parent.retry.max_attempts if parent else 0)
        without_nested = Location(
            location.kind,
            location.pattern,
            location.target,
            location.status,
            RetryPolicy(max_attempts=max_attempts),
            limits,
        )
        return Location(
            without_nested.kind,
            without_nested.pattern,
            without_nested.target,
            without_nested.status,
            without_nested.retry,
            without_nested.limits,
            tuple(inherit(nested, without_nested) for nested in location.nested),
        )

    hosts = tuple(
        VirtualHost(
            host.names, host.listen, host.is_default, tuple(inherit(location, None) for location in host.locations)
        )
        for host in routing.hosts
    )
    return Routing(routing.pools, hosts, routing.maps, routing.splits)


@given(routings)
@settings(max_examples=150, deadline=None)
def test_exported_routing_is_imported_unchanged(tmp_path_factory: pytest.TempPathFactory, routing: Routing) -> None:
    folder = tmp_path_factory.mktemp("nginx")
    imported, lines = import_files(folder, a=export_blocks(routing))
    assert imported == with_inherited_policies(routing), "\n".join(map(str, lines))


@given(routings)
@settings(max_examples=80, deadline=None)
def test_routing_written_as_records_is_read_unchanged(
    tmp_path_factory: pytest.TempPathFactory, routing: Routing
) -> None:
    path = tmp_path_factory.mktemp("rec") / "a.rec"
    path.write_text(format_routing(routing), encoding="utf-8")
    assert read_routing(path) == routing


@given(st.text(max_size=8).filter(lambda text: "\n" not in text and "\r" not in text and "\0" not in text))
@settings(max_examples=150)
def test_quoted_words_are_unescaped_unchanged(word: str) -> None:
    quoted = quote_word(word)
    assert unescape_word(quoted[1:-1] if quoted.startswith('"') else quoted) == word
    with pytest.raises(ExportError):
        quote_word("a\nb")


@pytest.mark.parametrize(
    ("body", "error_text"),
    [
        ('hosts: [{locations: [{pattern: "/", target: {pool: "u"}}]}]', "pool 'u' is not defined"),
        ('hosts: [{locations: [{kind: "regex", pattern: "((", status: 404}]}]', "invalid regular expression"),
        ('hosts: [{locations: [{pattern: "/", target: {scheme: "https"}}]}]', "either a pool or a variable, not both"),
        ('pools: {u: {servers: [{address: "nope"}]}}', "address"),
        ('hosts: [{locations: [{pattern: "/", within: [{pattrn: "/a"}]}]}]', "pattern"),
    ],
)
def test_invalid_routing_records_are_reported_with_their_position(tmp_path: Path, body: str, error_text: str) -> None:
    path = tmp_path / "a.rec"
    path.write_text(body)
    with pytest.raises(InvalidConfigurationError) as raised:
        read_routing(path)
    assert any(
        error_text in str(diagnostic) and "a.rec:1:" in str(diagnostic) for diagnostic in raised.value.diagnostics
    ), raised.value.diagnostics


def test_import_route_and_export_commands(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text(
        "upstream u { server a:1; }\nserver { server_name x; location / { proxy_pass http://u/z/; fancy on; } }"
    )
    out = tmp_path / "a.rec"
    run = CliRunner().invoke
    assert (
        run(
            main, ["import", "nginx", str(tmp_path / "a.conf"), "--out", str(out), "--report", str(tmp_path / "r")]
        ).exit_code
        == 0
    )
    assert "a.conf:2: fancy on: NOT carried" in (tmp_path / "r").read_text()
    assert run(main, ["import", "nginx", str(tmp_path / "a.conf"), "--out", str(out), "--strict"]).exit_code == 1
    result = run(main, ["route", str(out), "x", "/q?a=1"])
    assert result.exit_code == 0 and "pool      u" in result.output and "asks for  /z/q?a=1" in result.output
    assert "proxy_pass http://u/z/;" in run(main, ["export", "nginx", str(out)]).output
    before = out.read_text()
    (tmp_path / "a.conf").write_text("upstream u { server a:1; ")
    assert (
        run(main, ["import", "nginx", str(tmp_path / "a.conf"), "--out", str(out)]).exit_code == 2
        and out.read_text() == before
    )
    assert run(main, ["import", "nginx", str(tmp_path / "none.conf")]).exit_code == 2


# Traffic


def test_requests_are_forwarded_by_the_imported_routing(tmp_path: Path) -> None:
    async def run_requests() -> None:
        ports = free_ports(5)
        received: list[tuple[int, str]] = []

        def create_backend(number: int) -> Any:
            async def respond(request: Request, _writer: asyncio.StreamWriter) -> Response:
                received.append((number, request.target))
                if request.target.startswith("/slow"):
                    await asyncio.sleep(0.3)
                return Response(503 if number == 2 else 200, {"x-backend": str(number)})

            return respond

        for number in range(3):
            await HttpServer(create_backend(number)).start("127.0.0.1", ports[number])
        (tmp_path / "a.conf").write_text(f"""
            upstream one {{ server 127.0.0.1:{ports[0]} weight=3; server 127.0.0.1:{ports[1]}; }}
            upstream safe {{ server 127.0.0.1:{ports[4]}; server 127.0.0.1:{ports[1]} backup; }}
            upstream bad {{ server 127.0.0.1:{ports[2]} weight=1000; server 127.0.0.1:{ports[0]}; }}
            map $http_team $by {{ default one; red safe; }}
            limit_req_zone $remote_addr zone=r:1m rate=1r/m; limit_conn_zone $remote_addr zone=c:1m;
            server {{ server_name x;
                location / {{ proxy_pass http://one; }}
                location /static/ {{ proxy_pass http://safe/files/; location ~ [.]gif$ {{ return 404; }} }}
                location ^~ /static/raw/ {{ proxy_pass http://safe; }}
                location /bad {{ proxy_pass http://bad; proxy_next_upstream http_503; }}
                location /once {{ proxy_pass http://bad; proxy_next_upstream off; }}
                location /by {{ proxy_pass http://$by; }}
                location /few {{ proxy_pass http://one; limit_req zone=r burst=2 nodelay; }}
                location /slow {{ proxy_pass http://one; limit_conn c 1; }}
            }}""")
        result = CliRunner().invoke(
            main, ["import", "nginx", str(tmp_path / "a.conf"), "--out", str(tmp_path / "a.rec"), "--strict"]
        )
        assert result.exit_code == 0, result.output
        parameters = RoutingProxyParameters(
            port=ports[3], routing=str(tmp_path / "a.rec"), record=str(tmp_path / "r.jsonl")
        )
        task = asyncio.create_task(SimulatedRoutingProxy(parameters).run())
        await asyncio.sleep(0.1)

        async def fetch(path: str, **headers: str) -> Response:
            return await fetch_once(("127.0.0.1", ports[3]), Request("GET", path, headers), 5.0)

        requests_by_backend = Counter([(await fetch("/w")).headers["x-backend"] for _ in range(120)])
        assert 70 < requests_by_backend["0"] < 110
        # The pool `safe` has a server that refuses connections, so its backup gets the requests. The target of /static/
        # has a path of its own, and the location overlaps with a nested one and a prefix-first one.
        assert (await fetch("/static/a.css?v=1")).headers["x-backend"] == "1" and received[-1] == (
            1,
            "/files/a.css?v=1",
        )
        assert (await fetch("/static/a.gif")).status == 404
        assert (await fetch("/static/raw/a.gif")).status == 200 and received[-1] == (1, "/static/raw/a.gif")
        assert (await fetch("/bad")).status == 200 and (await fetch("/once")).status == 503
        assert (await fetch("/by", team="red")).headers["x-backend"] == "1"
        statuses = [(await fetch("/few", **{"x-client": "c"})).status for _ in range(5)]
        assert statuses == [200, 200, 200, 503, 503] and (await fetch("/few", **{"x-client": "d"})).status == 200
        responses = await asyncio.gather(fetch("/slow", **{"x-client": "c"}), fetch("/slow", **{"x-client": "c"}))
        assert sorted(response.status for response in responses) == [200, 503]
        task.cancel()

    asyncio.run(run_requests())


def test_the_compiled_matcher_agrees_with_the_linear_one_on_many_locations() -> None:
    rng = Random(4)
    level = (
        [location("prefix", f"/{number % 97}/{number}") for number in range(600)]
        + [location("regex", f"^/r{number}/") for number in range(300)]
        + [location("regex", r"\.x$")]
    )
    compiled, linear = CompiledLocationMatcher(level), LinearLocationMatcher(level)
    for _ in range(300):
        number = rng.randrange(700)
        path = rng.choice([f"/{number % 97}/{number}/a", f"/r{number}/b", f"/r{number}/b.x", "/none", f"/{number}"])
        assert compiled.find(path) is linear.find(path)
