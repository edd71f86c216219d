"""Find free ports for programs that must know them before they start."""

import socket


def reserve_port(host: str) -> int:
    """Return a free port that the system gives to nobody else for a while.

    The port is left in the state TIME_WAIT: a listener that reuses addresses can
    bind it, while the system does not pick it for other connections.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, 0))
        listener.listen(1)
        address = listener.getsockname()
        with socket.create_connection(address):
            accepted, _ = listener.accept()
            accepted.close()
        return address[1]
