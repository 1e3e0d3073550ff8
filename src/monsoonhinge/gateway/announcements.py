"""HTTP endpoint to which targets post their announcements."""

from collections.abc import Callable

from aiohttp import web
import pydantic

from monsoonhinge.protocol import messages
from monsoonhinge.targets import announcement


def application(
    on_announcement: Callable[[messages.TargetState], None],
) -> web.Application:
    """Returns the HTTP application for targets.

    Args:
        on_announcement: Called with each valid announcement.
    """

    async def announce(request: web.Request) -> web.Response:
        try:
            parsed = announcement.Announcement.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            problems = error.errors(
                include_url=False, include_input=False, include_context=False
            )
            return web.json_response({"errors": problems}, status=400)
        on_announcement(parsed.to_state())
        return web.Response(status=204)

    app = web.Application(client_max_size=announcement.MAX_ANNOUNCEMENT_BYTES)
    app.router.add_post("/targets/announce", announce)
    return app
