"""Explores every interleaving of the commit and lease protocol at small size.

Two schedulers, two workers and two tasks; the second task is at-most-once. Messages
to the store and to workers may arrive late or never, replies may be lost, a scheduler
may rest for any time, and leases expire. The decisions are those of `leases`,
`commit_rules` and `task_rules`; `Rules` names them so that tests can break one.
"""

from collections import deque

from basilhold.sharding.explorer_model import (
    AT_MOST_ONCE_EXPIRY,
    COMMIT_RACES,
    EXPIRY,
    FENCING,
    START_RACES,
    Exploration,
    Scenario,
    State,
    find_violation,
    initial_state,
)
from basilhold.sharding.explorer_steps import Rules, Steps

__all__ = [
    "AT_MOST_ONCE_EXPIRY",
    "COMMIT_RACES",
    "EXPIRY",
    "FENCING",
    "START_RACES",
    "Exploration",
    "Rules",
    "Scenario",
    "explore",
]


def explore(
    scenario: Scenario, rules: Rules | None = None, states_max: int = 1_000_000
) -> Exploration:
    """Visit every reachable state, breadth first, until a guarantee breaks.

    Parameters
    ----------
    scenario : Scenario
    rules : Rules, optional
    states_max : int
        Bound on the states visited.
    """
    steps = Steps(rules or Rules(), scenario)
    start = initial_state(scenario)
    came_from: dict[State, tuple[State, str] | None] = {start: None}
    queue = deque((start,))
    while queue and len(came_from) < states_max:
        state = queue.popleft()
        for label, raw in steps.successors(state):
            following = steps.without_dead_messages(raw)
            if following in came_from:
                continue
            came_from[following] = (state, label)
            violation = find_violation(following)
            if violation:
                trace = _trace(came_from, following)
                return Exploration(len(came_from), False, violation, trace)
            queue.append(following)
    return Exploration(len(came_from), complete=not queue)


def _trace(came_from: dict, state: State) -> tuple[str, ...]:
    labels: list[str] = []
    step = came_from[state]
    while step is not None:
        labels.append(step[1])
        step = came_from[step[0]]
    return tuple(reversed(labels))


def main() -> None:
    """Explore all scenarios and print the number of states of each."""
    for name in (
        "COMMIT_RACES",
        "START_RACES",
        "EXPIRY",
        "AT_MOST_ONCE_EXPIRY",
        "FENCING",
    ):
        found = explore(globals()[name])
        print(f"{name}: {found.states} states, complete: {found.complete}", end="")
        print(f", {found.violation}: {found.trace}" if found.violation else "")


if __name__ == "__main__":
    main()
