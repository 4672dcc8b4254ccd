"""Recorders: members that write the edits of many agents to the group object."""

from __future__ import annotations

from ..kernel import Clock, Registry
from ..messages import Group, Member, MemberState

# Time for which a recorder that has not replied is passed over.
_SILENT_RECORDER_S = 15.0


class Recorders:
    """Active members in the order in which agents ask them to write.

    All agents use the same order, so that few members write at a time.
    """

    def __init__(self) -> None:
        # Until when members that have not replied are passed over, by the names of their agents.
        self._passed_over_until: dict[str, float] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the clock."""
        self._clock = registry.find("clock", Clock)

    def candidates(self, group: Group) -> tuple[Member, ...]:
        """Returns the active members that have replied lately or were not asked, by member id."""
        now = self._clock.now()
        for name in [name for name, until in self._passed_over_until.items() if until <= now]:
            del self._passed_over_until[name]
        return tuple(
            group.members[member_id]
            for member_id in sorted(group.members)
            if group.members[member_id].state is MemberState.ACTIVE
            and group.members[member_id].name not in self._passed_over_until
        )

    def pass_over(self, recorder: Member) -> None:
        """Leaves a recorder that has not replied or not written out for a while."""
        self._passed_over_until[recorder.name] = self._clock.now() + _SILENT_RECORDER_S
