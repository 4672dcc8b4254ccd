"""Epochs that each process of the upstream may be granted."""

from __future__ import annotations

from collections.abc import Iterable

from ...interfaces import Groups, Membership, RangeGrants
from ...kernel import Event, Level, Registry, TaskOwner
from ...kernel.errors import PlatformError
from ...messages import Group
from ...messages.group import KeyRange
from .moves import with_raised_epochs

_PROCESS_CHANGED = Event(
    2828,
    "upstream_process_changed",
    Level.WARNING,
    "The upstream may be another process than the one that was granted keys.",
)
_EPOCHS_NOT_RAISED = Event(
    2829,
    "epochs_not_raised",
    Level.WARNING,
    "The write that raises the epochs for the upstream's process failed; it is retried.",
)


class ProcessEpochs:
    """Keeps the epochs that one process of the upstream was granted from the next one.

    A new process can accept grants before its first heartbeat, and under the id of the last one.

    Args:
        tasks: Owner of the task that raises epochs.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        self._process = 0
        self._newest_granted_epoch = 0
        # Highest epoch that an earlier process may have been granted.
        self._spent_epoch = 0
        self._raising = False

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._upstream = registry.find("upstream", RangeGrants)

    @property
    def process(self) -> int:
        """Number of the process that is granted keys; see `RangeGrants.process`."""
        return self._process

    @property
    def outdated(self) -> bool:
        """Whether connections reach another process than the one that is granted keys."""
        return self._upstream.process != self._process

    def observe(self, owned_ranges: Iterable[KeyRange]) -> bool:
        """Grants keys to the current process from now on, once their epochs are high enough.

        Args:
            owned_ranges: Ranges of this member without a successor.

        Returns:
            Whether the process has changed.
        """
        changed = self.outdated
        if changed:
            self._process = self._upstream.process
            if self._newest_granted_epoch > self._spent_epoch:
                self._spent_epoch = self._newest_granted_epoch
                _PROCESS_CHANGED.emit(process=self._process, spent_epoch=self._spent_epoch)
        if not self._raising and not all(map(self.may_grant, owned_ranges)):
            self._raising = True
            self._tasks.spawn("epochs", self._raise_epochs())
        return changed

    def may_grant(self, key_range: KeyRange) -> bool:
        """Returns whether the epoch of a range was granted to no earlier process."""
        return key_range.epoch > self._spent_epoch

    def add_grant(self, key_range: KeyRange) -> None:
        """Records a grant that is about to be sent."""
        self._newest_granted_epoch = max(self._newest_granted_epoch, key_range.epoch)

    async def _raise_epochs(self) -> None:
        own_group_id = self._membership.own_group_id
        assert own_group_id is not None
        try:
            await self._groups.edit(own_group_id, self._with_raised_epochs)
        except PlatformError as error:
            # The next call of `observe` tries again.
            _EPOCHS_NOT_RAISED.emit(group=own_group_id, error=error)
        finally:
            self._raising = False

    def _with_raised_epochs(self, group: Group) -> Group | None:
        own_id = self._membership.member_id
        if all(
            self.may_grant(key_range)
            for key_range in group.ranges
            if key_range.owner == own_id and key_range.successor is None
        ):
            return None
        return with_raised_epochs(group, own_id)
