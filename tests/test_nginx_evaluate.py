"""The whole reference evaluator: rewrites, variables, maps, upstreams and headers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from basaltpoint.importers.nginx.reference.evaluate import Evaluator, Result
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Request
from basaltpoint.importers.nginx.source import SourceError, read_config

UPSTREAMS = """
upstream main { server 127.0.0.1:9001 weight=2; server 127.0.0.1:9002; server 127.0.0.1:9003 backup;
                server 127.0.0.1:9004 down; }
upstream other { least_conn; server 127.0.0.1; }
"""


class EvaluatorFixture:
    """An evaluator of a configuration file; its requests are given by target and host."""

    def __init__(self, folder: Path, text: str) -> None:
        path = folder / "nginx.conf"
        path.write_text("http {" + UPSTREAMS + text + "\n}\n")
        self.evaluator = Evaluator(read_config(path))

    def evaluate(self, target: bytes, host: str = "a.org", method: str = "GET", **headers: str) -> Result:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.evaluator.evaluate(Request(method, target, {"host": host, **names}))


MakeEvaluator = Callable[[str], EvaluatorFixture]


@pytest.fixture
def make_evaluator(tmp_path: Path) -> MakeEvaluator:
    return lambda text: EvaluatorFixture(tmp_path, text)


def sent(result: Result) -> tuple[str, bytes]:
    assert result.code == 0, result.text
    return result.upstream, result.target


def test_an_upstream_lists_its_primary_servers_and_backups(make_evaluator: MakeEvaluator) -> None:
    result = make_evaluator("server { location / { proxy_pass http://main; } }").evaluate(b"/x?y=1")
    assert sent(result) == ("main", b"/x?y=1")
    assert result.candidates == ("127.0.0.1:9001", "127.0.0.1:9002")
    assert result.backups == ("127.0.0.1:9003",)


def test_a_host_that_is_no_upstream_is_a_server_at_port_80(make_evaluator: MakeEvaluator) -> None:
    text = "server { location / { proxy_pass http://10.1.1.1/a/; } location /o { proxy_pass http://other; } }"
    assert make_evaluator(text).evaluate(b"/b").candidates == ("10.1.1.1:80",)
    assert make_evaluator(text).evaluate(b"/o").candidates == ("127.0.0.1:80",)


def test_the_uri_follows_a_socket_path_after_a_colon(make_evaluator: MakeEvaluator) -> None:
    """Guards against cutting the socket path at its first slash."""
    evaluator = make_evaluator(
        "server { location / { proxy_pass http://unix:/run/a.sock; }"
        " location /b/ { proxy_pass http://unix:/run/b.sock:/c/; } }"
    )
    assert evaluator.evaluate(b"/x").candidates == ("unix:/run/a.sock",)
    assert sent(evaluator.evaluate(b"/b/x?y")) == ("unix:/run/b.sock", b"/c/x?y")


REWRITES = """
server {
    rewrite ^/old/(.*)$ /new/$1;
    location /new/ { proxy_pass http://main; }
    location /last { rewrite ^/last/(.*)$ /new/$1?a=1 last; return 403; }
    location /none { rewrite ^/none/(.*)$ /new/$1?; return 404; }
    location /break { rewrite ^/break/(.*)$ /kept/$1 break; proxy_pass http://main/sub/; }
    location /kept { return 410; }
    location /away { rewrite ^/away/(.*)$ https://b.org/$1; }
    location /for-good { rewrite ^ /there permanent; }
    location /round { rewrite ^ /round last; }
    location /two { rewrite ^/two/(.*)$ /three/$1; rewrite ^/three/(.*)$ /new/$1; }
    location /drop { rewrite ^/drop/(.*)$ /new/$1? last; }
    location /seq { rewrite ^/seq/(.*)$ /new/$1; if ($args = "") { set $z 1; } }
    location /inside { internal; proxy_pass http://other; }
    location /to-inside { rewrite ^ /inside last; }
}
"""


@pytest.mark.parametrize(
    ("target", "upstream", "passed"),
    [
        (b"/old/x?q=1", "main", b"/new/x?q=1"),
        (b"/last/x?q=1", "main", b"/new/x?a=1&q=1"),  # the request's arguments are appended
        (b"/break/x?q", "main", b"/kept/x?q"),  # a changed path replaces the URI of proxy_pass
        (b"/two/x", "main", b"/new/x"),
        (b"/drop/x?q=1", "main", b"/new/x"),  # a replacement that ends with `?` drops them
        (b"/seq/x", "main", b"/new/x"),  # a path changed before a true `if` is still changed
        (b"/to-inside", "other", b"/inside"),
        (b"/new/a%20b", "main", b"/new/a%20b"),
        (b"/old/a%20b%2F", "main", b"/new/a%20b/"),  # a changed path is escaped again
    ],
)
def test_rewritten_requests_are_proxied(
    make_evaluator: MakeEvaluator, target: bytes, upstream: str, passed: bytes
) -> None:
    assert sent(make_evaluator(REWRITES).evaluate(target)) == (upstream, passed)


@pytest.mark.parametrize(
    ("target", "code", "text"),
    [
        (b"/none/x?q=1", 404, ""),  # without a flag the next directive runs
        (b"/away/x?q=1", 302, "https://b.org/x?q=1"),
        (b"/for-good", 301, "/there"),
        (b"/round", 500, "rewrite cycle"),
        (b"/inside", 404, ""),
        (b"/nowhere", 404, ""),
        (b"/../x", 400, "the path leads above the root"),
    ],
)
def test_rewrites_that_end_the_request(
    make_evaluator: MakeEvaluator, target: bytes, code: int, text: str
) -> None:
    result = make_evaluator(REWRITES).evaluate(target)
    assert (result.code, result.text) == (code, text)


def test_a_server_may_respond_before_any_location(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(
        "server { if ($arg_gone) { return 410; } rewrite ^/away https://b.org/;"
        " location / { proxy_pass http://main; } }"
    )
    gone, away = evaluator.evaluate(b"/x?gone=1"), evaluator.evaluate(b"/away")
    assert (gone.code, gone.location) == (410, None)
    assert (away.code, away.text) == (302, "https://b.org/")
    assert sent(evaluator.evaluate(b"/x")) == ("main", b"/x")


IFS = """
map $http_x_tier $pool { default main; gold other; "~^g" main; }
server {
    location / {
        set $where main;
        if ($request_method = POST) { set $where other; }
        if ($arg_v ~* "^(b)eta$") { return 302 /$1/$is_args$args; }
        if ($http_x_off) { return 503 "off"; }
        proxy_pass http://$where;
    }
    location /mapped { proxy_pass http://$pool/m$is_args$args; }
    location /if/ {
        proxy_set_header X-A a;
        proxy_pass http://main/sub/;
        if ($http_x_b != "") { set $b 1; }
        if ($http_x_c) { proxy_pass http://other; }
    }
    location /file { if (-f /etc/motd) { return 200; } proxy_pass http://main; }
    location /unknown { proxy_pass http://$upstream_addr; }
    location /static { root /srv; }
    location /try { try_files $uri @x; proxy_pass http://main; }
}
"""


def test_set_and_if_choose_the_upstream(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(IFS)
    assert sent(evaluator.evaluate(b"/x?v=1")) == ("main", b"/x?v=1")
    assert sent(evaluator.evaluate(b"/x", method="POST")) == ("other", b"/x")
    assert evaluator.evaluate(b"/x?v=BETA&w=1").text == "/B/?v=BETA&w=1"
    assert (evaluator.evaluate(b"/x", x_off="1").code, evaluator.evaluate(b"/x", x_off="1").text) == (
        503,
        "off",
    )
    assert sent(evaluator.evaluate(b"/x", x_off="0")) == ("main", b"/x")  # 0 is false


@pytest.mark.parametrize(("tier", "upstream"), [("", "main"), ("Gold", "other"), ("grey", "main")])
def test_a_map_checks_strings_before_regular_expressions(
    make_evaluator: MakeEvaluator, tier: str, upstream: str
) -> None:
    """A URI in a proxy_pass with variables replaces the path and arguments of the request."""
    assert sent(make_evaluator(IFS).evaluate(b"/mapped/deep?q=1", x_tier=tier)) == (upstream, b"/m?q=1")


def test_a_true_if_replaces_the_locations_settings(make_evaluator: MakeEvaluator) -> None:
    """Its proxy_pass applies if it has one; headers and all else are inherited from the location."""
    evaluator = make_evaluator(IFS)
    plain, true, other = (
        evaluator.evaluate(b"/if/x"),
        evaluator.evaluate(b"/if/x", x_b="b"),
        evaluator.evaluate(b"/if/x", x_c="1"),
    )
    assert sent(plain) == ("main", b"/sub/x") and plain.headers["x-a"] == "a"
    assert sent(true) == ("main", b"/sub/x") and true.headers["x-a"] == "a"
    assert sent(other) == ("other", b"/if/x") and other.headers["x-a"] == "a"


@pytest.mark.parametrize("target", [b"/file", b"/unknown", b"/static", b"/try"])
def test_unsupported_directives_are_not_evaluated(make_evaluator: MakeEvaluator, target: bytes) -> None:
    with pytest.raises(NotEvaluatedError, match=r"nginx\.conf:\d+: "):
        make_evaluator(IFS).evaluate(target)


LIMITED = """
geo $near { 10.1.0.0/16 here; 10.0.0.0/8 near; ::1 self; default far; }
geo $http_x_from $from { 10.0.0.0/8 main; }
map $http_x_host $by_host {
    hostnames; default none; a.org exact; .b.org both; *.c.org wild; *.d.c.org deep; w.* tail;
}
server {
    location / { proxy_pass http://main/$near; }
    location /from { proxy_pass http://$from; }
    location /host { proxy_pass http://main/$by_host; }
    location /read { limit_except GET { deny all; } proxy_pass http://main; }
    location /split { limit_except GET { proxy_pass http://other; } proxy_pass http://main; }
    location /some { limit_except GET { allow 10.0.0.0/8; deny all; } proxy_pass http://main; }
}
"""


@pytest.mark.parametrize(
    ("client", "value"),
    [
        ("10.2.3.4", b"/near"),
        ("10.1.3.4", b"/here"),
        ("192.168.0.1", b"/far"),
        ("::1", b"/self"),
        ("::2", b"/far"),
    ],
)
def test_a_geo_uses_the_most_specific_network(
    make_evaluator: MakeEvaluator, client: str, value: bytes
) -> None:
    request = Request("GET", b"/", {"host": "a.org"}, client=client)
    assert sent(make_evaluator(LIMITED).evaluator.evaluate(request)) == ("main", value)


def test_a_geo_may_use_an_address_in_a_variable(make_evaluator: MakeEvaluator) -> None:
    assert sent(make_evaluator(LIMITED).evaluate(b"/from", x_from="10.9.9.9"))[0] == "main"
    with pytest.raises(SourceError, match="geo: "):
        make_evaluator("geo $g { 10.0.0.0/99 x; } server { location / { proxy_pass http://$g; } }").evaluate(
            b"/"
        )


@pytest.mark.parametrize(
    ("host", "value"),
    [
        ("A.org.", b"/exact"),
        ("b.org", b"/both"),
        ("x.b.org", b"/both"),
        ("x.c.org", b"/wild"),
        ("x.d.c.org", b"/deep"),
        ("w.de", b"/tail"),
        ("c.org", b"/none"),
    ],
)
def test_a_map_with_hostnames_matches_wildcards(
    make_evaluator: MakeEvaluator, host: str, value: bytes
) -> None:
    assert sent(make_evaluator(LIMITED).evaluate(b"/host", x_host=host)) == ("main", value)


def test_limit_except_denies_methods_or_proxies_them_elsewhere(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(LIMITED)
    assert sent(evaluator.evaluate(b"/read", method="HEAD")) == ("main", b"/read")
    assert evaluator.evaluate(b"/read", method="POST").code == 403
    assert sent(evaluator.evaluate(b"/split")) == ("main", b"/split")
    assert sent(evaluator.evaluate(b"/split", method="PUT")) == ("other", b"/split")
    with pytest.raises(NotEvaluatedError, match="limit_except"):
        evaluator.evaluate(b"/some", method="POST")


HEADERS = """
proxy_set_header X-All all;
server {
    location /plain { proxy_pass http://main; }
    location /own {
        proxy_set_header Host $host;
        proxy_set_header X-Forwarded-For $proxy_add_x_forwarded_for;
        proxy_set_header Accept-Encoding "";
        proxy_pass http://main;
        location /own/in { proxy_pass http://10.0.0.1:8080; proxy_set_header Host $proxy_host; }
        location /own/inherits { proxy_pass http://other; }
    }
}
"""


def test_headers_are_inherited_all_or_none(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(HEADERS)
    assert evaluator.evaluate(b"/plain").headers == {"host": "main", "connection": "close", "x-all": "all"}
    own = evaluator.evaluate(b"/own", host="A.org:80", x_forwarded_for="1.2.3.4")
    assert own.headers["host"] == "a.org" and own.headers["x-forwarded-for"] == "1.2.3.4, 127.0.0.1"
    assert own.removed_headers == ("accept-encoding",) and "x-all" not in own.headers
    assert evaluator.evaluate(b"/own/in").headers == {"host": "10.0.0.1:8080", "connection": "close"}
    assert evaluator.evaluate(b"/own/inherits").headers["host"] == "a.org"


def test_captures_of_names_and_locations_are_variables(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(
        "server { server_name ~^(?<pool>\\w+)\\.x\\.org$;"
        " location ~ ^/(?<part>\\w+)/(\\d+)$ { proxy_pass http://$pool/$part-$2; } }"
    )
    assert sent(evaluator.evaluate(b"/ab/12", host="other.x.org")) == ("other", b"/ab-12")


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("upstream main { server 127.0.0.1; }", "duplicate upstream 'main', first at .*:2"),
        ("upstream empty { least_conn; }", "upstream 'empty' has no server"),
        ("upstream w { server 127.0.0.1 weight=0; }", "invalid weight=0, expected a number above 0"),
    ],
)
def test_invalid_upstreams_are_reported(make_evaluator: MakeEvaluator, text: str, problem: str) -> None:
    with pytest.raises(SourceError, match=problem):
        make_evaluator(text)


@pytest.mark.parametrize(
    ("text", "position"), [("", "the file:1: "), ("events { }", ":1: "), ("http { }\nhttp { }", ":2: ")]
)
def test_one_http_block_is_needed(tmp_path: Path, text: str, position: str) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    with pytest.raises(SourceError, match=f"{position}exactly one http block is needed"):
        Evaluator(read_config(path))


def test_a_map_that_depends_on_itself_is_reported(make_evaluator: MakeEvaluator) -> None:
    evaluator = make_evaluator(
        "map $a $b { default $a; } map $b $a { default $b; } server { location / { proxy_pass http://$a; } }"
    )
    with pytest.raises(SourceError, match="depends on itself"):
        evaluator.evaluate(b"/")
