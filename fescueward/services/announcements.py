"""HTTP listener for the announcements of the upstream on this VM."""

from __future__ import annotations

from aiohttp import web

from ..interfaces import Membership
from ..kernel import Event, Level, Registry
from ..kernel.errors import InvalidAnnouncementError, MalformedMessageError
from ..kernel.settings import Settings
from ..messages import Announcement
from ..messages.codec import decode_json

_BAD_ANNOUNCEMENT = Event(
    2402, "announcement_refused", Level.WARNING, "An announcement had a bad value."
)

_MAX_ANNOUNCEMENT_BYTES = 16_384


class HttpAnnouncements:
    """The `announcements` service."""

    name = "announcements"
    requires = ("membership",)

    def __init__(self) -> None:
        self._runner: web.AppRunner | None = None

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._membership = registry.find("membership", Membership)
        self._section = registry.find("settings", Settings).announcements

    async def start(self) -> None:
        """Listens for announcements."""
        app = web.Application(client_max_size=_MAX_ANNOUNCEMENT_BYTES)
        app.router.add_post("/announcements", self._on_post)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._section.host, self._section.port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_post(self, request: web.Request) -> web.Response:
        try:
            self._membership.announce(decode_json(await request.read(), Announcement))
        except (MalformedMessageError, InvalidAnnouncementError) as error:
            _BAD_ANNOUNCEMENT.emit(error=error)
            refused = InvalidAnnouncementError(str(error))
            body = {"code": refused.code, "label": refused.label, "message": str(error)}
            return web.json_response({"error": body}, status=400)
        return web.json_response({"accepted": True, "member": self._membership.member_id})
