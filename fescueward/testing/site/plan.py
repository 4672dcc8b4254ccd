"""Fault plans, drawn at random from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from .odd_entries import VARIANTS

# No fault begins in the first or last second of a plan.
_MARGIN_S = 1.0
# Mean time between two draws of an action. Most faults last longer, so they overlap.
_MEAN_INTERVAL_S = 1.6
# Share of plans with only planned operations and store outages. Around unplanned faults the
# platform's rules allow requests to be cut off, so plans with such faults check less.
_PLANNED_ONLY_SHARE = 0.5
# Entries of another program in each plan.
_ODD_ENTRIES = 3


class Action(enum.StrEnum):
    """Kinds of steps in a plan."""

    # Signals sent to an agent.
    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    HANGUP = "hangup"
    # Faults of the store that affect all machines; `value` is the variant of the fault.
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOST = "store-lost"
    STORE_FORGET = "store-forget"
    # The store is down and returns from an older copy; `value` is the age of the copy in seconds.
    STORE_RESTORED = "store-restored"
    # Faults of the link between one agent and the store; `value` is a proxy mode.
    STORE_PART = "store-part"
    # The operator evacuates a failure domain for a while; `value` is its number.
    EVACUATE = "evacuate"
    # Writes a new configuration version.
    CONFIGURE = "configure"
    # Another program writes an entry beside the groups; `value` is its variant.
    ODD_ENTRY = "odd-entry"
    # Faults and departures of an upstream; for `CRASH`, `value` selects the id of its next start.
    LEAVE = "leave"
    CRASH = "crash"
    SLOW = "slow"
    ANSWERS_LOST = "answers-lost"
    STUTTER = "stutter"
    # Faults of the link between an agent and its upstream; `value` is a proxy mode or `delay`.
    LINK = "link"


_PLANNED_ACTIONS = (
    Action.TERM,
    Action.TERM,
    Action.HANGUP,
    Action.STORE_DOWN,
    Action.STORE_DOWN,
    Action.STORE_SLOW,
    Action.STORE_LOST,
    Action.STORE_FORGET,
    Action.STORE_PART,
    Action.CONFIGURE,
    Action.CONFIGURE,
    Action.LEAVE,
)
_UNPLANNED_ACTIONS = (
    Action.KILL,
    Action.PAUSE,
    Action.CRASH,
    Action.SLOW,
    Action.ANSWERS_LOST,
    Action.LINK,
)
# Variants of an action.
_VARIANTS = {
    Action.STORE_DOWN: ("silent", "refuse", "reset"),
    Action.STORE_LOST: ("now", "late"),
    Action.STORE_PART: ("drop", "cut"),
    Action.CRASH: ("same id", "new id"),
    Action.LINK: ("drop", "cut", "delay"),
    Action.ODD_ENTRY: VARIANTS,
}
# Minimum and maximum age of the copy that the store is restored from.
_COPY_AGES_S = (0.5, 9.0)
_MAX_RESTORES = 3
_MAX_EVACUATIONS = 3
FAILURE_DOMAINS = 3
# Minimum and maximum duration of an action.
_DURATIONS_S = {
    Action.PAUSE: (0.3, 5.0),
    Action.LINK: (0.3, 3.0),
    Action.CRASH: (0.5, 4.0),
    Action.LEAVE: (2.0, 4.0),
    Action.STORE_RESTORED: (0.2, 2.5),
    Action.EVACUATE: (1.0, 14.0),
}
_DEFAULT_DURATION_S = (2.0, 9.0)
# Mean time between two draws of `STUTTER`.
_MEAN_STUTTER_INTERVAL_S = 5.0
# Actions that affect all machines.
_GLOBAL_ACTIONS = frozenset(
    {
        Action.STORE_DOWN,
        Action.STORE_SLOW,
        Action.STORE_LOST,
        Action.STORE_FORGET,
        Action.CONFIGURE,
    }
)


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or operation of a plan.

    Attributes:
        at_s: When it begins, in seconds from the start of the plan.
        action: Kind of the step.
        machine: Affected machine; empty for all.
        seconds: Duration, for actions that have one.
        value: Variant of the action; empty if it has no variants.
    """

    at_s: float
    action: Action
    machine: str = ""
    seconds: float = 0.0
    value: str = ""


