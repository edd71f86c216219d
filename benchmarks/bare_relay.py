"""HTTP relay to one target with the libraries of an instance, as a baseline."""

import aiohttp
import falcon.asgi
import uvicorn
from absl import app, flags

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 0, "Port to listen on.")
flags.DEFINE_string("target", None, "Address of the target.")


class RelaySink:
    """Forward each request to one target."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, request, response) -> None:
        """Forward one request and return the response of the target."""
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        body = await request.stream.read()
        async with self._session.request(
            request.method,
            f"http://{self.target}{request.relative_uri}",
            data=body or None,
            headers=request.headers,
        ) as target_response:
            response.data = await target_response.read()
            response.status = target_response.status
            response.content_type = target_response.content_type


def _main(argv: list[str]) -> None:
    relay = falcon.asgi.App()
    relay.add_sink(RelaySink(FLAGS.target), "/")
    uvicorn.run(
        relay,
        host="127.0.0.1",
        port=FLAGS.port,
        http="httptools",
        loop="uvloop",
        lifespan="off",
        log_config=None,
        access_log=False,
    )


if __name__ == "__main__":
    app.run(_main)
