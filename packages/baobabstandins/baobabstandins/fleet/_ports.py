"""Reserve free ports for programs whose ports must be known before they start."""

import socket


def reserve_port(host: str) -> int:
    """Return a free port that the system does not assign to others for a while.

    The port is left in the state TIME_WAIT: a listener with SO_REUSEADDR can bind
    it, but the system does not pick it for other connections.
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
