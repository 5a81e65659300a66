"""A small HTTP server on a free loopback port."""

from aiohttp import web


class Site:
    """Serves some routes, each given as method, path and handler."""

    def __init__(self, *routes: tuple) -> None:
        self._routes = routes
        self._runner: web.AppRunner | None = None
        self.address = ''

    async def start(self) -> None:
        app = web.Application()
        for method, path, handler in self._routes:
            app.router.add_route(method, path, handler)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=False,
        )
        await self._runner.setup()
        # A server that starts again listens where it listened before.
        port = int(self.address.rpartition(':')[2] or 0)
        site = web.TCPSite(self._runner, '127.0.0.1', port)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        await self._runner.cleanup()
