"""Tests of the merging of what agents know of the evacuations."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueward.interfaces.platform import Changes, StoredObject
from fescueward.messages.era import to_version
from fescueward.messages.evacuations import EVACUATIONS_PREFIX, Evacuations
from fescueward.services.evacuation.versions import lost_to_store, merged, with_changes


def stored(name: str, version: int, deleted: bool = False) -> StoredObject:
    return StoredObject(EVACUATIONS_PREFIX + name, version, b"" if deleted else b"{}", deleted)


class VersionsTest(unittest.TestCase):
    def test_late_message_brings_no_ended_evacuation_back(self):
        """Guards against a member that was paused and still publishes an ended evacuation."""
        begun = with_changes(Evacuations(), Changes(5, (stored("z", 5),), complete=True))
        ended = with_changes(begun, Changes(9, (stored("z", 9, deleted=True),)))
        listed = with_changes(Evacuations(), Changes(9, (), complete=True))
        for newest in (ended, listed):
            self.assertEqual(dict(merged(newest, begun).domains), {})
            self.assertEqual(dict(merged(begun, newest).domains), {})
        again = with_changes(ended, Changes(12, (stored("z", 12),)))
        self.assertEqual(dict(merged(again, ended).domains), {"z": 12})

    def test_late_answer_of_a_watch_undoes_nothing(self):
        """Guards against a watch that answers after a member has told of something newer.

        Found by random faults: an end in an earlier era ended the evacuation in the restored copy.
        """
        current = Evacuations(to_version(1, 6), {"z": to_version(1, 4)})
        for late in (stored("z", 5, deleted=True), stored("y", to_version(1, 5))):
            changes = Changes(late.version, (late,))
            self.assertEqual(set(with_changes(current, changes).domains), {"z"})

    def test_restored_store_ends_no_evacuation(self):
        """Guards against an evacuation that ends because the store lost it."""
        begun = with_changes(Evacuations(), Changes(5, (stored("z", 5),), complete=True))
        restored = Changes(to_version(1, 3), (), complete=True)
        kept = with_changes(begun, restored)
        self.assertEqual((set(kept.domains), lost_to_store(kept)), ({"z"}, {"z"}))
        # An agent that started after the restore learns of it from the others.
        self.assertEqual(set(merged(with_changes(Evacuations(), restored), kept).domains), {"z"})
        written = with_changes(kept, Changes(to_version(1, 4), (stored("z", to_version(1, 4)),)))
        self.assertEqual(lost_to_store(written), frozenset())
        removed = with_changes(
            written, Changes(to_version(1, 5), (stored("z", to_version(1, 5), deleted=True),))
        )
        # A member that missed both still has the lost one.
        self.assertEqual((dict(merged(removed, kept).domains)), {})

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("wdrl")), max_size=12),
        st.data(),
    )
    def test_order_of_messages_does_not_matter(self, steps, data):
        """Guards against agents that stay different after they have exchanged all they know."""
        era, revision, store = 0, 1, {}
        copies = [(1, {})]
        states = [with_changes(Evacuations(), Changes(1, (), complete=True))]
        for name, step in steps:
            if step == "r":
                era += 1
                revision, store = copies[data.draw(st.integers(0, len(copies) - 1))]
            elif step in "wd":
                if step == "d" and name not in store:
                    continue
                revision += 1
                store = {each: at for each, at in store.items() if each != name}
                if step == "w":
                    store[name] = revision
            listed = tuple(stored(each, to_version(era, at)) for each, at in store.items())
            changes = Changes(to_version(era, revision), listed, complete=True)
            base = Evacuations() if step == "l" else states[-1]
            if step in "wd":
                changed = stored(name, to_version(era, revision), deleted=step == "d")
                changes = Changes(changed.version, (changed,))
            states.append(with_changes(base, changes))
            # The watch of an agent that a member has told of newer states answers late.
            if data.draw(st.booleans()):
                states[-1:-1] = [with_changes(states[-1], changes)]
            copies.append((revision, store))
        results = set()
        for _ in range(2):
            known = Evacuations()
            for state in (*data.draw(st.permutations(states)), *states):
                known = merged(known, state)
            results.add(frozenset(known.domains))
        self.assertEqual(len(results), 1)
        self.assertLessEqual(set(store), next(iter(results)))
