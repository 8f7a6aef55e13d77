"""Routes, normalization of paths, and accounts, without I/O."""

from __future__ import annotations

import hashlib
from ipaddress import ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltpoint.interface import Effect
from basaltpoint.routing import regex
from basaltpoint.routing.accounts import (
    ANONYMOUS_BASE,
    Account,
    Accounts,
    IdentitySettings,
    KeyPolicy,
    UnknownClient,
    anonymous_number,
    client_address,
)
from basaltpoint.routing.path import PathError, normal_host, normal_path, split_target
from basaltpoint.routing.routes import (
    ClassRules,
    PathForm,
    Rewrite,
    Route,
    Routes,
    conditions_match,
    prefix_matches,
    wildcard_matches,
)

CLASS_RULES = ClassRules(0, Effect.SAFE, 1000.0)


# --- Paths -----------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("path", "normal"),
    [
        ("/", "/"),
        ("/a/b", "/a/b"),
        ("/a/../b", "/b"),
        ("/a/./b", "/a/b"),
        ("/a/b/..", "/a/"),
        ("/a/b/.", "/a/b/"),
        ("/a/..", "/"),
        ("//a///b//", "/a/b/"),
        ("/a//../b", "/b"),
        ("/%61%2e%2E/b", "/a../b"),
        ("/a/%2e%2e/b", "/b"),
        ("/a/%2E/b", "/a/b"),
        ("/a%2fb", "/a%2Fb"),
        ("/a/%2e%2e%2fb", "/a/..%2Fb"),
        ("/a%c3%a9", "/a%C3%A9"),
        ("/a%20b", "/a%20b"),
        ("/.hidden", "/.hidden"),
        ("/...", "/..."),
        ("/a;x=1/b", "/a;x=1/b"),
        ("/%7Euser", "/~user"),
    ],
)
def test_the_normal_form(path: str, normal: str) -> None:
    assert normal_path(path) == normal
    assert normal_path(normal) == normal


@pytest.mark.parametrize("path", ["/..", "/a/../..", "/%2e%2e/a", "/%", "/%4", "/%zz", "/a%", "a", "", "*"])
def test_paths_without_a_normal_form(path: str) -> None:
    with pytest.raises(PathError):
        normal_path(path)


PIECES = st.sampled_from(["/", "//", "a", "b", ".", "..", "%2e", "%2F", "%41", "%c3", "~", "-", ";", "%7e"])


@given(st.lists(PIECES, max_size=12).map(lambda parts: "/" + "".join(parts)))
def test_the_normal_form_is_stable_and_has_no_dot_segments(path: str) -> None:
    try:
        normal = normal_path(path)
    except PathError:
        return
    assert normal_path(normal) == normal
    segments = normal.split("/")[1:]
    assert ".." not in segments and "." not in segments and "" not in segments[:-1]


def test_targets() -> None:
    assert split_target("/a?b=c?d") == (None, "/a", "?b=c?d")
    assert split_target("http://Example.org:81/a?b") == ("Example.org:81", "/a", "?b")
    assert split_target("http://example.org") == ("example.org", "/", "")
    assert split_target("http://example.org?x") == ("example.org", "/", "?x")
    for bad in ("/a b", "/a#b", "http://", "http://u@h/", "/\x7f", ""):
        with pytest.raises(PathError):
            split_target(bad)
    assert normal_host("Example.ORG.:8080") == "example.org"
    assert normal_host("[::1]:80") == "[::1]"


# --- Routes ----------------------------------------------------------------------------------------
def route(name: str, **conditions: object) -> Route:
    return Route(name, 1, CLASS_RULES, **conditions)  # type: ignore[arg-type]


def matched_name(
    routes: Routes, path: str, host: str = "h", method: str = "GET", **headers: str
) -> str | None:
    found = routes.match(host, path, method, headers).route
    return found.name if found else None


