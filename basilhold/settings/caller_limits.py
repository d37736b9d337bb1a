"""Settings of what clients of the program on the users' platform may hold."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["CallerLimits"]


def _integer(description: str, low: int, high: int) -> Meta:
    return Meta(ge=low, le=high, description=description)


class CallerLimits(msgspec.Struct):
    """Limits of what the clients of a process may send and hold."""

    max_body_bytes: Annotated[
        int, _integer("Longest body of a caller's request, in bytes.", 1, 1 << 24)
    ] = 262_144
    max_header_bytes: Annotated[
        int, _integer("Longest head of a request, in bytes.", 256, 1 << 20)
    ] = 16_384
    header_timeout_ms: Annotated[
        int, _integer("Time for a head from its first byte on, in ms.", 1, 3_600_000)
    ] = 3_000
    body_timeout_ms: Annotated[
        int, _integer("Time for a body from the end of its head, in ms.", 1, 3_600_000)
    ] = 30_000
    idle_timeout_ms: Annotated[
        int,
        _integer(
            "Time without progress after which a connection is closed, in ms; four"
            " times as long between two requests.",
            1,
            3_600_000,
        ),
    ] = 15_000
    held_memory_mb: (
        Annotated[
            int,
            _integer(
                "Memory that all clients of the process may hold, in MiB; by default a"
                " quarter of `memory_mb`.",
                1,
                1 << 20,
            ),
        ]
        | None
    ) = None
    max_connections: (
        Annotated[
            int,
            _integer(
                "Most incoming connections; at most, and by default, a quarter of"
                " `max_fds` less 200.",
                32,
                1 << 20,
            ),
        ]
        | None
    ) = None
    max_task_units: (
        Annotated[
            int,
            _integer(
                "Most unfinished tasks of all services, each step of an occurrence"
                " counting as two more; by default a fifth of `memory_mb` at 512"
                " bytes each.",
                1_000,
                1 << 40,
            ),
        ]
        | None
    ) = None
    pieces_per_s: Annotated[
        int,
        _integer(
            "Chunks, header fields and reads that are parsed in a second once a request"
            " has had 256 of them.",
            1_000,
            10_000_000,
        ),
    ] = 100_000
