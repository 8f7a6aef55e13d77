"""The reference evaluator's whole walk: rewrites, variables, maps, upstreams and headers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from basaltpoint.importers.nginx.reference.evaluate import Evaluator, Result
from basaltpoint.importers.nginx.reference.variables import NotEvaluatedError, Request
from basaltpoint.importers.nginx.source import SourceError, read

UPSTREAMS = """
upstream main { server 127.0.0.1:9001 weight=2; server 127.0.0.1:9002; server 127.0.0.1:9003 backup;
                server 127.0.0.1:9004 down; }
upstream other { least_conn; server 127.0.0.1; }
"""


class Files:
    """One file's evaluator; `ask` takes a target and a host."""

    def __init__(self, folder: Path, text: str) -> None:
        path = folder / "nginx.conf"
        path.write_text("http {" + UPSTREAMS + text + "\n}\n")
        self.evaluator = Evaluator(read(path))

    def ask(self, target: bytes, host: str = "a.org", method: str = "GET", **headers: str) -> Result:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.evaluator.evaluate(Request(method, target, {"host": host, **names}))


Make = Callable[[str], Files]


@pytest.fixture
def files(tmp_path: Path) -> Make:
    return lambda text: Files(tmp_path, text)


def sent(result: Result) -> tuple[str, bytes]:
    assert result.code == 0, result.text
    return result.upstream, result.target


def test_a_group_tells_whom_it_asks_first(files: Make) -> None:
    result = files("server { location / { proxy_pass http://main; } }").ask(b"/x?y=1")
    assert sent(result) == ("main", b"/x?y=1")
    assert result.candidates == ("127.0.0.1:9001", "127.0.0.1:9002")
    assert result.spares == ("127.0.0.1:9003",)


def test_a_host_that_is_no_group_is_a_server_at_port_80(files: Make) -> None:
    text = "server { location / { proxy_pass http://10.1.1.1/a/; } location /o { proxy_pass http://other; } }"
    assert files(text).ask(b"/b").candidates == ("10.1.1.1:80",)
    assert files(text).ask(b"/o").candidates == ("127.0.0.1:80",)


def test_a_socket_is_a_server_and_its_path_stands_behind_a_colon(files: Make) -> None:
    """Its name was cut at the first slash."""
    text = files(
        "server { location / { proxy_pass http://unix:/run/a.sock; }"
        " location /b/ { proxy_pass http://unix:/run/b.sock:/c/; } }"
    )
    assert text.ask(b"/x").candidates == ("unix:/run/a.sock",)
    assert sent(text.ask(b"/b/x?y")) == ("unix:/run/b.sock", b"/c/x?y")


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
        (b"/last/x?q=1", "main", b"/new/x?a=1&q=1"),  # the request's arguments go behind
        (b"/break/x?q", "main", b"/kept/x?q"),  # a changed path stands for proxy_pass's own
        (b"/two/x", "main", b"/new/x"),
        (b"/drop/x?q=1", "main", b"/new/x"),  # a replacement that ends so drops them
        (b"/seq/x", "main", b"/new/x"),  # a path changed before a true `if` is still changed
        (b"/to-inside", "other", b"/inside"),
        (b"/new/a%20b", "main", b"/new/a%20b"),
        (b"/old/a%20b%2F", "main", b"/new/a%20b/"),  # a changed path is written anew
    ],
)
def test_rewrites_lead_on(files: Make, target: bytes, upstream: str, passed: bytes) -> None:
    assert sent(files(REWRITES).ask(target)) == (upstream, passed)


@pytest.mark.parametrize(
    ("target", "code", "text"),
    [
        (b"/none/x?q=1", 404, ""),  # without a flag the set goes on
        (b"/away/x?q=1", 302, "https://b.org/x?q=1"),
        (b"/for-good", 301, "/there"),
        (b"/round", 500, "rewrites lead round"),
        (b"/inside", 404, ""),
        (b"/nowhere", 404, ""),
        (b"/../x", 400, "the path climbs above its root"),
    ],
)
def test_rewrites_end(files: Make, target: bytes, code: int, text: str) -> None:
    result = files(REWRITES).ask(target)
    assert (result.code, result.text) == (code, text)


def test_a_server_may_answer_before_any_location(files: Make) -> None:
    text = files(
        "server { if ($arg_gone) { return 410; } rewrite ^/away https://b.org/;"
        " location / { proxy_pass http://main; } }"
    )
    gone, away = text.ask(b"/x?gone=1"), text.ask(b"/away")
    assert (gone.code, gone.location) == (410, None)
    assert (away.code, away.text) == (302, "https://b.org/")
    assert sent(text.ask(b"/x")) == ("main", b"/x")


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


def test_set_and_if_choose_the_server(files: Make) -> None:
    text = files(IFS)
    assert sent(text.ask(b"/x?v=1")) == ("main", b"/x?v=1")
    assert sent(text.ask(b"/x", method="POST")) == ("other", b"/x")
    assert text.ask(b"/x?v=BETA&w=1").text == "/B/?v=BETA&w=1"
    assert (text.ask(b"/x", x_off="1").code, text.ask(b"/x", x_off="1").text) == (503, "off")
    assert sent(text.ask(b"/x", x_off="0")) == ("main", b"/x")  # 0 is false


