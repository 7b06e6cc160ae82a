from __future__ import annotations

from pathlib import Path

import pytest

import cedarchute
from experiments.mutations import MUTATIONS

SOURCES = Path(cedarchute.__file__).parent


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.mechanism)
def test_a_mutation_finds_what_it_takes_out(mutation):
    assert (SOURCES / mutation.file).read_text().count(mutation.before) == 1
