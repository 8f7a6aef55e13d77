"""Reading nginx files into one tree, and the problems reported for invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest

from basaltpoint.importers.nginx.source import SourceError, read_config


def write_files(folder: Path, **files: str) -> Path:
    """Writes files by name, with `_` for a dot and `__` for a slash; returns the path of the first."""
    paths = []
    for name, text in files.items():
        path = folder / name.replace("__", "/").replace("_", ".")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        paths.append(path)
    return paths[0]


def read_problems(path: Path) -> list[str]:
    with pytest.raises(SourceError) as caught:
        read_config(path)
    return [str(problem) for problem in caught.value.problems]


def test_includes_are_expanded_in_place_with_their_own_lines(tmp_path: Path) -> None:
    """Files of a mask come in the order of their names; paths are relative to the first file's directory."""
    path = write_files(
        tmp_path,
        nginx_conf="http {\n  include conf.d/*.conf;\n  server { listen 80; }\n}\n",
        conf_d__b_conf="upstream b { server 127.0.0.1:2; }\n",
        conf_d__a_conf="\nupstream a {\n  include parts/one.conf;\n}\n",
        parts__one_conf="server 127.0.0.1:1 weight=2;\n",
    )
    [http] = read_config(path)
    assert [(each.name, each.args) for each in http.block or ()] == [
        ("upstream", ("a",)),
        ("upstream", ("b",)),
        ("server", ()),
    ]
    [member] = next(http.find_all("upstream")).find_all("server")
    assert member.args == ("127.0.0.1:1", "weight=2")
    inner, outer = tmp_path / "conf.d/a.conf", path
    assert (
        str(member.position) == f"{tmp_path}/parts/one.conf:1, included at {inner}:3, included at {outer}:2"
    )


def test_a_file_may_be_included_twice(tmp_path: Path) -> None:
    path = write_files(
        tmp_path,
        nginx_conf="http { server { include p.conf; } server { include p.conf; } }",
        p_conf="listen 81;",
    )
    [http] = read_config(path)
    assert [each.args for server in http.find_all("server") for each in server.find_all("listen")] == [
        ("81",)
    ] * 2


def test_quotes_are_removed(tmp_path: Path) -> None:
    path = write_files(tmp_path, nginx_conf="http { map $host $x { \"a b\" 'c;d'; '~^(\\d+)$' $1; } }")
    [http] = read_config(path)
    [table] = http.find_all("map")
    assert [(each.name, each.args) for each in table.block or ()] == [
        ("a b", ("c;d",)),
        ("~^(\\d+)$", ("$1",)),
    ]


def test_a_missing_include_is_reported_with_its_include_chain(tmp_path: Path) -> None:
    path = write_files(tmp_path, nginx_conf="http {\n include a.conf;\n}", a_conf="\n\ninclude gone.conf;\n")
    [problem] = read_problems(path)
    assert problem.startswith(f"{tmp_path}/a.conf:3, included at {path}:2: ") and "gone.conf" in problem


def test_a_mask_that_matches_no_file_is_no_error(tmp_path: Path) -> None:
    assert [
        each.name for each in read_config(write_files(tmp_path, nginx_conf="http { include none/*.conf; }"))
    ] == ["http"]


def test_a_circular_include_is_reported_with_its_include_chain(tmp_path: Path) -> None:
    path = write_files(
        tmp_path, nginx_conf="http {\n include a.conf;\n}", a_conf="include b.conf;", b_conf="include a.conf;"
    )
    assert read_problems(path) == [
        f"{tmp_path}/b.conf:1, included at {tmp_path}/a.conf:1, included at {path}:2: "
        f"include of {tmp_path}/a.conf is circular"
    ]


@pytest.mark.parametrize(
    ("text", "line", "problem"),
    [
        ("http {\n server { proxy_pass http://a; }\n}", 2, '"proxy_pass" directive is not allowed here'),
        ("http {\n server { listen; }\n}", 2, 'invalid number of arguments in "listen" directive'),
        ("http {\n server {\n", 2, 'unexpected end of file, expecting "}"'),
        ("http { }\n}\n", 2, 'unexpected "}"'),
    ],
)
def test_invalid_syntax_is_reported_with_its_line(tmp_path: Path, text: str, line: int, problem: str) -> None:
    path = write_files(tmp_path, nginx_conf=text)
    assert read_problems(path) == [f"{path}:{line}: {problem}"]


def test_all_problems_are_reported(tmp_path: Path) -> None:
    path = write_files(
        tmp_path,
        nginx_conf="http {\n listen 1;\n include a.conf;\n include gone.conf;\n}",
        a_conf="listen 2;",
    )
    assert len(read_problems(path)) == 3


def test_a_map_of_50000_lines_is_read(tmp_path: Path) -> None:
    rows = "".join(f"host{n}.example.org pool{n % 7};\n" for n in range(50_000))
    path = write_files(tmp_path, nginx_conf="http { map $host $pool { include hosts.map; } }", hosts_map=rows)
    [http] = read_config(path)
    [table] = http.find_all("map")
    assert len(table.block or ()) == 50_000
    assert (table.block or ())[-1].position.line == 50_000
