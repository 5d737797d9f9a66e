"""A short seeded soak over real processes; longer ones run by hand (make soak)."""

import pytest
import soak

pytestmark = pytest.mark.slow

# Seeds that failed once, each with a line on its cause: none so far but for mutants.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", (1, 2, *REGRESSIONS))
def test_promises_hold_under_overlapping_faults(seed):
    assert soak.play(seed, seconds=10.0).found == []


def test_soak_notices_ends_that_are_acknowledged_before_they_are_stored():
    assert soak.play(1, seconds=10.0, mutant="acknowledge_before_stored").found
