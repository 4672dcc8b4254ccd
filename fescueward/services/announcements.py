"""HTTP endpoint for the announcements of the upstream on this VM."""

from __future__ import annotations

from aiohttp import web

from ..interfaces import Membership
from ..kernel import Event, Level, Registry
from ..kernel.errors import InvalidAnnouncementError, MalformedMessageError
from ..kernel.settings import Settings
from ..messages import Announcement
from ..messages.codec import decode_json

_ANNOUNCEMENT_REFUSED = Event(
    2402,
    "announcement_refused",
    Level.WARNING,
    "An announcement was malformed or had an invalid value.",
)

_MAX_ANNOUNCEMENT_BYTES = 16_384


class HttpAnnouncements:
    """The `announcements` service: passes announcements of the upstream to `membership`."""

    name = "announcements"
    requires = ("membership",)

    def __init__(self) -> None:
        self._runner: web.AppRunner | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the `membership` service and reads the address from the settings."""
        self._membership = registry.find("membership", Membership)
        self._section = registry.find("settings", Settings).announcements

    async def start(self) -> None:
        """Starts the HTTP listener."""
        app = web.Application(client_max_size=_MAX_ANNOUNCEMENT_BYTES)
        app.router.add_post("/announcements", self._on_post)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._section.host, self._section.port).start()

    async def stop(self) -> None:
        """Stops the HTTP listener and closes its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_post(self, request: web.Request) -> web.Response:
        try:
            self._membership.announce(decode_json(await request.read(), Announcement))
        except (MalformedMessageError, InvalidAnnouncementError) as error:
            _ANNOUNCEMENT_REFUSED.emit(error=error)
            invalid = InvalidAnnouncementError(str(error))
            body = {"code": invalid.code, "label": invalid.label, "message": str(error)}
            return web.json_response({"error": body}, status=400)
        return web.json_response({"accepted": True, "member": self._membership.member_id})
