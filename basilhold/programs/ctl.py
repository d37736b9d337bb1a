"""``basilholdctl``, the operators' command-line client."""

from pathlib import Path

import click
from click.shell_completion import get_completion_class

from basilhold.programs.ctl_config import classes_group, config_group
from basilhold.programs.ctl_jobs import jobs_group
from basilhold.programs.ctl_output import OutputFormat
from basilhold.programs.ctl_session import CtlSession
from basilhold.programs.ctl_workers import show_state, workers_group

__all__ = ["cli", "main"]

PROGRAM = "basilholdctl"
COMPLETION_VARIABLE = "_BASILHOLDCTL_COMPLETE"
DEFAULT_GATEWAY = "http://127.0.0.1:18001"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--gateway",
    "gateways",
    multiple=True,
    envvar="BASILHOLD_GATEWAY",
    default=(DEFAULT_GATEWAY,),
    show_default=True,
    help="Base URL of a gateway's operators' API; may be given several times.",
)
@click.option(
    "--token-file",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="BASILHOLD_TOKEN_FILE",
    help="File with the operator's token.",
)
@click.option(
    "--ca-file",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="BASILHOLD_CA_FILE",
    help="CA certificates of the gateways, PEM.",
)
@click.option(
    "--output",
    type=click.Choice([output.value for output in OutputFormat]),
    default=OutputFormat.TABLE.value,
    show_default=True,
)
@click.option(
    "--timeout-ms",
    type=click.IntRange(1, 600_000),
    default=10_000,
    show_default=True,
    help="Bound of one attempt, in milliseconds.",
)
@click.pass_context
def cli(
    context: click.Context,
    gateways: tuple[str, ...],
    token_file: Path | None,
    ca_file: Path | None,
    output: str,
    timeout_ms: int,
) -> None:
    """Operate a basilhold cell through any of its gateways."""
    context.obj = CtlSession(
        gateways, token_file, OutputFormat(output), timeout_ms, ca_file
    )


@cli.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def print_completion(shell: str) -> None:
    """Print the completion script of a shell.

    For bash: `basilholdctl completion bash > ~/.basilholdctl-complete.bash`, then
    source that file from ~/.bashrc.
    """
    completion = get_completion_class(shell)
    if completion is None:
        raise click.UsageError(f"no completion for {shell}")
    click.echo(completion(cli, {}, PROGRAM, COMPLETION_VARIABLE).source())


for _command in (classes_group, config_group, jobs_group, workers_group, show_state):
    cli.add_command(_command)


def main() -> None:
    """Run the client; the console script calls this."""
    # click derives the variable from the program's name, which differs when the
    # module is run with `python -m`.
    cli(prog_name=PROGRAM, complete_var=COMPLETION_VARIABLE)


if __name__ == "__main__":
    main()
