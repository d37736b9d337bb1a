"""Checks of the rules, on the record of a script."""


def find_repeated_runs(record, accepted: list[str]) -> list[str]:
    """Return the tasks that ran twice at a time, or started after a run was done.

    The rule TWICE, for steps that are not `speculative`. An end counts if it was taken
    note of through `acked_through`, before or after the start, unless the lease of its
    runner lapsed between the two.
    """
    broken = []
    for at_s, runner, task, run in record.starts:
        if task.split(".")[0] not in accepted:
            continue
        for other_s, other, its_task, its_run in record.starts:
            is_same_run = (other_s, other, its_run) == (at_s, runner, run)
            if its_task != task or other_s > at_s or is_same_run:
                continue
            ends = [e for e in record.ends if e[1:4] == (other, task, its_run)]
            if not ends or ends[0][0] > at_s:
                broken.append(
                    f"TWICE: {task} starts on {runner} while it runs on {other}"
                )
            elif ends[0][4] == "done" and record.is_noted(
                other, task, its_run, "done", ends[0][0]
            ):
                broken.append(
                    f"TWICE: {task} starts on {runner} after it was done on {other}"
                )
    return broken
