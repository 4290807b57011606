"""Encoding of thrift calls and replies between entries, in frames of limited length."""

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
"""The thrift service that entries call; see `halldoor.wire.server.ConnectionHandler`."""

MAX_FRAME_BYTES = 2_000_000
"""Longest frame that is accepted, in bytes; each part of the configuration fits into one."""
CHUNK_BYTES = 131_072
"""Approximate size of one chunk of a request or response body, in bytes."""

_RESULT_FIELD = 0
"""Number of the field with the result of a method that has one."""
_LENGTH = struct.Struct("!I")
"""Length of a frame in bytes, as sent before it."""


class Traffic:
    """Counters over all connections between entries of this process.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Bytes, including the length before each frame.
    frames : int
        Frames sent.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.frames = 0


traffic = Traffic()


class FrameSocket:
    """Socket that sends and receives frames, each preceded by its length in 4 bytes.

    Parameters
    ----------
    sock : socket.socket
        Connected stream socket; `close` closes it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_timeout(self, timeout_s: float | None) -> None:
        """Set the longest wait of each socket operation; None for no limit."""
        self._sock.settimeout(timeout_s)

    def send(self, frame: bytes) -> None:
        """Send one frame."""
        # Counted without a lock: the counters are only reported, so a rare lost update is harmless.
        traffic.sent_bytes += len(frame) + _LENGTH.size
        traffic.frames += 1
        self._sock.sendall(_LENGTH.pack(len(frame)) + frame)

    def receive(self) -> bytes:
        """Receive one frame.

        Raises
        ------
        EOFError
            If the peer closed the connection between frames.
        PeerError
            If the frame is empty, too long or incomplete.
        """
        head = self._receive_exactly(_LENGTH.size, is_frame_start=True)
        (length,) = _LENGTH.unpack(head)
        if length == 0 or length > MAX_FRAME_BYTES:
            raise PeerError(
                f"Received a frame of {length} bytes; 1 to {MAX_FRAME_BYTES} are accepted.",
                remedy="Check that only halldoor entries connect to the wire port.",
            )
        traffic.received_bytes += length + _LENGTH.size
        return self._receive_exactly(length, is_frame_start=False)

    def _receive_exactly(self, length: int, *, is_frame_start: bool) -> bytes:
        """Receive a number of bytes.

        Reads in pieces, so that a false length doesn't make this process allocate memory.
        """
        parts = []
        missing = length
        while missing:
            part = self._sock.recv(min(missing, 262_144))
            if not part:
                if is_frame_start and missing == length:
                    raise EOFError
                raise PeerError(
                    "The connection closed inside a frame.", remedy="Look at the peer's log."
                )
            parts.append(part)
            missing -= len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def is_stale(self) -> bool:
        """Check whether an idle connection was closed by the peer or has unexpected data."""
        try:
            self._sock.setblocking(False)
            return self._sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection, which also interrupts a thread that waits on it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


class _FrameReader:
    """Transport over the bytes of one frame, which returns no bytes after its end.

    Replaces the memory buffer of thriftpy2 for decoding: where a length field inside the frame
    points beyond its end, that buffer returns unrelated memory of the process.
    """

    def __init__(self, frame: bytes) -> None:
        self._frame = memoryview(frame)

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most ``size``."""
        part, self._frame = self._frame[:size], self._frame[size:]
        return bytes(part)


def _build_frame_decoder(frame: bytes) -> Any:
    """Return a thrift protocol that decodes one frame."""
    return TCyBinaryProtocol(TCyBufferedTransport(_FrameReader(frame)))


def encode_call(method: str, sequence: int, arguments: dict[str, Any]) -> bytes:
    """Encode a call of a method of the `Entry` service as a frame."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_message_begin(method, TMessageType.CALL, sequence)
    protocol.write_struct(getattr(Service, f"{method}_args")(**arguments))
    protocol.write_message_end()
    return buffer.getvalue()


def decode_reply(method: str, sequence: int, frame: bytes) -> Any:
    """Decode a reply, check that it answers the given call, and return its result.

    Raises
    ------
    PeerError
        If the peer failed, the reply can't be decoded, or it answers another call.
    """
    protocol = _build_frame_decoder(frame)
    try:
        name, kind, received_sequence = protocol.read_message_begin()
        if (name, received_sequence) != (method, sequence):
            raise PeerError(
                f"A reply to {name} #{received_sequence} came for {method} #{sequence}.",
                remedy="The connection is closed; the caller may retry.",
            )
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            protocol.read_struct(error)
            raise PeerError(f"The peer failed: {error.message}.", remedy="Look at the peer's log.")
        result = getattr(Service, f"{method}_result")()
        protocol.read_struct(result)
        success = getattr(result, "success", None)
        if success is None and _RESULT_FIELD in result.thrift_spec:
            raise PeerError(f"A reply to {method} is empty.", remedy="Look at the peer's log.")
        return success
    except PeerError:
        raise
    except Exception as exc:  # The codec raises many types for a damaged frame.
        raise PeerError(
            f"A reply can't be decoded: {type(exc).__name__}.", remedy="Look at the peer's log."
        ) from exc


def answer_call(handler: object, frame: bytes) -> bytes:
    """Decode a call, run the handler's method of that name, and return the encoded reply.

    Raises
    ------
    PeerError
        If the frame isn't a valid call; the connection must then be closed.
    """
    out = TCyMemoryBuffer()
    reader, writer = _build_frame_decoder(frame), TCyBinaryProtocol(out)
    processor = TProcessor(Service, handler)
    try:
        method, sequence, result, call = processor.process_in(reader)
    except Exception as exc:  # The codec raises many types for a damaged frame.
        raise PeerError(
            f"A call can't be decoded: {type(exc).__name__}.",
            remedy="Check that only halldoor entries of this version connect to the wire port.",
        ) from exc
    if isinstance(result, TApplicationException):
        processor.send_exception(writer, method, result, sequence)
    else:
        result.success = cast(Any, call)()
        processor.send_result(writer, method, result, sequence)
    return out.getvalue()