@pytest.mark.parametrize(("tier", "upstream"), [("", "main"), ("Gold", "other"), ("grey", "main")])
def test_a_map_is_read_text_before_expression(files: Make, tier: str, upstream: str) -> None:
    """And what variables put behind the server replaces the request's path and arguments."""
    assert sent(files(IFS).ask(b"/mapped/deep?q=1", x_tier=tier)) == (upstream, b"/m?q=1")


def test_a_true_if_takes_the_place_of_the_locations_settings(files: Make) -> None:
    """Its proxy_pass, where it has one; headers, which it can't set, and else all are those around it."""
    text = files(IFS)
    plain, true, other = text.ask(b"/if/x"), text.ask(b"/if/x", x_b="b"), text.ask(b"/if/x", x_c="1")
    assert sent(plain) == ("main", b"/sub/x") and plain.headers["x-a"] == "a"
    assert sent(true) == ("main", b"/sub/x") and true.headers["x-a"] == "a"
    assert sent(other) == ("other", b"/if/x") and other.headers["x-a"] == "a"


@pytest.mark.parametrize("target", [b"/file", b"/unknown", b"/static", b"/try"])
def test_what_is_not_certain_is_not_evaluated(files: Make, target: bytes) -> None:
    with pytest.raises(NotEvaluatedError, match=r"nginx\.conf:\d+: "):
        files(IFS).ask(target)


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
def test_a_geo_goes_by_the_narrowest_network(files: Make, client: str, value: bytes) -> None:
    request = Request("GET", b"/", {"host": "a.org"}, client=client)
    assert sent(files(LIMITED).evaluator.evaluate(request)) == ("main", value)


def test_a_geo_may_go_by_another_variable(files: Make) -> None:
    assert sent(files(LIMITED).ask(b"/from", x_from="10.9.9.9"))[0] == "main"
    with pytest.raises(SourceError, match="geo: "):
        files("geo $g { 10.0.0.0/99 x; } server { location / { proxy_pass http://$g; } }").ask(b"/")


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
def test_a_map_of_hostnames_takes_wildcards(files: Make, host: str, value: bytes) -> None:
    assert sent(files(LIMITED).ask(b"/host", x_host=host)) == ("main", value)


def test_methods_may_be_kept_out_or_led_elsewhere(files: Make) -> None:
    text = files(LIMITED)
    assert sent(text.ask(b"/read", method="HEAD")) == ("main", b"/read")
    assert text.ask(b"/read", method="POST").code == 403
    assert sent(text.ask(b"/split")) == ("main", b"/split")
    assert sent(text.ask(b"/split", method="PUT")) == ("other", b"/split")
    with pytest.raises(NotEvaluatedError, match="limit_except"):
        text.ask(b"/some", method="POST")


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


def test_headers_are_inherited_whole_or_not_at_all(files: Make) -> None:
    text = files(HEADERS)
    assert text.ask(b"/plain").headers == {"host": "main", "connection": "close", "x-all": "all"}
    own = text.ask(b"/own", host="A.org:80", x_forwarded_for="1.2.3.4")
    assert own.headers["host"] == "a.org" and own.headers["x-forwarded-for"] == "1.2.3.4, 127.0.0.1"
    assert own.removed == ("accept-encoding",) and "x-all" not in own.headers
    assert text.ask(b"/own/in").headers == {"host": "10.0.0.1:8080", "connection": "close"}
    assert text.ask(b"/own/inherits").headers["host"] == "a.org"


def test_captures_of_names_and_locations_are_variables(files: Make) -> None:
    text = files(
        "server { server_name ~^(?<pool>\\w+)\\.x\\.org$;"
        " location ~ ^/(?<part>\\w+)/(\\d+)$ { proxy_pass http://$pool/$part-$2; } }"
    )
    assert sent(text.ask(b"/ab/12", host="other.x.org")) == ("other", b"/ab-12")


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("upstream main { server 127.0.0.1; }", "upstream 'main' stands already at .*:2"),
        ("upstream empty { least_conn; }", "upstream 'empty' has no server"),
        ("upstream w { server 127.0.0.1 weight=0; }", "weight=0 is no number above 0"),
    ],
)
def test_groups_that_cannot_be_are_told(files: Make, text: str, told: str) -> None:
    with pytest.raises(SourceError, match=told):
        files(text)


@pytest.mark.parametrize(
    ("text", "told"), [("", "the file:1: "), ("events { }", ":1: "), ("http { }\nhttp { }", ":2: ")]
)
def test_one_http_block_is_needed(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    with pytest.raises(SourceError, match=f"{told}one http block is needed"):
        Evaluator(read(path))


def test_a_map_that_depends_on_itself_is_told(files: Make) -> None:
    text = files(
        "map $a $b { default $a; } map $b $a { default $b; } server { location / { proxy_pass http://$a; } }"
    )
    with pytest.raises(SourceError, match="depends on itself"):
        text.ask(b"/")
