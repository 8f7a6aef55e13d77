"""Parts of the reference evaluator against cases of nginx's documentation: server, location, proxied path."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltpoint.importers.nginx.reference.locations import LocationMatch, find_location, proxied_path
from basaltpoint.importers.nginx.reference.servers import choose_server, parse_servers
from basaltpoint.importers.nginx.reference.uri import TargetError, escape_path, host_name, normalize_target
from basaltpoint.importers.nginx.source import Directive, SourceError, read_config


def http(tmp_path: Path, text: str) -> Directive:
    path = tmp_path / "nginx.conf"
    path.write_text("http {\n" + text + "\n}\n")
    return read_config(path)[0]


def server(tmp_path: Path, text: str) -> Directive:
    return next(http(tmp_path, "server {\n" + text + "\n}").find_all("server"))


# --- Targets --------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("target", "path", "args"),
    [
        (b"/a/b?x=/../y", b"/a/b", b"?x=/../y"),
        (b"//a///b/", b"/a/b/", b""),
        (b"/a/./b/../c", b"/a/c", b""),
        (b"/a/..", b"/", b""),
        (b"/a/.", b"/a/", b""),
        (b"/%61%2Fb", b"/a/b", b""),  # an escaped slash is decoded
        (b"/a%2f%2E%2e/b", b"/b", b""),
        (b"/a%3Fb%23c%25d", b"/a?b#c%d", b""),
        (b"/a#frag?x", b"/a", b""),
        (b"/caf%C3%A9", "/café".encode(), b""),
        (b"/...", b"/...", b""),
    ],
)
def test_a_target_is_normalized(target: bytes, path: bytes, args: bytes) -> None:
    assert normalize_target(target) == (path, args)


def test_slashes_are_kept_without_merge_slashes() -> None:
    assert normalize_target(b"//a//b", merge_slashes=False) == (b"//a//b", b"")


@pytest.mark.parametrize(
    "target", [b"", b"a", b"/..", b"/a/../../b", b"/%2e%2e", b"/%", b"/%4", b"/%zz", b"/%00", b"/a\0"]
)
def test_an_invalid_target_is_rejected(target: bytes) -> None:
    with pytest.raises(TargetError):
        normalize_target(target)


@given(st.binary(max_size=40).map(lambda raw: b"/" + raw))
def test_an_escaped_path_normalizes_to_itself(raw: bytes) -> None:
    try:
        path, _ = normalize_target(raw)
    except TargetError:
        return
    assert normalize_target(escape_path(path)) == (path, b"")


@pytest.mark.parametrize(
    ("header", "name"),
    [("Example.ORG.", "example.org"), ("a:8080", "a"), ("[::1]:80", "[::1]"), ("", ""), (None, "")],
)
def test_a_host_name_has_no_port_or_final_dot(header: str | None, name: str) -> None:
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
        ("www.example.org", "www.example.org"),  # an exact name precedes wildcards
        ("x.example.org", "*.example.org"),
        ("x.deep.example.org", "*.deep.example.org"),  # the longest that starts with an asterisk
        ("mail.example.org", "*.example.org"),  # precedes those that end with an asterisk
        ("mail.net", "mail.*"),
        ("mail.example.de", "mail.example.*"),
        (
            "anna.example.net",
            "~^(?<user>\\w+)\\.example\\.net$",
        ),  # the first regex in file order
        ("a-b.example.net", "~^a.*\\.example\\.net$"),
        ("other.example.net", "other.example.net"),
        ("both.org", ".both.org"),
        ("x.both.org", ".both.org"),
        ("example.org", ""),  # no wildcard matches: the default server
        ("local.org", ""),  # that name belongs to another address
        ("", ""),
    ],
)
def test_the_server_is_chosen_by_host(tmp_path: Path, host: str, name: str) -> None:
    chosen = choose_server(parse_servers(http(tmp_path, NAMES)), "10.0.0.1", 80, host)
    assert chosen and chosen.name == name
    if not name:
        assert chosen.server.names == ("fallback.org",)


def test_an_exact_address_precedes_any_host(tmp_path: Path) -> None:
    servers = parse_servers(http(tmp_path, NAMES))
    chosen = choose_server(servers, "127.0.0.1", 80, "first.org")
    assert chosen and chosen.server.names == ("local.org",)
    assert choose_server(servers, "10.0.0.1", 82, "first.org") is None
    unnamed = choose_server(servers, "10.0.0.1", 81, "whatever.org")
    assert unnamed and unnamed.server.names == ("",)


def test_a_regex_server_name_captures(tmp_path: Path) -> None:
    chosen = choose_server(parse_servers(http(tmp_path, NAMES)), "10.0.0.1", 80, "anna.example.net")
    assert chosen and dict(chosen.captures) == {"1": "anna", "user": "anna"}


def test_the_first_server_is_the_default_if_none_is_marked(tmp_path: Path) -> None:
    blocks = parse_servers(http(tmp_path, "server { server_name a; } server { server_name b; }"))
    chosen = choose_server(blocks, "10.0.0.1", 80, "c")
    assert chosen and chosen.server.names == ("a",)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (
            "server { listen 80 default_server; }\nserver { listen *:80 default; }",
            "duplicate default server",
        ),
        ("server { listen a:b; }", "invalid port 'b'"),
        ("server { listen 70000; }", "invalid port '70000'"),
    ],
)
def test_invalid_listen_addresses_are_reported(tmp_path: Path, text: str, problem: str) -> None:
    with pytest.raises(SourceError, match=problem):
        parse_servers(http(tmp_path, text))


@pytest.mark.parametrize(
    "expression", ["(a", "\\Ka", "(?R)", "[[:alpha:]]", "\\Qa", "(*FAIL)", "[(?<]", "a\\h"]
)
def test_an_unsupported_regex_is_reported_with_its_position(tmp_path: Path, expression: str) -> None:
    block = server(tmp_path, f"location ~ '{expression}' {{ }}")
    with pytest.raises(SourceError, match=r"nginx\.conf:3: invalid or unsupported regular expression"):
        find_location(block, b"/a")


# --- Locations ------------------------------------------------------------------------------------
def location_args(found: LocationMatch) -> str:
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
        (b"/documents", "/"),  # not proxied: no redirect
    ],
)
def test_the_locations_of_the_documentations_example(tmp_path: Path, path: bytes, location: str) -> None:
    assert location_args(find_location(server(tmp_path, DOCUMENTED), path)) == location


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
        (b"/a/b/1.x", "~ \\.x$"),  # the nested regular expression ends the search
        (b"/a/b/outer", "~ ^/a/b/outer"),  # a nested prefix does not disable outer regular expressions
        (b"/a/b/outer/deep", "~ deep"),
        (b"/a/c", "= /a/c"),
        (b"/a/d/1", "~ ^/a/d"),  # `^~` applies to its own level only
        (b"/a/e.x", "~ \\.x$"),
        (b"/other", "none"),
        (b"@named", "none"),
    ],
)
def test_nested_locations_are_searched_level_by_level(tmp_path: Path, path: bytes, location: str) -> None:
    found = find_location(server(tmp_path, NESTED), path)
    assert location_args(found) == location
    if path == b"/a/b/1.x":
        assert found.location and found.location.block.position.line == 5


def test_the_longest_prefix_is_used_in_any_file_order(tmp_path: Path) -> None:
    for text in ("location /ab { } location /a { }", "location /a { } location /ab { }"):
        assert location_args(find_location(server(tmp_path, text), b"/abc")) == "/ab"


def test_regular_expressions_are_checked_in_file_order(tmp_path: Path) -> None:
    assert (
        location_args(find_location(server(tmp_path, "location ~ b { } location ~ ^/abc$ { }"), b"/abc"))
        == "~ b"
    )


SLASHED = "location /a/ { proxy_pass http://u; }\nlocation ~ ^/a { }\nlocation / { }"


def test_a_proxied_prefix_with_a_slash_redirects_the_path_without_it(tmp_path: Path) -> None:
    """The redirect precedes regular expressions, and a location for the exact path precedes it."""
    assert find_location(server(tmp_path, SLASHED), b"/a").redirect == b"/a/"
    assert find_location(server(tmp_path, SLASHED), b"/a/").redirect == b""
    for more in ("location = /a { }", "location ^~ /a { }"):
        found = find_location(server(tmp_path, SLASHED + more), b"/a")
        assert found.redirect == b"" and location_args(found).endswith(" /a")
    assert (
        find_location(server(tmp_path, SLASHED.replace("proxy_pass http://u", "root /srv")), b"/a").redirect
        == b""
    )


# --- Proxied paths --------------------------------------------------------------------------------
def proxied(found: LocationMatch, path: bytes, raw: bytes, changed: bool = False) -> bytes:
    assert found.location
    proxy = found.location.block.find_last("proxy_pass")
    assert proxy
    return proxied_path(found.location, proxy, path, raw, changed)


@pytest.mark.parametrize(
    ("location", "url", "raw", "sent"),
    [
        ("/name/", "http://u/remote/", b"/name/x%20y", b"/remote/x%20y"),
        ("/name/", "http://u/", b"/name//x/../y", b"/y"),
        ("/name", "http://u/remote", b"/name/x", b"/remote/x"),
        ("/name/", "http://u", b"/name//x%2Fy", b"/name//x%2Fy"),  # as received
        ("= /name", "http://u/other", b"/name", b"/other"),
        ("~ ^/na", "http://u", b"/name/%7Ex", b"/name/%7Ex"),
        ("/", "http://u/sub/", b"/caf%C3%A9?", b"/sub/caf%C3%A9"),
        ("/", "http://unix:/run/s.sock", b"/a", b"/a"),
        ("/", "http://unix:/run/s.sock:/b/", b"/a", b"/b/a"),
    ],
)
def test_the_proxied_path(tmp_path: Path, location: str, url: str, raw: bytes, sent: bytes) -> None:
    block = server(tmp_path, f"location {location} {{ proxy_pass {url}; }}")
    path, _ = normalize_target(raw)
    found = find_location(block, path)
    assert proxied(found, path, raw.partition(b"?")[0]) == sent


def test_a_rewritten_path_is_proxied_as_rewritten(tmp_path: Path) -> None:
    block = server(tmp_path, "location / { proxy_pass http://u; }")
    found = find_location(block, b"/new path")
    assert proxied(found, b"/new path", b"/old", changed=True) == b"/new%20path"


def test_a_proxy_pass_uri_in_a_regex_location_is_rejected(tmp_path: Path) -> None:
    block = server(tmp_path, "location ~ ^/a { proxy_pass http://u/b; }")
    found = find_location(block, b"/a")
    with pytest.raises(SourceError, match=r"nginx\.conf:3: .*can't have a URI"):
        proxied(found, b"/a", b"/a")
