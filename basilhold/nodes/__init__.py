"""The parts of each daemon, wired together without sockets of their own.

Programs and randomised runs build the same nodes over different transports and ports.
"""

__all__: list[str] = []
