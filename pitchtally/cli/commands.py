"""The click commands; `entry` handles the platform's invocation without loading this module."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import BinaryIO

import click

from .. import VERSION
from ..config.settings import NextStateLimits, SettingsError, host_port
from .configuration import load_configuration
from .serving import EXIT_INVALID_CONFIGURATION, serve

EXIT_FAILED = 1
REQUEST_TIMEOUT_S = 5.0
OK, CREATED = 200, 201

_config_option = click.option(
    "--config",
    "settings_path",
    required=True,
    help="The platform's settings file (TOML).",
)
_policy_option = click.option(
    "--policy",
    "policy_path",
    help="Operators' policy file; default deploy/policy.conf, if there.",
)
_node_option = click.option(
    "--node",
    default="127.0.0.1:8080",
    show_default=True,
    envvar="PITCHTALLY_NODE",
    help="Address of a controller or load balancer.",
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A controller's response to one request."""

    status: int
    body: Mapping[str, object]  # empty if the response contained no JSON
    retry_after: str  # value of the Retry-After header, in seconds; empty if absent


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION)
def main() -> None:
    """A fair, decentralised cluster scheduler."""  # noqa: D401 (shown as the help text)


@main.command("serve")
@_config_option
@_policy_option
def serve_command(settings_path: str, policy_path: str | None) -> None:
    """Run a controller until it is killed."""
    sys.exit(serve(settings_path, policy_path))


@main.command()
@_config_option
@_policy_option
def check(settings_path: str, policy_path: str | None) -> None:
    """Check settings and policy; print the policy's figures and the store's limits."""
    try:
        settings, policy = load_configuration(settings_path, policy_path)
    except SettingsError as error:
        click.echo(f"pitchtally: {error}", err=True)
        sys.exit(EXIT_INVALID_CONFIGURATION)
    for name, value in policy.items():
        click.echo(f"{name} = {value:g}")
    today, effective = settings.deployment.state, settings.deployment.effective_state_limits
    for name in NextStateLimits.__struct_fields__:
        click.echo(f"state.{name} = {getattr(effective, name):g} (today {getattr(today, name):g})")


@main.command()
@_node_option
@click.argument("file", type=click.File("rb"))
def submit(node: str, file: BinaryIO) -> None:
    """Submit the job described in FILE (JSON; - for standard input)."""
    _print_reply(_request(node, "POST", "/api/jobs", file.read()))


@main.command()
@_node_option
@click.argument("job")
def status(node: str, job: str) -> None:
    """Show a job's state."""
    _print_reply(_request(node, "GET", f"/api/jobs/{job}"))


@main.command()
@_node_option
@click.argument("job")
def cancel(node: str, job: str) -> None:
    """Cancel a job."""
    _print_reply(_request(node, "POST", f"/api/jobs/{job}/cancel"))


def _request(node: str, method: str, path: str, body: bytes = b"") -> Reply:
    """Send one request to a controller; report an error and exit if there is no response."""
    # Deferred import: `check` and `--help` need no HTTP client.
    import trio

    from ..http import Client, HttpError, Response

    async def call() -> Response:
        address = host_port(node)
        return await Client().call(address, method, path, body, timeout=REQUEST_TIMEOUT_S)

    try:
        response = trio.run(call)
    except (HttpError, ValueError) as error:
        click.echo(f"pitchtally: {node}: {error}", err=True)
        sys.exit(EXIT_FAILED)
    retry_after = dict(response.headers).get("retry-after", "")
    try:
        return Reply(response.status, json.loads(response.body), retry_after)
    except ValueError:
        return Reply(response.status, {}, retry_after)


def _print_reply(reply: Reply) -> None:
    """Print the body of a successful response; report any other response and exit."""
    if reply.status in (OK, CREATED):
        click.echo(json.dumps(reply.body))
        return
    field = f"{reply.body['field']}: " if reply.body.get("field") else ""
    reason = reply.body.get("error", "no reason given")
    retry = f" (retry after {reply.retry_after} s)" if reply.retry_after else ""
    click.echo(f"pitchtally: {reply.status}: {field}{reason}{retry}", err=True)
    sys.exit(EXIT_FAILED)
