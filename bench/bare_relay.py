"""A minimal aiohttp relay, the baseline for the processor time of an entry."""

import sys

import aiohttp
from aiohttp import web


def make_app(target: str) -> web.Application:
    """Return an application that forwards POST bodies to the target URL."""

    async def relay(request: web.Request) -> web.Response:
        body = await request.read()
        headers = {"Attempt-Id": "a", "Kind": "preview"}
        async with request.app["session"].post(target, data=body, headers=headers) as response:
            answer = await response.read()
            return web.Response(body=answer, content_type=response.content_type)

    async def open_session(app: web.Application):
        app["session"] = aiohttp.ClientSession()
        yield
        await app["session"].close()

    app = web.Application()
    app.cleanup_ctx.append(open_session)
    app.router.add_post("/", relay)
    return app


if __name__ == "__main__":
    web.run_app(make_app(sys.argv[2]), host="127.0.0.1", port=int(sys.argv[1]), print=None)
