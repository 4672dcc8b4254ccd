"""Snapshots of loads, which a planner stores for the next planner."""

from __future__ import annotations

from ..interfaces import (
    Groups,
    Load,
    Membership,
    Placement,
    Platform,
)
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    MalformedMessageError,
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ..kernel.settings import Settings
from ..messages import Group, GroupId, VersionedGroup
from ..messages.codec import decode_json, encode_json
from ..messages.snapshot import Snapshot, snapshot_object_key

_STORED = Event(2811, "snapshot_stored", Level.DEBUG, "The planner stored a snapshot.")
_RESTORED = Event(2812, "snapshot_restored", Level.INFO, "A new planner read the snapshot.")
_FAILED = Event(2813, "snapshot_failed", Level.WARNING, "Reading or storing a snapshot failed.")

_MICROSECONDS_PER_S = 1_000_000
# 4,096 shards, 64 exceptions and the hot keys of 32 members stay below 200 KB. The platform
# accepts 1 MB.
_MAX_HOT_KEYS = 128
_READ_RETRY_DELAY_S = 2.0


class PlannerSnapshots:
    """The `snapshots` service."""

    name = "snapshots"
    requires = ("platform", "groups", "load")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._planned_group: GroupId | None = None
        self._stored_version: int | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._platform = registry.find("platform", Platform)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._placement = registry.find("placement", Placement)
        self._load = registry.find("load", Load)
        self._period_s = registry.find("settings", Settings).placement.snapshot_ms / 1000
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the task that stores snapshots periodically."""
        self._tasks.spawn("store", self._run())

    async def stop(self) -> None:
        """Cancels all tasks."""
        await self._tasks.cancel()

    def group_changed(self, group: VersionedGroup) -> None:
        """Reads the snapshot when this agent becomes the planner."""
        if group.group.id != self._membership.own_group_id:
            return
        if not self._is_planner(group.group):
            self._planned_group = None
        elif self._planned_group is None:
            self._planned_group = group.group.id
            self._stored_version = None
            self._tasks.spawn("restore", self._restore(group.group.id))

    async def store(self) -> bool:
        """Stores a snapshot if this agent is the planner with complete loads.

        Returns:
            Whether a snapshot was stored.
        """
        group = self._planned_group
        if group is None or self._stored_version is None or not self._load.group_load().complete:
            return False
        try:
            self._stored_version = await self._platform.put(
                snapshot_object_key(group),
                encode_json(self._snapshot(group)),
                self._stored_version,
            )
        except (OutcomeUnknownError, VersionConflictError) as error:
            # The write may have taken effect, or another planner has written, so the stored
            # version is read before the next write.
            _FAILED.emit(group=group, error=error)
            self._stored_version = None
            self._tasks.spawn("restore", self._restore(group))
            return False
        except PlatformError as error:
            _FAILED.emit(group=group, error=error)
            return False
        _STORED.emit(group=group, version=self._stored_version)
        return True

    def _snapshot(self, group: GroupId) -> Snapshot:
        load = self._load.group_load()
        hottest = sorted(load.hot_keys.items(), key=lambda item: -item[1])[:_MAX_HOT_KEYS]
        return Snapshot(
            service=group.service,
            number=group.number,
            work={
                str(shard): int(work * _MICROSECONDS_PER_S) for shard, work in load.work.items()
            },
            hot_keys={key: int(work * _MICROSECONDS_PER_S) for key, work in hottest},
        )

    async def _restore(self, group: GroupId) -> None:
        failure_logged = False
        while self._planned_group == group:
            try:
                stored = await self._platform.get(snapshot_object_key(group))
                snapshot = decode_json(stored.value, Snapshot)
            except ObjectNotFoundError:
                self._stored_version = 0
                return
            except MalformedMessageError as error:
                # The next snapshot replaces the malformed one.
                _FAILED.emit(group=group, error=error)
                self._stored_version = stored.version
                return
            except PlatformError as error:
                if not failure_logged:
                    _FAILED.emit(group=group, error=error)
                failure_logged = True
                await self._clock.sleep(_READ_RETRY_DELAY_S)
                continue
            self._stored_version = stored.version
            self._load.restore(
                {
                    int(shard): work / _MICROSECONDS_PER_S
                    for shard, work in snapshot.work.items()
                    if shard.isdecimal()
                },
                {key: work / _MICROSECONDS_PER_S for key, work in snapshot.hot_keys.items()},
            )
            _RESTORED.emit(group=group, version=stored.version, shards=len(snapshot.work))
            return

    def _is_planner(self, group: Group) -> bool:
        planner = self._placement.planner(group)
        return planner is not None and planner.id == self._membership.member_id

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._period_s)
            await self.store()
