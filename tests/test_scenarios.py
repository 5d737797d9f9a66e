"""Runs every file of tests/scenarios and expects that it reports no problem."""

import pytest
from scenario import load_scenario, scenario_files

from carawayroute_standins.virtual import run_virtual


@pytest.mark.parametrize("path", scenario_files(), ids=lambda path: path.stem)
def test_scenario(path) -> None:
    assert run_virtual(load_scenario(path).run()) == []