def test_the_order_of_matching() -> None:
    routes = Routes(
        [
            route("any"),
            route("regex", path_form=PathForm.REGEX, path=r"^/a/\d+$"),
            route("prefix", path_form=PathForm.PREFIX, path="/a"),
            route("longer", path_form=PathForm.PREFIX, path="/a/b"),
            route("exact", path_form=PathForm.EXACT, path="/a/b"),
            route("posts", path_form=PathForm.EXACT, path="/a/b", methods=frozenset(["POST"])),
            route("below", path_form=PathForm.PREFIX, path="/c/"),
            route("wild", hosts=("*.example.org",)),
            route("wilder", hosts=("*.b.example.org",)),
            route("host", hosts=("a.example.org",), path_form=PathForm.PREFIX, path="/only"),
            route("first", path_form=PathForm.PREFIX, path="/a/b/c", priority=5),
        ],
        regex.ExpressionSet,
    )
    assert matched_name(routes, "/a/b") == "exact"
    assert matched_name(routes, "/a/b", method="POST") == "posts"
    assert matched_name(routes, "/a/b/x") == "longer"
    assert matched_name(routes, "/a/7") == "prefix"  # a prefix takes precedence over an expression
    assert matched_name(routes, "/a") == "prefix" and matched_name(routes, "/ab") == "any"
    assert matched_name(routes, "/c/") == "below" and matched_name(routes, "/c") == "any"
    assert matched_name(routes, "/a/b", host="x.example.org") == "wild"
    assert matched_name(routes, "/a/b", host="x.b.example.org") == "wilder"
    assert matched_name(routes, "/only", host="a.example.org") == "host"
    assert matched_name(routes, "/z", host="a.example.org") == "wild"
    assert matched_name(routes, "/", host="example.org") == "any"
    assert matched_name(routes, "/a/b/c", host="a.example.org") == "first"


def test_headers_methods_and_allowed_methods() -> None:
    routes = Routes(
        [
            route("v2", path="/a", path_form=PathForm.EXACT, headers=(("x-version", "2"),)),
            route("plain", path="/a", path_form=PathForm.EXACT, headers=(("x-version", "!"),)),
            route("some", path="/a", path_form=PathForm.EXACT, headers=(("x-version", "*"),), priority=-1),
            route("put", path="/p", path_form=PathForm.EXACT, methods=frozenset(["PUT", "PATCH"])),
        ]
    )
    assert routes.match("h", "/a", "GET", {"x-version": "2"}).route.name == "v2"  # type: ignore[union-attr]
    assert routes.match("h", "/a", "GET", {"x-version": "3"}).route.name == "some"  # type: ignore[union-attr]
    assert matched_name(routes, "/a") == "plain"
    match = routes.match("h", "/p", "GET", {})
    assert match.route is None and match.allowed_methods == {"PUT", "PATCH"}
    assert routes.match("h", "/q", "GET", {}).allowed_methods == frozenset()


def naive(routes: list[Route], host: str, path: str, method: str) -> str | None:
    """A reference that compares every route, in the documented order."""

    def rank_of(one: Route) -> tuple[int, ...] | None:
        hosts = [h for h in one.hosts if h == host or (h.startswith("*") and wildcard_matches(h, host))]
        if one.hosts and not hosts:
            return None
        path_matches = {
            PathForm.EXACT: lambda: path == one.path,
            PathForm.PREFIX: lambda: prefix_matches(one.path, path),
            PathForm.REGEX: lambda: one.path.strip("^$").split("/")[-1] in path,
            PathForm.ANY: lambda: True,
        }[one.path_form]()
        if not path_matches or not conditions_match(one, method, {}):
            return None
        best = min((h.startswith("*"), -len(h)) for h in hosts) if hosts else (2, 0)
        length = -len(one.path) if one.path_form is PathForm.PREFIX else 0
        return -one.priority, *best, one.path_form, length, -bool(one.methods), routes.index(one)

    ranked = [(rank, one.name) for one in routes if (rank := rank_of(one))]
    return min(ranked)[1] if ranked else None


SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)
PATHS = st.builds(lambda parts, end: "/" + "/".join(parts) + end, SEGMENTS, st.sampled_from(["", "/"])).map(
    lambda p: normal_path(p)
)
HOSTS = st.sampled_from(["h", "x.h", "y.x.h", "z"])
ROUTES = st.lists(
    st.builds(
        lambda form, path, hosts, methods, priority: (form, path, tuple(hosts), methods, priority),
        st.sampled_from(list(PathForm)),
        PATHS,
        st.lists(st.sampled_from(["h", "x.h", "*.h", "*.x.h"]), max_size=2, unique=True),
        st.sampled_from([frozenset(), frozenset(["GET"]), frozenset(["PUT"])]),
        st.integers(0, 1),
    ),
    max_size=8,
)


