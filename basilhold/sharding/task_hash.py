"""Hash of a worker's task list, as the platform's worker agent computes it."""

from collections.abc import Mapping

import xxhash

from basilhold.core import Attempt, TaskId

__all__ = ["hash_tasks"]


def hash_tasks(tasks: Mapping[TaskId, Attempt]) -> int:
    """Return a hash of running attempts that does not depend on their order."""
    digest = xxhash.xxh64()
    for task_id in sorted(tasks):
        digest.update(f"{task_id}:{tasks[task_id]};".encode())
    return digest.intdigest()
