"""Applies what the upstream on this VM says of itself in its responses."""

from __future__ import annotations

from ...interfaces import Membership, NoticeSource, RateControl
from ...kernel import Registry
from ...messages.upstream import UpstreamNotice


class UpstreamNotices:
    """The `notices` service: passes the limit of an upstream to admission."""

    name = "notices"
    requires = ("upstream", "admission", "membership")

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and subscribes to the responses."""
        self._admission = registry.find("admission", RateControl)
        self._membership = registry.find("membership", Membership)
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