def draw_plan(
    seed: int,
    seconds: float,
    machines: tuple[str, ...],
    restores: bool = False,
    evacuations: bool = False,
) -> tuple[Step, ...]:
    """Returns the plan of a seed, in order of time.

    An action affects one machine, several at once or, for some planned operations, all machines
    one after another. The same arguments always give the same plan.

    Args:
        seed: Seed of the random generator.
        seconds: Length of the plan.
        machines: Names of the machines.
        restores: Whether the store is also restored from older copies; the other steps of the
            plan stay the same.
        evacuations: Whether failure domains are also evacuated; likewise.
    """
    rng = random.Random(seed)
    actions = (
        _PLANNED_ACTIONS
        if rng.random() < _PLANNED_ONLY_SHARE
        else (*_PLANNED_ACTIONS, *_UNPLANNED_ACTIONS * 2)
    )
    steps: list[Step] = []
    at_s = _MARGIN_S
    while at_s < seconds - _MARGIN_S:
        action = rng.choice(actions)
        steps += _draw(rng, at_s, action, machines)
        at_s += rng.expovariate(1 / _MEAN_INTERVAL_S)
    if len(actions) > len(_PLANNED_ACTIONS):
        steps += _draw_stutter(seed, seconds, machines)
    steps += _draw_odd_entries(seed, seconds)
    if restores:
        steps += _draw_restores(random.Random(f"{seed} restores"), seconds)
    if evacuations:
        steps += _draw_evacuations(random.Random(f"{seed} evacuations"), seconds)
    return tuple(
        sorted(
            (drawn for drawn in steps if drawn.at_s < seconds - _MARGIN_S),
            key=lambda step: step.at_s,
        )
    )


def _draw_stutter(seed: int, seconds: float, machines: tuple[str, ...]) -> list[Step]:
    # A generator of its own leaves the other steps of a seed as they were.
    rng = random.Random(f"stutter {seed}")
    steps: list[Step] = []
    at_s = _MARGIN_S
    while at_s < seconds - _MARGIN_S:
        steps += _draw(rng, at_s, Action.STUTTER, machines)
        at_s += rng.expovariate(1 / _MEAN_STUTTER_INTERVAL_S)
    return steps


def _draw_odd_entries(seed: int, seconds: float) -> list[Step]:
    """Returns steps with a generator of their own, so that the others of a seed stay the same."""
    rng = random.Random(f"odd entries {seed}")
    times_s = (rng.uniform(_MARGIN_S, seconds) for _ in range(_ODD_ENTRIES))
    return [
        Step(round(at_s, 2), Action.ODD_ENTRY, value=rng.choice(_VARIANTS[Action.ODD_ENTRY]))
        for at_s in times_s
    ]


def _draw_restores(rng: random.Random, seconds: float) -> list[Step]:
    """Returns one to three restores, also shortly after each other."""
    steps: list[Step] = []
    at_s = rng.uniform(_MARGIN_S, seconds / 2)
    for _ in range(rng.randint(1, _MAX_RESTORES)):
        duration_s = round(rng.uniform(*_DURATIONS_S[Action.STORE_RESTORED]), 2)
        age_s = round(rng.uniform(*_COPY_AGES_S), 2)
        step = Step(round(at_s, 2), Action.STORE_RESTORED, seconds=duration_s, value=str(age_s))
        steps.append(step)
        at_s += duration_s + rng.choice((0.1, 1.5, 6.0))
    return steps


def _draw_evacuations(rng: random.Random, seconds: float) -> list[Step]:
    """Returns one to three evacuations, which may overlap and concern the same failure domain."""
    return [
        Step(
            round(rng.uniform(_MARGIN_S, seconds / 2), 2),
            Action.EVACUATE,
            seconds=round(rng.uniform(*_DURATIONS_S[Action.EVACUATE]), 2),
            value=str(rng.randrange(FAILURE_DOMAINS)),
        )
        for _ in range(rng.randint(1, _MAX_EVACUATIONS))
    ]


def _draw(
    rng: random.Random, at_s: float, action: Action, machines: tuple[str, ...]
) -> list[Step]:
    """Returns the steps of one action with random machines, duration and variant."""

    def step(machine: str, at_s: float) -> Step:
        duration_s = round(rng.uniform(*_DURATIONS_S.get(action, _DEFAULT_DURATION_S)), 2)
        variant = rng.choice(_VARIANTS.get(action, ("",)))
        return Step(round(at_s, 2), action, machine, duration_s, variant)

    if action in _GLOBAL_ACTIONS:
        count = rng.randint(2, 5) if action is Action.CONFIGURE and rng.random() < 0.4 else 1
        return [step("", at_s + 0.2 * number) for number in range(count)]
    order = rng.sample(machines, len(machines))
    pattern = rng.random()
    if action in (Action.TERM, Action.HANGUP, Action.LEAVE) and pattern < 0.3:
        gap_s = rng.choice((0.5, 1.5, 3.0))
        return [step(name, at_s + gap_s * number) for number, name in enumerate(order)]
    count = rng.randint(2, len(machines)) if pattern > 0.8 else 1
    return [step(name, at_s) for name in order[:count]]
