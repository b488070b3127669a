"""Write a scaled copy of the site file of a deployment.

`python3 -m experiments.scale_site SITE OUT --machines 9 --limits 4` writes a site file with
nine times the machines and four times the limits of SITE. `RULES` lists the scaled fields and
their factors; docs/scaling.md describes the use.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import tomli_w

Table = dict[str, Any]


class SiteError(Exception):
    """An invalid site file or setting; the text is one line."""


@dataclass(frozen=True, slots=True)
class Factors:
    """The factors by which a deployment is scaled."""

    machines: float = 1.0
    arrivals: float = 1.0
    limits: float = 1.0


@dataclass(frozen=True, slots=True)
class Rule:
    """The fields of the tables at a path, and the factor that they are multiplied by."""

    path: tuple[str, ...]  # keys from the root to a table or an array of tables
    fields: tuple[str, ...]
    factor: str  # name of a field of `Factors`


RULES = (
    Rule(("capacity",), ("count", "spot"), "machines"),
    Rule(("machines",), ("count",), "machines"),
    Rule(("teams",), ("cpus", "cpus_max", "gpus", "gpus_max"), "machines"),
    Rule(("jobs",), ("initial",), "arrivals"),
    Rule(("jobs", "arrivals"), ("rate",), "arrivals"),
    Rule(("nodes",), ("max_connections", "memory_mb"), "limits"),
    Rule(("state",), ("rps", "write_rps"), "limits"),
    Rule(("cloud",), ("rps",), "limits"),
)
# Kinds of faults that give a number of machines; a share of machines needs no scaling.
MACHINE_FAULT_PREFIX = "machine_"


def scale(site: Table, factors: Factors) -> Table:
    """Multiply a site's machines, arrivals and limits in place; return the site."""
    for rule in RULES:
        factor = getattr(factors, rule.factor)
        for table in _tables(site, rule.path):
            _multiply(table, rule.fields, factor)
    for day in site.get("day", []):
        for fault in day.get("faults", []):
            if fault.get("kind", "").startswith(MACHINE_FAULT_PREFIX):
                _multiply(fault, ("count",), factors.machines)
    return site


def assign(site: Table, setting: str) -> None:
    """Set one existing value, given as `nodes.cpu_share=1.0`; raises SiteError."""
    path, equals, text = setting.partition("=")
    *names, field = path.split(".")
    try:
        value = float(text) if "." in text else int(text)
    except ValueError:
        raise SiteError(f"{setting}: not NAME.NAME=NUMBER") from None
    tables = list(_tables(site, tuple(names)))
    if not equals or not names or len(tables) != 1 or field not in tables[0]:
        raise SiteError(f"{setting}: does not name exactly one value of the site file")
    tables[0][field] = value


def _tables(site: Table, path: tuple[str, ...]) -> Iterable[Table]:
    """Return all tables at a path; an array on the way stands for each of its tables."""
    tables: list[Table] = [site]
    for name in path:
        items = [table[name] for table in tables if name in table]
        tables = [t for item in items for t in (item if isinstance(item, list) else [item])]
    return tables


def _multiply(table: Table, fields: tuple[str, ...], factor: float) -> None:
    for field in fields:
        value = table.get(field)
        if isinstance(value, int):
            # An integer above 0 stays at least 1 in a smaller deployment.
            table[field] = max(round(value * factor), 1 if value else 0)
        elif isinstance(value, float):
            table[field] = value * factor


def read(path: Path) -> Table:
    """Return the tables of a site file; raises SiteError."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteError(f"{path}: {error}") from None


def scaled_text(source: Path, out: Path, factors: Factors, settings: Iterable[str]) -> str:
    """Return the text of the scaled site file; raises SiteError."""
    site = scale(read(source), factors)
    for setting in settings:
        assign(site, setting)
    site["name"] = out.stem
    if "wire" in site:
        # This path is relative to the folder of the site file, and the new file may be in another.
        site["wire"] = os.path.relpath(source.parent / site["wire"], out.parent)
    return tomli_w.dumps(site)


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("source", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--machines", default=1.0, show_default=True, help="Factor for machines.")
@click.option("--arrivals", default=1.0, show_default=True, help="Factor for arriving jobs.")
@click.option("--limits", default=1.0, show_default=True, help="Factor for limits.")
@click.option("--set", "settings", multiple=True, help="Set one value, as in nodes.cpu_share=1.0.")
def main(
    source: Path, out: Path, machines: float, arrivals: float, limits: float, settings: list[str]
) -> None:
    """Write the site file SOURCE to OUT, scaled."""
    try:
        if min(machines, arrivals, limits) <= 0:
            raise SiteError("factors must be above 0")
        text = scaled_text(
            source.absolute(), out.absolute(), Factors(machines, arrivals, limits), settings
        )
    except SiteError as error:
        raise click.ClickException(str(error)) from None
    out.write_text(text)


if __name__ == "__main__":
    main()
