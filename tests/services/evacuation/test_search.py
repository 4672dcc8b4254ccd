"""Search for agents that disagree, or two owners, in evacuations during faults and restores.

FESCUEWARD_SEARCH_EXAMPLES sets the number of examples of a long search, FESCUEWARD_SEARCH_SEED the
first of their seeds.
"""

import os
import unittest

from fescueward.interfaces import StoredObject
from fescueward.messages.codec import decode_json
from fescueward.messages.evacuations import EVACUATIONS_PREFIX
from fescueward.messages.group import Group
from fescueward.services.evacuation import EvacuatedDomains

from ..keyspace.test_restored import RestoredFleet

_EXAMPLES = int(os.environ.get("FESCUEWARD_SEARCH_EXAMPLES", "0"))
_FIRST_SEED = int(os.environ.get("FESCUEWARD_SEARCH_SEED", "0"))
# In it, a watch of an earlier era answered late and ended a later evacuation.
_SEED_WITH_A_LATE_WATCH = 78
# Time for the watches that wait at the end of the last fault to be answered, and for the moves.
_SETTLING_S = 45.0


class EvacuatedRestoredFleet(RestoredFleet):
    """A fleet whose domains are also evacuated and taken back at random."""

    services = {"evacuations": EvacuatedDomains, **RestoredFleet.services}

    def toggle(self) -> None:
        key = f"{EVACUATIONS_PREFIX}d{self.rng.randrange(3)}"
        old = self.platform.objects.get(key)
        evacuated = old is not None and not old.deleted
        self.platform.write(key, b"{}", old.version if old is not None else 0, deleted=evacuated)

    def disturb(self) -> None:
        if self.rng.random() < 0.7:
            self.toggle()
        super().disturb()
        if self.rng.random() < 0.5:
            self.toggle()

    def _check_write(self, old: StoredObject | None, new: StoredObject) -> None:
        if new.key.startswith(EVACUATIONS_PREFIX):
            return
        after = decode_json(new.value, Group)
        if any(key_range.owner is None for key_range in after.ranges):
            # Keys of a lost member wait without an owner while all others are evacuated.
            self._last_confirmed = new
            return
        super()._check_write(old, new)


class SearchTest(unittest.TestCase):
    def search(self, seed: int) -> None:
        fleet = EvacuatedRestoredFleet(seed)
        self.addCleanup(fleet.close)
        for _ in range(fleet.rng.randint(3, 8)):
            fleet.join()
        fleet.world.advance(4)
        for _ in range(fleet.rng.randint(1, 3)):
            fleet.lose_store()
            if fleet.rng.random() < 0.5:
                fleet.disturb()
            fleet.world.advance(fleet.rng.choice((0.05, 0.4, 1.5, 4.0)))
        fleet.end_faults()
        fleet.world.advance(_SETTLING_S)
        member_ids = fleet.group().members.keys()
        known = {
            agent.kernel.registry.find("evacuations", EvacuatedDomains).domains
            for agent in fleet.agents.values()
            if agent.member_id in member_ids
        }
        self.assertEqual(len(known), 1)
        stored = {
            key.removeprefix(EVACUATIONS_PREFIX)
            for key, each in fleet.platform.objects.items()
            if key.startswith(EVACUATIONS_PREFIX) and not each.deleted
        }
        self.assertLessEqual(stored, known.pop())

    def test_agents_agree_and_no_key_has_two_owners(self):
        """Guards against evacuations that one agent keeps or loses after faults in any order."""
        seeds = range(_FIRST_SEED, _FIRST_SEED + (_EXAMPLES or 3))
        for seed in seeds if _EXAMPLES else (_SEED_WITH_A_LATE_WATCH, *seeds):
            with self.subTest(seed=seed):
                self.search(seed)
