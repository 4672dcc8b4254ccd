"""Plans of faults, drawn from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

# Faults end so long before the end of a plan, in seconds, and begin so long after its begin.
_MARGIN_S = 1.0
# Mean time between two entries of a plan, in seconds; most faults last longer, so they overlap.
_MEAN_GAP_S = 1.6
# Share of the plans with planned work and outages of the store only: around unplanned faults the
# platform's rules excuse requests that are cut.
_PLANNED_SHARE = 0.5


class Action(enum.StrEnum):
    """What a step does."""

    # Signals to agents.
    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    HANGUP = "hangup"
    # The store, for all machines; `value` is the kind of the outage.
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOST = "store-lost"
    STORE_FORGET = "store-forget"
    # The way of some machines to the store; `value` is a mode of the proxy.
    STORE_PART = "store-part"
    # A new configuration.
    CONFIGURE = "configure"
    # Upstreams; `value` tells whether the next start has the same id.
    LEAVE = "leave"
    CRASH = "crash"
    SLOW = "slow"
    ANSWERS_LOST = "answers-lost"
    # The way from an agent to its upstream; `value` is a mode of the proxy.
    LINK = "link"


_PLANNED = (
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
_UNPLANNED = (
    Action.KILL,
    Action.PAUSE,
    Action.CRASH,
    Action.SLOW,
    Action.ANSWERS_LOST,
    Action.LINK,
)
# Values that an action may have, and its shortest and longest time in seconds.
_VALUES = {
    Action.STORE_DOWN: ("silent", "refuse", "reset"),
    Action.STORE_LOST: ("now", "late"),
    Action.STORE_PART: ("drop", "cut"),
    Action.CRASH: ("same id", "new id"),
    Action.LINK: ("drop", "cut", "delay"),
}
_SECONDS = {
    Action.PAUSE: (0.3, 5.0),
    Action.LINK: (0.3, 3.0),
    Action.CRASH: (0.5, 4.0),
    Action.LEAVE: (2.0, 4.0),
}
_DEFAULT_SECONDS = (2.0, 9.0)
_FOR_ALL = frozenset(
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
    """One fault or change.

    Attributes:
        at_s: When it begins, in seconds from the begin of the plan.
        action: What it is.
        machine: Machine that it concerns; empty for all.
        seconds: How long it lasts, if it lasts.
        value: Kind of it, if there are several.
    """

    at_s: float
    action: Action
    machine: str = ""
    seconds: float = 0.0
    value: str = ""


def draw_plan(seed: int, seconds: float, machines: tuple[str, ...]) -> tuple[Step, ...]:
    """Returns the plan of a seed: single steps, series over all machines, and bursts.

    Args:
        seed: The seed.
        seconds: Length of the plan.
        machines: Names of the machines.
    """
    rng = random.Random(seed)
    actions = _PLANNED if rng.random() < _PLANNED_SHARE else (*_PLANNED, *_UNPLANNED * 2)
    steps: list[Step] = []
    at_s = _MARGIN_S
    while at_s < seconds - _MARGIN_S:
        action = rng.choice(actions)
        steps += _draw(rng, at_s, action, machines)
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
    return tuple(
        sorted((s for s in steps if s.at_s < seconds - _MARGIN_S), key=lambda step: step.at_s)
    )


def _draw(
    rng: random.Random, at_s: float, action: Action, machines: tuple[str, ...]
) -> list[Step]:
    def step(machine: str, at_s: float) -> Step:
        seconds = round(rng.uniform(*_SECONDS.get(action, _DEFAULT_SECONDS)), 2)
        value = rng.choice(_VALUES.get(action, ("",)))
        return Step(round(at_s, 2), action, machine, seconds, value)

    if action in _FOR_ALL:
        count = rng.randint(2, 5) if action is Action.CONFIGURE and rng.random() < 0.4 else 1
        return [step("", at_s + 0.2 * number) for number in range(count)]
    order = rng.sample(machines, len(machines))
    shape = rng.random()
    if action in (Action.TERM, Action.HANGUP, Action.LEAVE) and shape < 0.3:
        gap_s = rng.choice((0.5, 1.5, 3.0))
        return [step(name, at_s + gap_s * number) for number, name in enumerate(order)]
    count = rng.randint(2, len(machines)) if shape > 0.8 else 1
    return [step(name, at_s) for name in order[:count]]
