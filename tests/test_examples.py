"""Runs every script in examples/ and checks that it prints something."""

import pathlib
import runpy

import pytest

EXAMPLES = sorted((pathlib.Path(__file__).parent.parent / "examples").glob("*.py"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example(path: pathlib.Path, capsys) -> None:
    runpy.run_path(str(path))
    assert capsys.readouterr().out