@given(ROUTES, HOSTS, PATHS, st.sampled_from(["GET", "PUT"]))
def test_matching_agrees_with_a_naive_reference(
    rows: list[tuple[PathForm, str, tuple[str, ...], frozenset[str], int]], host: str, path: str, method: str
) -> None:
    routes = []
    for at, (form, text, hosts, methods, priority) in enumerate(rows):
        if form is PathForm.REGEX:
            text = text.strip("/").split("/")[-1] or "a"
        kept = "" if form is PathForm.ANY else text
        routes.append(
            route(str(at), path_form=form, path=kept, hosts=hosts, methods=methods, priority=priority)
        )
    found = Routes(routes, regex.ExpressionSet).match(host, path, method, {}).route
    assert (found.name if found else None) == naive(routes, host, path, method)


def test_expressions_match_in_linear_time() -> None:
    """The first text takes a backtracking engine exponential time. Unsupported expressions are rejected."""
    routes = Routes([route("evil", path_form=PathForm.REGEX, path=r"^/(a+)+$")], regex.ExpressionSet)
    assert matched_name(routes, "/" + "a" * 5000 + "!") is None
    assert matched_name(routes, "/" + "a" * 5000) == "evil"
    for bad in (r"(a", r"(?=a)", r"(a)\1", "a{2000}{2000}"):
        with pytest.raises(regex.RegexError):
            regex.check_expression(bad)


def test_rewriting() -> None:
    assert Rewrite("/api/v1", "/v1").apply("/api/v1/x") == "/v1/x"
    assert Rewrite("/api", "/").apply("/api/x") == "/x"
    assert Rewrite("/api", "/").apply("/api") == "/"
    assert Rewrite("/api/", "/").apply("/api/x/") == "/x/"


# --- Accounts --------------------------------------------------------------------------------------
def accounts(**identity: object) -> Accounts:
    table = {hashlib.sha256(b"key-of-one").digest(): Account(1, 0, "one")}
    return Accounts(table, IdentitySettings(**identity))  # type: ignore[arg-type]


def test_keys() -> None:
    book = accounts()
    assert book.account_of({"x-api-key": "key-of-one"}, "9.9.9.9") == Account(1, 0, "one")
    assert book.account_of({"authorization": "bearer  key-of-one"}, "9.9.9.9") == Account(1, 0, "one")
    assert book.account_of({"x-api-key": "key-of-two"}, "9.9.9.9") == UnknownClient(True)
    assert book.account_of({"x-api-key": "x" * 100_000}, "9.9.9.9") == UnknownClient(True)
    assert book.account_of({"authorization": "Basic abc"}, "9.9.9.9") == UnknownClient(False)
    assert accounts(bearer=False).account_of({"authorization": "Bearer key-of-one"}, "") == UnknownClient(
        False
    )
    # The header takes precedence: a token does not replace an unknown key in it.
    both = {"x-api-key": "no", "authorization": "Bearer key-of-one"}
    assert book.account_of(both, "") == UnknownClient(True)


def test_anonymous_clients_are_identified_by_address() -> None:
    book = accounts(no_key=KeyPolicy.ANONYMOUS, anonymous_plan=3)
    found = book.account_of({}, "10.0.0.1")
    assert isinstance(found, Account) and found.plan == 3 and found.number >= ANONYMOUS_BASE
    assert book.account_of({"x-api-key": "no"}, "10.0.0.1") == UnknownClient(True)
    numbers = {anonymous_number(a) for a in ("10.0.0.1", "10.0.0.2", "2001:db8::1", "2001:db8:0:1::1", "odd")}
    assert len(numbers) == 5
    assert anonymous_number("2001:db8::1") == anonymous_number(
        "2001:db8::ffff"
    )  # the same network counts as one client
    assert anonymous_number("::ffff:10.0.0.1") == anonymous_number("10.0.0.1")


def test_forwarded_addresses_count_from_trusted_proxies_only() -> None:
    trusted = (ip_network("10.0.0.0/8"),)
    assert client_address("9.9.9.9", "1.1.1.1", trusted) == "9.9.9.9"
    assert client_address("10.0.0.1", "1.1.1.1", trusted) == "1.1.1.1"
    assert client_address("10.0.0.1", "8.8.8.8, 1.1.1.1, 10.0.0.2", trusted) == "1.1.1.1"
    assert client_address("10.0.0.1", "", trusted) == "10.0.0.1"
    assert client_address("10.0.0.1", "rubbish", trusted) == "10.0.0.1"
