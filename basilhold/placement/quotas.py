"""Resource usage of teams, compared with their quotas."""

from basilhold.core import Resources, Team, TeamName

__all__ = ["TeamQuotas"]

_NO_RESOURCES = Resources()


class TeamQuotas:
    """Resources that each team uses, and its quota."""

    def __init__(self):
        self._quotas: dict[TeamName, Resources] = {}
        self._used_elsewhere: dict[TeamName, Resources] = {}
        self._used_in_shard: dict[TeamName, Resources] = {}

    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Replace the quotas and the usage in other shards.

        Parameters
        ----------
        teams : tuple of Team
            Teams of the configuration.
        used_elsewhere : dict of TeamName to Resources
            Usage in the other shards of the cell.
        """
        self._quotas = {team.name: team.quota for team in teams}
        self._used_elsewhere = dict(used_elsewhere)

    def add(self, team: TeamName, size: Resources) -> None:
        """Add resources to a team's usage in this shard."""
        self._used_in_shard[team] = self._used_in_shard.get(team, _NO_RESOURCES) + size

    def subtract(self, team: TeamName, size: Resources) -> None:
        """Subtract resources from a team's usage in this shard."""
        remaining = self._used_in_shard[team] - size
        if remaining == _NO_RESOURCES:
            del self._used_in_shard[team]
        else:
            self._used_in_shard[team] = remaining

    def used_in_shard(self) -> dict[TeamName, Resources]:
        """Return the usage in this shard, by team."""
        return dict(self._used_in_shard)

    def used(self, team: TeamName) -> Resources:
        """Return a team's usage in all shards of the cell."""
        used = self._used_in_shard.get(team, _NO_RESOURCES)
        elsewhere = self._used_elsewhere.get(team)
        return used if elsewhere is None else used + elsewhere

    def is_within_quota(self, team: TeamName, extra: Resources = _NO_RESOURCES) -> bool:
        """Return whether a team would be within quota if it used `extra` in addition.

        Without any configured team, there are no quotas and the result is true. A team
        that is missing from the configuration has no quota and may only borrow, so the
        result is false.
        """
        if not self._quotas:
            return True
        quota = self._quotas.get(team)
        return quota is not None and (self.used(team) + extra).fits_in(quota)
