"""Connections whose segments and window are those of a narrow link."""

from __future__ import annotations

import socket

SEGMENT_BYTES = 1448
"""Payload of a packet of 1,500 bytes; loopback's own segments have 64 KB, with which the kernel
takes megabytes of an answer before its caller has read anything."""


def connect_narrow(
    port: int, *, receive_buffer: int = 8_192, ip: str = "127.0.0.1", source: str = ""
) -> socket.socket:
    """Open a connection with segments and a window as on a narrow link.

    Parameters
    ----------
    receive_buffer : int, optional
        Size of the receive buffer, in bytes.
    source : str, optional
        IP address to connect from; empty: the kernel chooses it.

    Returns
    -------
    socket.socket
        A connected socket that does not block.

    Raises
    ------
    OSError
        If the connection can't be opened.
    """
    sock = socket.socket()
    try:
        if source:
            sock.bind((source, 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.connect((ip, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
