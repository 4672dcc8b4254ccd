"""Applies what the upstream on this VM says of itself in its responses."""

from __future__ import annotations

from ...interfaces import DepartureRecord, NoticeSource, RateControl, Warmup
from ...kernel import Registry
from ...messages.upstream import UpstreamNotice


class UpstreamNotices:
    """The `notices` service: passes on a limit, a cold time and a departure.

    An upstream says that it leaves in responses before, or instead of, a heartbeat. The agent
    beside it hears of it first, because all requests pass it.
    """

    name = "notices"
    requires = ("upstream", "admission", "membership")

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and subscribes to the responses."""
        self._admission = registry.find("admission", RateControl)
        self._membership = registry.find("membership", DepartureRecord)
        self._warmup = registry.find("warmup", Warmup)
        registry.find("upstream", NoticeSource).subscribe_notices(self)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def upstream_noticed(self, notice: UpstreamNotice) -> None:
        """Applies a notice of the present start; see `NoticeListener.upstream_noticed`."""
        announcement = self._membership.announcement
        if announcement is None or announcement.start != notice.start:
            return
        self._admission.limit_rate(notice.per_second)
        if notice.load is not None and notice.load.slowness is not None:
            self._admission.observe_slowness(notice.load.slowness)
        if notice.cold_s:
            self._warmup.observe_cold(notice.cold_s)
        if notice.leaving:
            self._membership.upstream_leaves(notice.start)
