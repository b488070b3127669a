"""The commands for people, built on click; serving itself does not load this."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from .. import VERSION
from ..config.settings import NextStateLimits, SettingsError
from . import entry


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION)
def main() -> None:
    """A fair, decentralised cluster scheduler."""


@main.command()
@click.option("--config", required=True, help="The platform's settings file (TOML).")
@click.option("--policy", help="Operators' policy file; default deploy/policy.conf, if there.")
def serve(config: str, policy: str | None) -> None:
    """Run a controller until it is killed."""
    sys.exit(entry.serve(config, policy))


@main.command()
@click.option("--config", required=True, help="The platform's settings file (TOML).")
@click.option("--policy", help="Operators' policy file; default deploy/policy.conf, if there.")
def check(config: str, policy: str | None) -> None:
    """Check settings and policy; print the policy's figures and the store's limits."""
    try:
        settings, figures = entry.read(config, policy)
    except SettingsError as error:
        click.echo(f"pitchtally: {error}", err=True)
        sys.exit(2)
    for name, value in figures.items():
        click.echo(f"{name} = {value:g}")
    today, kept = settings.deployment.state, settings.deployment.state_to_keep
    for name in NextStateLimits.__struct_fields__:
        click.echo(f"state.{name} = {getattr(kept, name):g} (today {getattr(today, name):g})")


_node = click.option(
    "--node",
    default="127.0.0.1:8080",
    show_default=True,
    envvar="PITCHTALLY_NODE",
    help="Address of a controller or load balancer.",
)


def _call(node: str, method: str, path: str, body: bytes = b"") -> tuple[int, Any, str]:
    import trio

    from ..config.settings import host_port
    from ..http import Client, HttpError, Response

    async def once() -> Response:
        return await Client().call(host_port(node), method, path, body, timeout=5.0)

    try:
        response = trio.run(once)
    except (HttpError, ValueError) as error:
        click.echo(f"pitchtally: {node}: {error}", err=True)
        sys.exit(1)
    after = dict(response.headers).get("retry-after", "")
    try:
        return response.status, json.loads(response.body), after
    except ValueError:
        return response.status, {}, after


def _show(status: int, answer: Any, after: str) -> None:
    if status in (200, 201):
        click.echo(json.dumps(answer))
        return
    where = f"{answer['field']}: " if answer.get("field") else ""
    again = f" (come back in {after} s)" if after else ""
    click.echo(
        f"pitchtally: {status}: {where}{answer.get('error', 'no reason given')}{again}", err=True
    )
    sys.exit(1)


@main.command()
@_node
@click.argument("file", type=click.File("rb"))
def submit(node: str, file: Any) -> None:
    """Submit the job described in FILE (JSON; - for standard input)."""
    _show(*_call(node, "POST", "/api/jobs", file.read()))


@main.command()
@_node
@click.argument("job")
def status(node: str, job: str) -> None:
    """Show a job's state."""
    _show(*_call(node, "GET", f"/api/jobs/{job}"))


@main.command()
@_node
@click.argument("job")
def cancel(node: str, job: str) -> None:
    """Cancel a job."""
    _show(*_call(node, "POST", f"/api/jobs/{job}/cancel"))
