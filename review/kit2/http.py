"""Reading of HTTP/1.1 messages by the stand-ins."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Call(NamedTuple):
    """A request, with its header fields by their names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer; `is_whole` tells whether its body arrived to the end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def parse_head(data: bytes) -> tuple[list[str], dict[str, str]]:
    """Return the words of the first line, and the header fields."""
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    return first.split(" ", 2), {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_request(reader: asyncio.StreamReader) -> Call | None:
    """Read a request with a length; None where the peer has closed the connection."""
    try:
        words, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Call(words[0], words[1], headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read an answer; None where the connection ends before its head is whole."""
    try:
        words, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(int(words[1]), headers, body, False)
    return Answer(int(words[1]), headers, body, True)
