"""Recorders: members that write the edits of many agents to the group object."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Generic, Protocol, TypeVar

from ..kernel import Clock, Registry
from ..messages import Group, Member, MemberState

# Time for which a recorder that has not replied is passed over.
_SILENT_RECORDER_S = 15.0


class Reply(Protocol):
    """A message that replies to a call."""

    @property
    def call(self) -> int:
        """Call number of the request."""
        ...


_R = TypeVar("_R", bound=Reply)


class SecondReplies(Generic[_R]):
    """Replies to requests that a recorder has accepted, which come after its write."""

    def __init__(self) -> None:
        self._expected: dict[int, asyncio.Future[_R]] = {}

    @contextmanager
    def expect(self, call: int) -> Iterator[asyncio.Future[_R]]:
        """Provides the future of the second reply to a call."""
        reply = self._expected[call] = asyncio.get_running_loop().create_future()
        try:
            yield reply
        finally:
            del self._expected[call]

    def receive(self, reply: _R) -> None:
        """Sets the future of a reply, if one is expected."""
        expected = self._expected.get(reply.call)
        if expected is not None and not expected.done():
            expected.set_result(reply)


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
