from __future__ import annotations

import pytest
from support import start_site

from experiments.caller import Caller


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """A site that tests share and leave as it is."""
    with start_site(tmp_path_factory.mktemp("site") / "run") as started:
        yield started


@pytest.fixture
def broken_site(tmp_path):
    """A site of four boxes that a test may break."""
    with start_site(tmp_path / "run", boxes=4) as started:
        yield started


@pytest.fixture
def caller(site):
    return Caller(list(site.callers.values()))
