"""What all commands of ``basilholdctl`` share."""

from pathlib import Path

import click
import msgspec

from basilhold.programs.ctl_client import CtlError, ExitCode, GatewayClient, read_token
from basilhold.programs.ctl_output import OutputFormat, Table, print_value

__all__ = ["CtlSession", "pass_session"]


class CtlSession(msgspec.Struct):
    """Global options; the client is made on first use, so that help needs none."""

    gateways: tuple[str, ...]
    token_file: Path | None
    output: OutputFormat
    timeout_ms: int
    ca_file: Path | None
    cached_client: GatewayClient | None = None

    @property
    def client(self) -> GatewayClient:
        """Client with the operator's token."""
        if self.cached_client is None:
            if self.token_file is None:
                raise CtlError(
                    "no token file",
                    ExitCode.USAGE,
                    "Give --token-file or set BASILHOLD_TOKEN_FILE.",
                )
            self.cached_client = GatewayClient(
                self.gateways,
                read_token(self.token_file),
                self.timeout_ms,
                self.ca_file,
            )
        return self.cached_client

    def print(self, value: msgspec.Struct | msgspec.Raw, table: Table | None) -> None:
        """Write a result."""
        print_value(self.output, value, table)

    def office_or_own(self, office: str | None) -> str:
        """Return the office given, or that of the operator."""
        return office or self.client.who_am_i().office


pass_session = click.make_pass_decorator(CtlSession)
