"""Usage of teams against their quotas."""

from basilhold.core import Resources, Team, TeamName

__all__ = ["TeamQuotas"]

_NOTHING = Resources()


class TeamQuotas:
    """Counts what each team holds and what its quota allows."""

    def __init__(self):
        self._quotas: dict[TeamName, Resources] = {}
        self._elsewhere: dict[TeamName, Resources] = {}
        self._used: dict[TeamName, Resources] = {}

    def set_teams(
        self, teams: tuple[Team, ...], used_elsewhere: dict[TeamName, Resources]
    ) -> None:
        """Replace quotas and the usage in other shards."""
        self._quotas = {team.name: team.quota for team in teams}
        self._elsewhere = dict(used_elsewhere)

    def add(self, team: TeamName, size: Resources) -> None:
        """Count resources that a team took."""
        self._used[team] = self._used.get(team, _NOTHING) + size

    def subtract(self, team: TeamName, size: Resources) -> None:
        """Count resources that a team gave back."""
        rest = self._used[team] - size
        if rest == _NOTHING:
            del self._used[team]
        else:
            self._used[team] = rest

    def used_in_shard(self) -> dict[TeamName, Resources]:
        """Return the usage in this shard by team."""
        return dict(self._used)

    def used(self, team: TeamName) -> Resources:
        """Return a team's usage in the whole cell."""
        used = self._used.get(team, _NOTHING)
        elsewhere = self._elsewhere.get(team)
        return used if elsewhere is None else used + elsewhere

    def is_within_quota(self, team: TeamName, extra: Resources = _NOTHING) -> bool:
        """Return whether a team is within quota once it takes `extra`.

        Without any configured team there are no quotas. A team that the
        configuration does not name has none and only borrows.
        """
        if not self._quotas:
            return True
        quota = self._quotas.get(team)
        return quota is not None and (self.used(team) + extra).fits_in(quota)
