"""The thrift messages between entries, and their encoding in bounded frames."""

from __future__ import annotations

import contextlib
import socket
import struct
from pathlib import Path
from typing import Any, cast

import thriftpy2
from thriftpy2.protocol.cybin.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TApplicationException, TMessageType, TProcessor
from thriftpy2.transport.buffered import TCyBufferedTransport
from thriftpy2.transport.memory import TCyMemoryBuffer

from halldoor.core.errors import PeerError

idl: Any = thriftpy2.load(
    str(Path(__file__).with_name("entry.thrift")), module_name="halldoor_entry_thrift"
)
Service: Any = idl.Entry

FRAME_LIMIT = 2_000_000
"""Largest frame taken from the wire, in bytes; a part of the configuration fits."""
CHUNK_BYTES = 131_072

_LENGTH = struct.Struct("!I")


class Traffic:
    """Bytes and frames that went over all connections of this process."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.frames = 0


traffic = Traffic()


class FrameSocket:
    """A socket that carries frames with a length before each.

    Parameters
    ----------
    sock : socket.socket
        A connected stream socket; owned from here on.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_timeout(self, timeout_s: float | None) -> None:
        """Limit each wait on the socket."""
        self._sock.settimeout(timeout_s)

    def send(self, frame: bytes) -> None:
        """Send one frame."""
        # Counted without a lock: a lost count now and then does no harm.
        traffic.sent += len(frame) + _LENGTH.size
        traffic.frames += 1
        self._sock.sendall(_LENGTH.pack(len(frame)) + frame)

    def receive(self) -> bytes:
        """Receive one frame.

        Raises
        ------
        EOFError
            Where the peer closed the connection between frames.
        PeerError
            Where the frame is too long or cut off.
        """
        head = self._receive_exactly(_LENGTH.size, is_first=True)
        (length,) = _LENGTH.unpack(head)
        if length == 0 or length > FRAME_LIMIT:
            raise PeerError(
                f"A frame of {length} bytes came; 1 to {FRAME_LIMIT} are taken.",
                remedy="Check that only halldoor entries connect to the wire port.",
            )
        traffic.received += length + _LENGTH.size
        return self._receive_exactly(length, is_first=False)

    def _receive_exactly(self, length: int, *, is_first: bool) -> bytes:
        """Receive a number of bytes, in pieces so that a lie about it costs no memory."""
        parts = []
        missing = length
        while missing:
            part = self._sock.recv(min(missing, 262_144))
            if not part:
                if is_first and missing == length:
                    raise EOFError
                raise PeerError(
                    "The connection broke inside a frame.", remedy="Look at the peer's log."
                )
            parts.append(part)
            missing -= len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def is_stale(self) -> bool:
        """Check whether an idle connection was closed, or sent what nobody asked for."""
        try:
            self._sock.setblocking(False)
            return self._sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection at once."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


class _FrameReader:
    """Gives the bytes of one frame and then nothing, as a closed connection would.

    The library's own memory buffer fills what a lying length asks for beyond the
    end with whatever is in memory, so frames are never decoded from that.
    """

    def __init__(self, frame: bytes) -> None:
        self._frame = memoryview(frame)

    def read(self, size: int) -> bytes:
        """Read up to a number of bytes."""
        part, self._frame = self._frame[:size], self._frame[size:]
        return bytes(part)


def _open_frame(frame: bytes) -> Any:
    """Return a protocol that reads one frame."""
    return TCyBinaryProtocol(TCyBufferedTransport(_FrameReader(frame)))


def encode_call(method: str, sequence: int, arguments: dict[str, Any]) -> bytes:
    """Encode a call."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_message_begin(method, TMessageType.CALL, sequence)
    protocol.write_struct(getattr(Service, f"{method}_args")(**arguments))
    protocol.write_message_end()
    return buffer.getvalue()


def decode_reply(method: str, sequence: int, frame: bytes) -> Any:
    """Decode the reply to a call and check that it belongs to it.

    Raises
    ------
    PeerError
        Where the peer failed, or the reply is another call's.
    """
    protocol = _open_frame(frame)
    try:
        name, kind, got = protocol.read_message_begin()
        if (name, got) != (method, sequence):
            raise PeerError(
                f"A reply to {name} #{got} came for {method} #{sequence}.",
                remedy="The connection is closed; the caller may try again.",
            )
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            protocol.read_struct(error)
            raise PeerError(f"The peer failed: {error.message}.", remedy="Look at the peer's log.")
        result = getattr(Service, f"{method}_result")()
        protocol.read_struct(result)
        return getattr(result, "success", None)
    except PeerError:
        raise
    except Exception as exc:  # whatever a damaged frame makes the codec raise
        raise PeerError(
            f"A reply can't be read: {type(exc).__name__}.", remedy="Look at the peer's log."
        ) from exc


def answer_call(handler: object, frame: bytes) -> bytes:
    """Decode a call, run it on a handler and encode the reply.

    Raises
    ------
    PeerError
        Where the frame is no call; the connection is to be closed.
    """
    out = TCyMemoryBuffer()
    reader, writer = _open_frame(frame), TCyBinaryProtocol(out)
    processor = TProcessor(Service, handler)
    try:
        method, sequence, result, call = processor.process_in(reader)
    except Exception as exc:  # whatever a damaged frame makes the codec raise
        raise PeerError(
            f"A call can't be read: {type(exc).__name__}.",
            remedy="Check that only halldoor entries of this version connect to the wire port.",
        ) from exc
    if isinstance(result, TApplicationException):
        processor.send_exception(writer, method, result, sequence)
    else:
        result.success = cast(Any, call)()
        processor.send_result(writer, method, result, sequence)
    return out.getvalue()
