"""The error that every settings problem becomes."""

import msgspec

__all__ = ["EXIT_SETTINGS", "SettingsError"]

EXIT_SETTINGS = 78
"""Exit code after a settings error (``EX_CONFIG`` of sysexits.h)."""


class SettingsError(msgspec.Struct, frozen=True):
    """What is wrong with a settings file.

    Parameters
    ----------
    file : str
    key : str
        Dotted path of the key, for example ``zones[1].region``; empty if the file
        as a whole is unusable.
    reason : str
        Never contains a token.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        parts = (self.file, self.key, self.reason)
        return " ".join(": ".join(part for part in parts if part).split())
