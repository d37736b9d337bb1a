"""Tasks that may be evicted for urgent work, ordered by how little work is lost."""

from collections.abc import Iterator

from sortedcontainers import SortedList

from basilhold.core import TaskId, TeamName
from basilhold.placement.workers import LiveTask

__all__ = ["NewestReclaimableTasks"]


class NewestReclaimableTasks:
    """Reclaimable tasks of each team, the most recently started or checkpointed first.

    These lose the least work when they are evicted.
    """

    def __init__(self):
        self._by_team: dict[TeamName, SortedList] = {}

    def update(self, live: LiveTask) -> None:
        """Insert a task if it is reclaimable, and remove it otherwise."""
        if live.reclaimable == (live.newest_key is not None):
            return
        if live.reclaimable:
            self._add(live)
        else:
            self.remove(live)

    def remove(self, live: LiveTask) -> None:
        """Remove a task if it is present."""
        if live.newest_key is None:
            return
        tasks = self._by_team[live.newest_team]
        tasks.remove(live.newest_key)
        live.newest_key = None
        if not tasks:
            del self._by_team[live.newest_team]

    def by_team(self) -> Iterator[tuple[TeamName, Iterator[tuple[int, TaskId]]]]:
        """Yield each team with an iterator over its tasks, the newest first.

        Each task is given as the negated time of its start or last checkpoint, in Unix
        milliseconds, and its id.
        """
        return ((team, iter(tasks)) for team, tasks in self._by_team.items())

    def _add(self, live: LiveTask) -> None:
        live.newest_team = live.job.spec.team
        since = max(live.started_unix_ms, live.checkpoint_unix_ms)
        live.newest_key = (-since, live.task_id)
        tasks = self._by_team.get(live.newest_team)
        if tasks is None:
            tasks = self._by_team[live.newest_team] = SortedList()
        tasks.add(live.newest_key)
