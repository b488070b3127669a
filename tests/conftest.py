"""Fixtures that several test files share."""

from __future__ import annotations

from pathlib import Path

import pytest

from .harness.earlier_version import HistoryMissing, Production


@pytest.fixture(scope="session")
def production(tmp_path_factory: pytest.TempPathFactory) -> Production:
    """The version in production, from this repository's history."""
    folder: Path = tmp_path_factory.mktemp("production")
    try:
        return Production(folder)
    except HistoryMissing as error:
        pytest.fail(str(error))
