"""Configuration of the HTTP server for callers."""

from collections.abc import Callable

import uvicorn


def create_server_config(app: Callable, keep_alive_s: int = 5) -> uvicorn.Config:
    """Return a configuration that leaves signals, logs and headers to the program."""
    return uvicorn.Config(
        app,
        http="httptools",
        ws="none",
        proxy_headers=False,
        loop="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=keep_alive_s,
    )
