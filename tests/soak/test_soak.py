"""A short run of the soak; longer ones are made by hand."""

import contextlib
import pathlib

import pytest
import trio

from tests.site.upstream import open_listeners
from tests.soak.proxy import Cut, Link
from tests.soak.run import run_soak

LENGTH = 6.0  # seconds of troubles
SEEDS = (1, 2, 3)

pytestmark = pytest.mark.alone


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_troubles(seed: int, tmp_path: pathlib.Path):
    report = await run_soak(tmp_path, seed, LENGTH)
    assert report.findings == ()
    assert report.answered > 0


async def test_link_comes_back_after_cuts_that_overlap():
    # Seeds 902, 904 and 907: links stayed closed, and the site was not served again.
    async with trio.open_nursery() as nursery:
        listeners, address = await open_listeners()
        nursery.start_soon(trio.serve_listeners, trio.aclose_forcefully, listeners)
        link = Link(address)
        await nursery.start(link.run)
        host, _, port = link.address.rpartition(":")
        for how in (Cut.HANG, Cut.RESET):
            link.cut(how)
            await trio.sleep(0.05)
        with trio.move_on_after(0.3) as scope, contextlib.suppress(OSError):
            await trio.open_tcp_stream(host, int(port))
            pytest.fail("the link is not cut")
        assert scope.cancelled_caught
        link.restore()
        with trio.fail_after(2.0):
            while True:
                with contextlib.suppress(OSError):
                    await trio.open_tcp_stream(host, int(port))
                    break
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
