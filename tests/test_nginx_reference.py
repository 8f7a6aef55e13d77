"""The reference evaluator against cases of nginx's documentation: server, location, what is passed on."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltpoint.importers.nginx.reference.locations import Found, find, passed_path
from basaltpoint.importers.nginx.reference.servers import choose_server, parse_servers
from basaltpoint.importers.nginx.reference.uri import TargetError, escape, host_name, normalize
from basaltpoint.importers.nginx.source import Directive, SourceError, read


def http(tmp_path: Path, text: str) -> Directive:
    path = tmp_path / "nginx.conf"
    path.write_text("http {\n" + text + "\n}\n")
    return read(path)[0]


def server(tmp_path: Path, text: str) -> Directive:
    return next(http(tmp_path, "server {\n" + text + "\n}").all("server"))


# --- Targets --------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("target", "path", "args"),
    [
        (b"/a/b?x=/../y", b"/a/b", b"?x=/../y"),
        (b"//a///b/", b"/a/b/", b""),
        (b"/a/./b/../c", b"/a/c", b""),
        (b"/a/..", b"/", b""),
        (b"/a/.", b"/a/", b""),
        (b"/%61%2Fb", b"/a/b", b""),  # an escaped slash is a slash here
        (b"/a%2f%2E%2e/b", b"/b", b""),
        (b"/a%3Fb%23c%25d", b"/a?b#c%d", b""),
        (b"/a#frag?x", b"/a", b""),
        (b"/caf%C3%A9", "/café".encode(), b""),
        (b"/...", b"/...", b""),
    ],
)
def test_a_target_is_decoded_and_made_plain(target: bytes, path: bytes, args: bytes) -> None:
    assert normalize(target) == (path, args)


def test_slashes_stay_where_they_are_not_merged() -> None:
    assert normalize(b"//a//b", merge_slashes=False) == (b"//a//b", b"")


@pytest.mark.parametrize(
    "target", [b"", b"a", b"/..", b"/a/../../b", b"/%2e%2e", b"/%", b"/%4", b"/%zz", b"/%00", b"/a\0"]
)
def test_a_target_that_nginx_turns_down_has_no_path(target: bytes) -> None:
    with pytest.raises(TargetError):
        normalize(target)


@given(st.binary(max_size=40).map(lambda raw: b"/" + raw))
def test_an_escaped_path_reads_as_itself(raw: bytes) -> None:
    try:
        path, _ = normalize(raw)
    except TargetError:
        return
    assert normalize(escape(path)) == (path, b"")


@pytest.mark.parametrize(
    ("header", "name"),
    [("Example.ORG.", "example.org"), ("a:8080", "a"), ("[::1]:80", "[::1]"), ("", ""), (None, "")],
)
def test_a_host_loses_its_port_and_closing_dot(header: str | None, name: str) -> None:
    assert host_name(header) == name


# --- Server blocks --------------------------------------------------------------------------------
NAMES = """
server { listen 80; server_name first.org; }
server { listen 80 default_server; server_name fallback.org; }
server { listen 80; server_name *.example.org; }
server { listen 80; server_name *.deep.example.org; }
server { listen 80; server_name mail.*; }
server { listen 80; server_name mail.example.*; }
server { listen 80; server_name ~^(?<user>\\w+)\\.example\\.net$; }
server { listen 80; server_name ~^a.*\\.example\\.net$; }
server { listen 80; server_name www.example.org Other.Example.NET.; }
server { listen 80; server_name .both.org; }
server { listen 127.0.0.1:80; server_name local.org; }
server { listen 81; }
"""


@pytest.mark.parametrize(
    ("host", "name"),
    [
        ("first.org", "first.org"),
        ("www.example.org", "www.example.org"),  # exact before wildcards
        ("x.example.org", "*.example.org"),
        ("x.deep.example.org", "*.deep.example.org"),  # the longest of those that begin with an asterisk
        ("mail.example.org", "*.example.org"),  # which go before those that end with one
        ("mail.net", "mail.*"),
        ("mail.example.de", "mail.example.*"),
        ("anna.example.net", "~^(?<user>\\w+)\\.example\\.net$"),  # the first expression, as written
        ("a-b.example.net", "~^a.*\\.example\\.net$"),
        ("other.example.net", "other.example.net"),
        ("both.org", ".both.org"),
        ("x.both.org", ".both.org"),
        ("example.org", ""),  # no wildcard holds it: the default
        ("local.org", ""),  # that name is of another address
        ("", ""),
    ],
)
def test_a_host_finds_its_server(tmp_path: Path, host: str, name: str) -> None:
    chosen = choose_server(parse_servers(http(tmp_path, NAMES)), "10.0.0.1", 80, host)
    assert chosen and chosen.name == name
    if not name:
        assert chosen.server.names == ("fallback.org",)


def test_an_address_of_its_own_goes_before_any_host(tmp_path: Path) -> None:
    servers = parse_servers(http(tmp_path, NAMES))
    chosen = choose_server(servers, "127.0.0.1", 80, "first.org")
    assert chosen and chosen.server.names == ("local.org",)
    assert choose_server(servers, "10.0.0.1", 82, "first.org") is None
    unnamed = choose_server(servers, "10.0.0.1", 81, "whatever.org")
    assert unnamed and unnamed.server.names == ("",)


def test_an_expression_captures(tmp_path: Path) -> None:
    chosen = choose_server(parse_servers(http(tmp_path, NAMES)), "10.0.0.1", 80, "anna.example.net")
    assert chosen and dict(chosen.captures) == {"1": "anna", "user": "anna"}


def test_the_first_block_is_the_default_where_none_says_so(tmp_path: Path) -> None:
    blocks = parse_servers(http(tmp_path, "server { server_name a; } server { server_name b; }"))
    chosen = choose_server(blocks, "10.0.0.1", 80, "c")
    assert chosen and chosen.server.names == ("a",)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (
            "server { listen 80 default_server; }\nserver { listen *:80 default; }",
            "a second default server for",
        ),
        ("server { listen a:b; }", "'b' is no port"),
        ("server { listen 70000; }", "'70000' is no port"),
    ],
)
def test_addresses_that_cannot_be_are_told(tmp_path: Path, text: str, told: str) -> None:
    with pytest.raises(SourceError, match=told):
        parse_servers(http(tmp_path, text))


@pytest.mark.parametrize(
    "expression", ["(a", "\\Ka", "(?R)", "[[:alpha:]]", "\\Qa", "(*FAIL)", "[(?<]", "a\\h"]
)
def test_an_expression_with_no_meaning_here_is_refused_with_its_place(
    tmp_path: Path, expression: str
) -> None:
    block = server(tmp_path, f"location ~ '{expression}' {{ }}")
    with pytest.raises(SourceError, match=r"nginx\.conf:3: the expression"):
        find(block, b"/a")


# --- Locations ------------------------------------------------------------------------------------
def place(found: Found) -> str:
    return " ".join(found.location.block.args) if found.location else "none"


DOCUMENTED = """
location = / { }
location / { }
location /documents/ { }
location ^~ /images/ { }
location ~* \\.(gif|jpg|jpeg)$ { }
"""


@pytest.mark.parametrize(
    ("path", "location"),
    [
        (b"/", "= /"),
        (b"/index.html", "/"),
        (b"/documents/document.html", "/documents/"),
        (b"/images/1.gif", "^~ /images/"),
        (b"/documents/1.JPG", "~* \\.(gif|jpg|jpeg)$"),
        (b"/documents", "/"),  # nothing is proxied there: no redirect
    ],
)
def test_the_location_of_the_documentations_own_example(tmp_path: Path, path: bytes, location: str) -> None:
    assert place(find(server(tmp_path, DOCUMENTED), path)) == location


NESTED = """
location /a {
    location /a/b { location ~ \\.x$ { } }
    location = /a/c { }
    location ^~ /a/d { location /a/d/e { } }
}
location ~ ^/a/b/outer { location ~ deep { } }
location ~ \\.x$ { }
location ~ ^/a/d { }
location @named { }
"""


@pytest.mark.parametrize(
    ("path", "location"),
    [
        (b"/a/1", "/a"),
        (b"/a/b/1", "/a/b"),
        (b"/a/b/1.x", "~ \\.x$"),  # the inner expression ends the search
        (b"/a/b/outer", "~ ^/a/b/outer"),  # a nested prefix does not keep outer expressions off
        (b"/a/b/outer/deep", "~ deep"),
        (b"/a/c", "= /a/c"),
        (b"/a/d/1", "~ ^/a/d"),  # `^~` holds on its own level alone
        (b"/a/e.x", "~ \\.x$"),
        (b"/other", "none"),
        (b"@named", "none"),
    ],
)
def test_nested_locations_are_searched_level_by_level(tmp_path: Path, path: bytes, location: str) -> None:
    found = find(server(tmp_path, NESTED), path)
    assert place(found) == location
    if path == b"/a/b/1.x":
        assert found.location and found.location.block.place.line == 5


def test_the_longest_prefix_wins_in_whatever_order_they_stand(tmp_path: Path) -> None:
    for text in ("location /ab { } location /a { }", "location /a { } location /ab { }"):
        assert place(find(server(tmp_path, text), b"/abc")) == "/ab"


def test_expressions_go_in_the_order_they_stand(tmp_path: Path) -> None:
    assert place(find(server(tmp_path, "location ~ b { } location ~ ^/abc$ { }"), b"/abc")) == "~ b"


SLASHED = "location /a/ { proxy_pass http://u; }\nlocation ~ ^/a { }\nlocation / { }"


def test_a_proxied_prefix_with_a_slash_redirects_the_path_without(tmp_path: Path) -> None:
    """Before any expression is asked, and unless a location for that very path stands beside it."""
    assert find(server(tmp_path, SLASHED), b"/a").redirect == b"/a/"
    assert find(server(tmp_path, SLASHED), b"/a/").redirect == b""
    for more in ("location = /a { }", "location ^~ /a { }"):
        found = find(server(tmp_path, SLASHED + more), b"/a")
        assert found.redirect == b"" and place(found).endswith(" /a")
    assert find(server(tmp_path, SLASHED.replace("proxy_pass http://u", "root /srv")), b"/a").redirect == b""


# --- What goes on ---------------------------------------------------------------------------------
def passed(found: Found, path: bytes, raw: bytes, changed: bool = False) -> bytes:
    assert found.location
    proxy = found.location.block.last("proxy_pass")
    assert proxy
    return passed_path(found.location, proxy, path, raw, changed)


@pytest.mark.parametrize(
    ("location", "url", "raw", "sent"),
    [
        ("/name/", "http://u/remote/", b"/name/x%20y", b"/remote/x%20y"),
        ("/name/", "http://u/", b"/name//x/../y", b"/y"),
        ("/name", "http://u/remote", b"/name/x", b"/remote/x"),
        ("/name/", "http://u", b"/name//x%2Fy", b"/name//x%2Fy"),  # as it came
        ("= /name", "http://u/other", b"/name", b"/other"),
        ("~ ^/na", "http://u", b"/name/%7Ex", b"/name/%7Ex"),
        ("/", "http://u/sub/", b"/caf%C3%A9?", b"/sub/caf%C3%A9"),
        ("/", "http://unix:/run/s.sock", b"/a", b"/a"),
        ("/", "http://unix:/run/s.sock:/b/", b"/a", b"/b/a"),
    ],
)
def test_the_path_that_goes_on(tmp_path: Path, location: str, url: str, raw: bytes, sent: bytes) -> None:
    block = server(tmp_path, f"location {location} {{ proxy_pass {url}; }}")
    path, _ = normalize(raw)
    found = find(block, path)
    assert passed(found, path, raw.partition(b"?")[0]) == sent


def test_a_changed_path_goes_on_as_it_was_changed_to(tmp_path: Path) -> None:
    block = server(tmp_path, "location / { proxy_pass http://u; }")
    found = find(block, b"/new path")
    assert passed(found, b"/new path", b"/old", changed=True) == b"/new%20path"


def test_a_path_of_its_own_under_an_expression_is_refused(tmp_path: Path) -> None:
    block = server(tmp_path, "location ~ ^/a { proxy_pass http://u/b; }")
    found = find(block, b"/a")
    with pytest.raises(SourceError, match=r"nginx\.conf:3: .*can't have a path"):
        passed(found, b"/a", b"/a")
