"""Fixtures that several test modules use."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from .harness.earlier_version import (
    COMMIT_0_6_0,
    EarlierVersion,
    HistoryMissing,
    commit_in_production,
)

LoadVersion = Callable[[str], EarlierVersion]


@pytest.fixture(scope="session")
def load_version(tmp_path_factory: pytest.TempPathFactory) -> LoadVersion:
    """Return a function that loads a released version by commit, once per test session."""
    loaded: dict[str, EarlierVersion] = {}

    def load(commit: str) -> EarlierVersion:
        if commit not in loaded:
            try:
                loaded[commit] = EarlierVersion(commit, tmp_path_factory.mktemp("version"))
            except HistoryMissing as error:
                pytest.fail(str(error))
        return loaded[commit]

    return load


@pytest.fixture(scope="session")
def production(load_version: LoadVersion) -> EarlierVersion:
    """Return the version in production, 0.5.1, which has no format gate."""
    return load_version(commit_in_production())


@pytest.fixture(scope="session")
def version_0_6_0(load_version: LoadVersion) -> EarlierVersion:
    """Return 0.6.0, the first version with the format gate."""
    return load_version(COMMIT_0_6_0)


@pytest.fixture(scope="session", params=["0.5.1", "0.6.0"])
def earlier(request: pytest.FixtureRequest, load_version: LoadVersion) -> EarlierVersion:
    """Return a released version; a test that uses this runs once with each of them."""
    return load_version(commit_in_production() if request.param == "0.5.1" else COMMIT_0_6_0)
