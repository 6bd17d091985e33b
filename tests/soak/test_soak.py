"""A short run of the soak; longer ones are made by hand."""

import pathlib

import pytest

from tests.soak.run import run_soak

LENGTH = 6.0  # seconds of troubles
SEEDS = (1, 2, 3)

pytestmark = pytest.mark.alone


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_troubles(seed: int, tmp_path: pathlib.Path):
    report = await run_soak(tmp_path, seed, LENGTH)
    assert report.findings == ()
    assert report.answered > 0
